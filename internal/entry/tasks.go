package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sequoiapick/sequoiapick/internal/event"
)

// tasks manages the long-running goroutines of a daemon.
type tasks struct {
	log event.Log

	mu      sync.Mutex
	running map[string]task
	errs    chan error
}

// failures returns the channel on which the errors of failed tasks are reported. The daemon
// needs all its tasks, so that it stops when one has failed.
func (t *tasks) failures() <-chan error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.errs == nil {
		t.errs = make(chan error, maxTasks)
	}
	return t.errs
}

// report reports a failure; it is dropped if the channel is full.
func (t *tasks) report(err error) {
	select {
	case t.errs <- err:
	default:
	}
}

// maxTasks is the capacity of the failure channel, which exceeds the number of tasks.
const maxTasks = 32

// task is one goroutine; its error is sent on ended when it ends.
type task struct {
	cancel context.CancelFunc
	ended  chan error
}

// start runs a task in a goroutine until it is stopped or fails.
func (t *tasks) start(name string, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	t.failures() // creates the channel
	go func() {
		err := run(ctx)
		if err != nil {
			t.log.Emit(event.TaskFailed, "Task", name, "Reason", err.Error())
			t.report(errors.Wrap(err, name))
		}
		ended <- err
	}()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[string]task{}
	}
	t.running[name] = task{cancel: cancel, ended: ended}
}

// taskStopTimeout limits the wait for a task, so that the daemon stops within the stop grace.
const taskStopTimeout = 300 * time.Millisecond

// stop cancels the task and waits until it has ended, at most for taskStopTimeout.
func (t *tasks) stop(name string) {
	t.mu.Lock()
	running, ok := t.running[name]
	delete(t.running, name)
	t.mu.Unlock()
	if !ok {
		return
	}
	running.cancel()
	select {
	case <-running.ended:
	case <-time.After(taskStopTimeout):
	}
}

// stopAll cancels all tasks without waiting for them.
func (t *tasks) stopAll() {
	t.mu.Lock()
	running := t.running
	t.running = nil
	t.mu.Unlock()
	for _, r := range running {
		r.cancel()
	}
}
