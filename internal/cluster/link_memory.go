package cluster

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/memory"
)

// linkMemory counts the envelopes that wait in the queues of links. An envelope that waits in several
// queues, such as that of a broadcast, is held and counted once. The zero value counts nothing.
type linkMemory struct {
	holder *memory.Holder

	mu      sync.Mutex
	waiting map[*clusterpb.Envelope]*waitingEnvelope
}

// waitingEnvelope is an envelope that waits in a number of queues.
type waitingEnvelope struct {
	bytes  int64
	queues int
}

// envelopeOverheadBytes is the memory of an envelope besides its encoded size: the Go values that it
// consists of and its place in a queue.
const envelopeOverheadBytes = 256

// counts reports whether an envelope is counted. Heartbeats aren't, since without them the daemon seems
// dead; there is one a link at a time. The row of a configuration is held anyway.
func (l *linkMemory) counts(e *clusterpb.Envelope) bool {
	return l != nil && l.holder != nil && e.GetBeat() == nil && e.GetConfiguration() == nil
}

// add counts an envelope that is about to be queued, or returns false if there is no memory for it.
func (l *linkMemory) add(e *clusterpb.Envelope) bool {
	if !l.counts(e) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.waiting[e]; w != nil {
		w.queues++
		return true
	}
	bytes := int64(proto.Size(e)) + envelopeOverheadBytes
	if !l.holder.TryAcquire(memory.Link, bytes) {
		return false
	}
	if l.waiting == nil {
		l.waiting = map[*clusterpb.Envelope]*waitingEnvelope{}
	}
	l.waiting[e] = &waitingEnvelope{bytes: bytes, queues: 1}
	return true
}

// remove ends the counting of an envelope that has left a queue.
func (l *linkMemory) remove(e *clusterpb.Envelope) {
	if !l.counts(e) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.waiting[e]
	if w == nil {
		return
	}
	if w.queues--; w.queues > 0 {
		return
	}
	delete(l.waiting, e)
	l.holder.Release(memory.Link, w.bytes)
}
