package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sequoiapick/sequoiapick/internal/event"
)

// tasks are the goroutines of a host; each reports its end on its channel.
type tasks struct {
	log event.Log

	mu      sync.Mutex
	running map[string]task
	failed  chan error
}

// failures returns the channel on which a task that failed is reported; the host can't go
// on without it.
func (t *tasks) failures() <-chan error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed == nil {
		t.failed = make(chan error, maxTasks)
	}
	return t.failed
}

// report tells of a failure unless many wait already.
func (t *tasks) report(err error) {
	select {
	case t.failed <- err:
	default:
	}
}

// maxTasks is more than the tasks of a host.
const maxTasks = 32

type task struct {
	cancel context.CancelFunc
	ended  chan error
}

func (t *tasks) start(name string, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	t.failures() // so that the channel is there
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

// stopTimeout bounds the wait for a task, so that a stop ends inside its grace.
const stopTimeout = 300 * time.Millisecond

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
	case <-time.After(stopTimeout):
	}
}

func (t *tasks) stopAll() {
	t.mu.Lock()
	running := t.running
	t.running = nil
	t.mu.Unlock()
	for _, r := range running {
		r.cancel()
	}
}
