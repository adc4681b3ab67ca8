package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/event"
)

// task is a goroutine that can be cancelled and waited for.
type task struct {
	name   string
	cancel context.CancelFunc
	ended  chan error
}

// tasks holds the long-running goroutines of a daemon, in start order. It is safe for
// concurrent use.
type tasks struct {
	mu      sync.Mutex
	running []task
}

// start runs the function in a goroutine. Its context has the values of ctx but is cancelled
// only by stop.
func (t *tasks) start(ctx context.Context, name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = append(t.running, task{name: name, cancel: cancel, ended: ended})
}

// stop cancels the tasks with the name, waits for them and returns the last error.
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

// workCounter counts the work that a planned stop waits for. The zero value is ready to use.
// Unlike a sync.WaitGroup, it may be added to at 0 while another goroutine waits.
type workCounter struct {
	count atomic.Int64
}

func (w *workCounter) add()  { w.count.Add(1) }
func (w *workCounter) done() { w.count.Add(-1) }

// start runs the function in a goroutine and counts it until it returns.
func (w *workCounter) start(run func()) {
	w.add()
	go func() {
		defer w.done()
		run()
	}()
}

// wait returns when the count is 0, or after the limit.
func (w *workCounter) wait(clock clockwork.Clock, limit time.Duration) {
	end := clock.Now().Add(limit)
	for w.count.Load() > 0 && clock.Now().Before(end) {
		clock.Sleep(workPollInterval)
	}
}

// workPollInterval is the time between two checks of the count.
const workPollInterval = 20 * time.Millisecond

// runEvery returns a task that calls the function at once and then at each interval, until
// the context ends. Errors are logged with the name.
func (d *Daemon) runEvery(interval time.Duration, name string, call func(context.Context) error) func(context.Context) error {
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
