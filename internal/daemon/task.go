package daemon

import (
	"context"
	"sync"
	"time"

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
