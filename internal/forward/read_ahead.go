package forward

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/ingress"
	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// readAheadBlockBytes is the unit in which the unread part of an answer is held and written.
const readAheadBlockBytes = 8 << 10

// readAhead writes the body of an answer to the client in a goroutine of its own, so that a client that
// reads slowly doesn't stop the reading of the answer: a target cuts off an answer that stays unread for
// some seconds. The first block is part of the memory of each request, ingress.RequestBytes; each further
// one is taken from the budget, and Write waits while there is none.
//
// The methods of the responder other than Interrupt must not be called before close has returned.
type readAhead struct {
	ctx    context.Context
	w      *ingress.Responder
	memory *memory.Holder
	// wake is signalled when blocks were added or closed was set.
	wake chan struct{}
	// ended receives the result of the goroutine.
	ended chan error
	// stopInterrupt stops the interruption of the responder at the end of ctx. It returns false if that
	// has begun.
	stopInterrupt func() bool

	// now returns the time. longestWait is the longest time for which Write has waited for memory, and
	// result that of close; these belong to the goroutine that writes.
	now         func() time.Time
	longestWait time.Duration
	result      *error
	// lost is the size of what was read and not written when writing failed, in bytes. It is valid after
	// close.
	lost int

	mu     sync.Mutex
	blocks []block
	// writing is set while the first block is being written, and must not be changed.
	writing bool
	closed  bool
	// drained is closed when no block is left or writing has failed; cancelWait is called then, if set.
	drained    chan struct{}
	cancelWait context.CancelFunc
	err        error
}

// block is a part of the body that the client hasn't got yet.
type block struct {
	data []byte
	// held is the memory that is returned after the block was written, in bytes, of the use.
	held int64
	use  memory.Use
}

// startReadAhead starts the goroutine, which ends with the context, after close or when the client can't
// be written to. The head of the answer must have been written. The caller must call close.
func (q *requestState) startReadAhead(ctx context.Context) *readAhead {
	w := q.w
	r := &readAhead{ctx: ctx, w: w, memory: q.request.Memory, now: q.f.Clock.Now, wake: make(chan struct{}, 1), ended: make(chan error, 1), drained: make(chan struct{})}
	close(r.drained)
	r.stopInterrupt = context.AfterFunc(ctx, w.Interrupt)
	go func() { r.ended <- r.run(ctx) }()
	return r
}

// Write implements io.Writer. It waits until the budget has memory or everything before p was written. The
// error is errClientWrite or of kind Cancelled.
func (r *readAhead) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0; {
		n, err := r.fill(rest)
		if err != nil {
			return 0, err
		}
		if n == 0 {
			granted, err := r.acquire()
			if err != nil {
				return 0, err
			}
			if !granted {
				continue
			}
			n = r.addBlock(rest, block{held: readAheadBlockBytes, use: memory.ReadAhead})
		}
		rest = rest[n:]
	}
	return len(p), nil
}

// fill copies a part of p into the last block, or into a first one, and returns its size; 0 means that
// there is no room.
func (r *readAhead) fill(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	last := len(r.blocks) - 1
	if last < 0 {
		return r.addLocked(p, block{}), nil
	}
	if last == 0 && r.writing {
		return 0, nil
	}
	b := &r.blocks[last]
	n := min(len(p), cap(b.data)-len(b.data))
	b.data = append(b.data, p[:n]...)
	return n, nil
}

// acquire waits for the memory of a block. It returns false if all blocks were written or writing failed
// before.
func (r *readAhead) acquire() (granted bool, err error) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.mu.Lock()
	r.cancelWait = cancel
	waits := len(r.blocks) > 0 && r.err == nil
	r.mu.Unlock()
	if !waits {
		return false, nil
	}
	start := r.now()
	err = r.memory.Acquire(ctx, memory.ReadAhead, readAheadBlockBytes)
	r.longestWait = max(r.longestWait, r.now().Sub(start))
	if err != nil && ctx.Err() != nil && r.ctx.Err() == nil {
		return false, nil
	}
	return err == nil, err
}

// addBlock adds a block with the first part of p and returns the size of the part.
func (r *readAhead) addBlock(p []byte, b block) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addLocked(p, b)
}

func (r *readAhead) addLocked(p []byte, b block) int {
	n := min(len(p), readAheadBlockBytes)
	b.data = append(make([]byte, 0, readAheadBlockBytes), p[:n]...)
	r.pushLocked(b)
	return n
}

// pushLocked adds a block behind the others. After an error it drops the block, since nothing would remove
// it any more; the next call of fill returns the error.
func (r *readAhead) pushLocked(b block) {
	if r.err != nil {
		r.memory.Release(b.use, b.held)
		return
	}
	if len(r.blocks) == 0 {
		r.drained = make(chan struct{})
	}
	r.blocks = append(r.blocks, b)
	r.signal()
}

// adopt adds bytes without copying them; held bytes of the use are returned after the last was written.
func (r *readAhead) adopt(p []byte, held int64, use memory.Use) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(p) > 0 {
		n := min(len(p), readAheadBlockBytes)
		b := block{data: p[:n:n]}
		if p = p[n:]; len(p) == 0 {
			b.held, b.use = held, use
		}
		r.pushLocked(b)
	}
}

// signal wakes the goroutine.
func (r *readAhead) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run writes blocks until the context ends, writing fails, or everything was written after close.
func (r *readAhead) run(ctx context.Context) error {
	for {
		data, closed := r.next()
		if data == nil && closed {
			return nil
		}
		if data == nil {
			select {
			case <-r.wake:
				continue
			case <-ctx.Done():
				return r.finishBlock(problem.New(problem.Cancelled, "%v", context.Cause(ctx)))
			}
		}
		_, err := r.w.Write(data)
		if err != nil {
			err = errClientWrite
		}
		if err := r.finishBlock(err); err != nil {
			return err
		}
	}
}

// next returns the block to write, nil if there is none, and whether none will follow.
func (r *readAhead) next() (data []byte, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.blocks) == 0 {
		return nil, r.closed
	}
	r.writing = true
	return r.blocks[0].data, r.closed
}

// finishBlock removes the written block, or all after an error, which it returns.
func (r *readAhead) finishBlock(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing, r.err = false, err
	n := 1
	if err != nil {
		n = len(r.blocks)
	}
	for _, b := range r.blocks[:n] {
		r.memory.Release(b.use, b.held)
		if err != nil {
			r.lost += len(b.data)
		}
	}
	clear(r.blocks[:n])
	if r.blocks = r.blocks[n:]; len(r.blocks) > 0 {
		return nil
	}
	select {
	case <-r.drained:
	default:
		close(r.drained)
	}
	if r.cancelWait != nil {
		r.cancelWait()
	}
	return err
}

// awaitClient waits until the client has got everything that was read, which shows that it still reads.
// The error is errClientWrite or of kind Cancelled.
func (r *readAhead) awaitClient() error {
	r.mu.Lock()
	drained := r.drained
	r.mu.Unlock()
	<-drained // also if the context ends, which ends the goroutine
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// close waits until everything was written or that has failed, and ends the goroutine. A later call
// returns the same result.
func (r *readAhead) close() error {
	if r.result != nil {
		return *r.result
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal()
	err := <-r.ended
	if !r.stopInterrupt() && err == nil {
		err = problem.New(problem.Cancelled, "%v", context.Cause(r.ctx))
	}
	r.result = &err
	return err
}
