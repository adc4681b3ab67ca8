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

// stuck is a writer that takes nothing.
type stuck struct{ released chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

func TestSinkNeverBlocks(t *testing.T) {
	s := &event.Sink{Clock: clockwork.NewRealClock()}
	w := stuck{make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, w) }()
	began := time.Now()
	for range 100_000 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("100,000 lines took %v", took)
	}
	if s.Dropped() < 90_000 {
		t.Errorf("%d lines were dropped", s.Dropped())
	}
	cancel()
	close(w.released)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestSinkBoundsItsVolumeAndSaysWhatItDropped(t *testing.T) {
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
		t.Errorf("%d lines were written, the bound is 800 in a second", n)
	}
	if !strings.Contains(text, `"msg":"LinesDropped","Event":107,"Lines":2200,"Total":2200`) {
		t.Errorf("no line says what was dropped: %s", text[strings.LastIndex(text, "line\n"):])
	}
}
