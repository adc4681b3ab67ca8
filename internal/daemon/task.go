package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/event"
)

// task is a goroutine whose end its owner reads.
type task struct {
	name   string
	cancel context.CancelFunc
	ended  chan error
}

// tasks are the goroutines of a daemon, in the order in which they were started.
type tasks struct {
	mu      sync.Mutex
	running []task
}

// start runs a function until the context ends.
func (t *tasks) start(ctx context.Context, name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = append(t.running, task{name: name, cancel: cancel, ended: ended})
}

// stop ends the named task and waits for it.
func (t *tasks) stop(name string) error {
	t.mu.Lock()
	var found []task
	for _, running := range t.running {
		if running.name == name {
			found = append(found, running)
		}
	}
	t.mu.Unlock()
	var failure error
	for _, running := range found {
		running.cancel()
		if err := <-running.ended; err != nil {
			failure = err
		}
	}
	return failure
}

// work counts what a planned stop waits for; the zero value works. Unlike a WaitGroup
// it may be added to while it is waited for.
type work struct {
	count atomic.Int64
}

func (w *work) add()  { w.count.Add(1) }
func (w *work) done() { w.count.Add(-1) }

// start runs the function and counts it until it returns.
func (w *work) start(run func()) {
	w.add()
	go func() {
		defer w.done()
		run()
	}()
}

// wait returns when nothing is counted, or after the limit.
func (w *work) wait(clock clockwork.Clock, limit time.Duration) {
	end := clock.Now().Add(limit)
	for w.count.Load() > 0 && clock.Now().Before(end) {
		clock.Sleep(workPause)
	}
}

const workPause = 20 * time.Millisecond

// every calls the function at once and then at each interval, until the context ends.
func (d *Daemon) every(interval time.Duration, name string, call func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		ticker := d.Clock.NewTicker(interval)
		defer ticker.Stop()
		for {
			if err := call(ctx); err != nil && ctx.Err() == nil {
				d.log.Emit(event.LoopFailed, "Task", name, "Reason", err.Error())
			}
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.Chan():
			}
		}
	}
}
