package event

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is the maximum rate of log lines of a daemon. A request at an entry host
	// causes three to five lines, and the leader logs one more for each call to a stage target.
	linesPerSecond = 800
	// lineBurst is the number of lines that may be logged at once.
	lineBurst = 800
	// maxQueuedLines is the number of lines that are queued for the writer.
	maxQueuedLines = 4096
	// droppedReportInterval is the smallest time between two LinesDropped events.
	droppedReportInterval = time.Second
)

// Sink accepts log lines without blocking and writes them in the goroutine of Run. Lines above the
// rate limit, or for which the queue is full, are dropped and counted.
type Sink struct {
	Clock clockwork.Clock

	once    sync.Once
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

// init creates the queue and the rate limiter.
func (s *Sink) init() {
	s.lines = make(chan []byte, maxQueuedLines)
	s.limiter = rate.NewLimiter(linesPerSecond, lineBurst)
}

// Write implements io.Writer. It queues one line or drops it; it never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.once.Do(s.init)
	if !s.limiter.AllowN(s.Clock.Now(), 1) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes the queued lines to w until the context ends, then those that remain in the queue.
// It returns the first error of w.
func (s *Sink) Run(ctx context.Context, w io.Writer) error {
	s.once.Do(s.init)
	ticker := s.Clock.NewTicker(droppedReportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			return s.flush(w)
		case line := <-s.lines:
			if _, err := w.Write(line); err != nil {
				return err
			}
		case <-ticker.Chan():
			total := s.Dropped()
			if total == reported {
				continue
			}
			if _, err := fmt.Fprintf(w, `{"time":%q,"level":"INFO","msg":%q,"Event":%d,"Lines":%d,"Total":%d}`+"\n",
				s.Clock.Now().UTC().Format(time.RFC3339Nano), LinesDropped.Name, LinesDropped.Number, total-reported, total); err != nil {
				return err
			}
			reported = total
		}
	}
}

// flush writes the lines that remain in the queue, without waiting for more.
func (s *Sink) flush(w io.Writer) error {
	for {
		select {
		case line := <-s.lines:
			if _, err := w.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}
