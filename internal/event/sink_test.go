package event_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/event"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct{ released chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

func TestSinkDoesNotBlockOnBlockedWriter(t *testing.T) {
	s := &event.Sink{Clock: clockwork.NewRealClock()}
	w := blockedWriter{make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, w) }()
	start := time.Now()
	for range 100_000 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("100,000 lines took %v, want at most 1s", took)
	}
	if s.Dropped() < 90_000 {
		t.Errorf("%d lines were dropped, want at least 90,000", s.Dropped())
	}
	cancel()
	close(w.released)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestSinkLimitsRateAndReportsDroppedLines(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &event.Sink{Clock: clock}
	var out bytes.Buffer
	for range 3000 {
		_, _ = s.Write([]byte("line\n"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, &out) }()
	if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(1100 * time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if n := strings.Count(text, "line\n"); n != 800 {
		t.Errorf("%d lines were written, want the 800 of the rate limit", n)
	}
	if !strings.Contains(text, `"msg":"LinesDropped","Event":107,"Lines":2200,"Total":2200`) {
		t.Errorf("no LinesDropped event with the number of dropped lines: %s", text[strings.LastIndex(text, "line\n"):])
	}
}
