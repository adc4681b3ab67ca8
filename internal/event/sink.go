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
	// linesPerSecond bounds the lines that a daemon logs; a request at an entry host takes
	// three to five, and the daemon that leads adds one for each stage call.
	linesPerSecond = 800
	// lineBurst is the number of lines that may come at once.
	lineBurst = 800
	// queuedLines is the number of lines that wait for the writer.
	queuedLines = 4096
	// reportInterval is the time between two lines about lines that were dropped.
	reportInterval = time.Second
)

// Sink takes log lines without ever blocking: a goroutine writes them, and what is too
// much is dropped and counted.
type Sink struct {
	Clock clockwork.Clock

	once    sync.Once
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

func (s *Sink) open() {
	s.lines = make(chan []byte, queuedLines)
	s.limit = rate.NewLimiter(linesPerSecond, lineBurst)
}

// Write implements io.Writer; the line may be dropped.
func (s *Sink) Write(line []byte) (int, error) {
	s.once.Do(s.open)
	if !s.limit.AllowN(s.Clock.Now(), 1) {
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

// Dropped is the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes the lines until the context ends, and then those that still wait.
func (s *Sink) Run(ctx context.Context, w io.Writer) error {
	s.once.Do(s.open)
	ticker := s.Clock.NewTicker(reportInterval)
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
