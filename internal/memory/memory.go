// Package memory accounts for the bytes that a daemon holds for clients, targets and other daemons:
// requests with their bodies, answers that a client hasn't read yet, and the queues of links. It does no
// I/O, starts no goroutines and reads no clock.
//
// All uses share one bound. Each use has a ceiling below it, so that what is cheapest for callers is
// given up first, see Use. Below the ceiling, a holder and an account get a share of the bytes that are
// still free rather than of the whole: many holders that want more end at equal shares without being
// counted, and some bytes always stay free for a holder that comes later.
//
// # Usage
//
//	budget := memory.New(43_000_000)
//	holder := budget.Open("account")     // for one request or link
//	defer holder.Close()                 // returns everything that it holds
//	if !holder.TryAcquire(memory.Request, size) { ... } // reject the request as not run
//	err := holder.Acquire(ctx, memory.ReadAhead, 8192)  // waits until the bytes are free
//	holder.Release(memory.ReadAhead, 8192)
//
// A nil *Budget opens nil holders. A nil *Holder grants everything and counts nothing, so that code needs
// no second path where no budget applies.
package memory

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Use is what bytes are held for. The uses are in the order in which they are given up when memory is
// short, the cheapest for callers first.
type Use int

const (
	// Request is a new request with its body. Without memory it is rejected as not run, which costs its
	// client a retry.
	Request Use = iota
	// ReadAhead is the part of an answer that its client hasn't read yet. Without memory the answer is
	// read no faster than by the client. If that lasts for seconds the target cuts it off, and its work
	// is lost.
	ReadAhead
	// Answer is an answer that is held back until it is whole. Without memory it is forwarded as it
	// arrives, and a truncated one can't be replaced by that of another target.
	Answer
	// Link is a message to another daemon that waits to be written. Without memory it is dropped, which
	// may cost several requests.
	Link

	uses
)

// String returns the name of the use, for logs and metrics.
func (u Use) String() string {
	switch u {
	case Request:
		return "Request"
	case ReadAhead:
		return "ReadAhead"
	case Answer:
		return "Answer"
	case Link:
		return "Link"
	default:
		return "Unknown"
	}
}

// Uses returns all uses, the one that is given up first at the start.
func Uses() []Use { return []Use{Request, ReadAhead, Answer, Link} }

// ceilings are the shares of the bound up to which the sum of all uses may grow for the sake of one use. A
// request that was admitted must find memory for its answer, so that new requests end first.
var ceilings = [uses]float64{Request: 0.6, ReadAhead: 0.85, Answer: 0.95, Link: 1}

const (
	// holderShare and accountShare are what one holder and one account may hold, as a multiple of the
	// bytes that are still free. A single holder gets a third of the memory below the ceiling, a single
	// account four fifths, since there may be only one account.
	holderShare  = 0.5
	accountShare = 4
	// holderFloor and accountFloor are the shares of the bound that a holder and an account may always
	// hold below the ceiling. At the smallest bound, 43 MB, the former is 338 KB: one plain answer.
	holderFloor  = 1.0 / 128
	accountFloor = 1.0 / 32
	// wakeShare is the share of the bound that must become free before waiting holders are examined
	// again. It bounds the work for each release while many wait.
	wakeShare = 1.0 / 64
)

// Budget bounds the bytes of all holders. Use New to create one. It is safe for concurrent use.
type Budget struct {
	bound int64

	mu       sync.Mutex
	used     int64
	byUse    [uses]int64
	peak     int64
	refused  [uses]int64
	waited   [uses]int64
	accounts map[string]*account
	waiters  []*waiter
	// freed is the number of bytes released since the waiters were last examined.
	freed int64
}

// account is what the holders of one account hold.
type account struct {
	bytes int64
	// holders is the number of open holders.
	holders int
}

// waiter is one call of Acquire that waits.
type waiter struct {
	holder *Holder
	use    Use
	bytes  int64
	// granted is closed once the bytes are counted for the holder.
	granted chan struct{}
}

// New returns a budget with a bound in bytes, which must be above 0.
func New(bound int64) *Budget {
	return &Budget{bound: bound, accounts: map[string]*account{}}
}

// State is what a budget holds at a time, in bytes, and what it has refused so far.
type State struct {
	Bound, Used, Peak int64
	// Held are the bytes of each use, Refused the number of refusals, Waited that of the calls of
	// Acquire that had to wait. Uses with 0 are omitted.
	Held, Refused, Waited map[string]int64
}

// State returns the present state; that of a nil budget is zero.
func (b *Budget) State() State {
	if b == nil {
		return State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{Bound: b.bound, Used: b.used, Peak: b.peak, Held: map[string]int64{}, Refused: map[string]int64{}, Waited: map[string]int64{}}
	for _, u := range Uses() {
		putPositive(s.Held, u, b.byUse[u])
		putPositive(s.Refused, u, b.refused[u])
		putPositive(s.Waited, u, b.waited[u])
	}
	return s
}

func putPositive(m map[string]int64, u Use, n int64) {
	if n > 0 {
		m[u.String()] = n
	}
}

// Open returns a holder for one request or one link. The account is the one that it is done for, empty if
// there is none; holders without an account share no bound of an account.
func (b *Budget) Open(accountName string) *Holder {
	if b == nil {
		return nil
	}
	h := &Holder{budget: b}
	h.SetAccount(accountName)
	return h
}

// Holder holds bytes for one request or one link. Close must be called when that has ended. It is safe
// for concurrent use.
type Holder struct {
	budget *Budget
	// The fields below are guarded by the mutex of the budget.
	name    string
	account *account
	bytes   int64
	byUse   [uses]int64
	closed  bool
}

// SetAccount makes the account responsible for the bytes that the holder holds and will hold. It may be
// called when the account of a request becomes known.
func (h *Holder) SetAccount(name string) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || name == h.name {
		return
	}
	h.leaveAccount()
	h.name = name
	if name == "" {
		return
	}
	a := b.accounts[name]
	if a == nil {
		a = &account{}
		b.accounts[name] = a
	}
	a.holders++
	a.bytes += h.bytes
	h.account = a
}

// leaveAccount takes the holder from its account. The caller holds the mutex.
func (h *Holder) leaveAccount() {
	if h.account == nil {
		return
	}
	h.account.bytes -= h.bytes
	h.account.holders--
	if h.account.holders == 0 {
		delete(h.budget.accounts, h.name)
	}
	h.account, h.name = nil, ""
}

// TryAcquire counts n bytes for the holder, or returns false if they exceed what it may hold now.
func (h *Holder) TryAcquire(u Use, n int64) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(h, u, n) {
		b.refused[u]++
		return false
	}
	b.add(h, u, n)
	return true
}

// Acquire counts n bytes for the holder as soon as it may hold them. Its error has kind Cancelled if the
// context ends before, and Overloaded if the bytes exceed the bound also when nothing else is held.
func (h *Holder) Acquire(ctx context.Context, u Use, n int64) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	if b.fits(h, u, n) {
		b.add(h, u, n)
		b.mu.Unlock()
		return nil
	}
	if n > b.largest(u) {
		b.refused[u]++
		b.mu.Unlock()
		return problem.New(problem.Overloaded, "%d bytes never fit into the memory for %v, which is %d bytes", n, u, b.bound)
	}
	w := &waiter{holder: h, use: u, bytes: n, granted: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.waited[u]++
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
		return problem.New(problem.Cancelled, "wait for memory: %v", context.Cause(ctx))
	}
	return nil // granted at the same moment
}

// Release returns n bytes of a use that the holder holds.
func (h *Holder) Release(u Use, n int64) {
	if h == nil || n == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.closed {
		return
	}
	h.remove(u, n)
	h.budget.wake()
}

// Held returns the bytes that the holder holds.
func (h *Holder) Held() int64 {
	if h == nil {
		return 0
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// Close returns everything that the holder holds. Later calls, and calls of Release, have no effect.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	for _, u := range Uses() {
		h.remove(u, h.byUse[u])
	}
	h.leaveAccount()
	h.closed = true
	b.wake()
}

func (h *Holder) remove(u Use, n int64) {
	n = min(n, h.byUse[u]) // more than is held would free bytes of other holders
	h.byUse[u] -= n
	h.bytes -= n
	if h.account != nil {
		h.account.bytes -= n
	}
	h.budget.byUse[u] -= n
	h.budget.used -= n
	h.budget.freed += n
}

// largest returns the most bytes of a use that a holder without any may hold while nothing else is held.
func (b *Budget) largest(u Use) int64 {
	return int64(max(holderShare*ceilings[u], holderFloor) * float64(b.bound))
}

// fits reports whether the holder may hold n more bytes.
func (b *Budget) fits(h *Holder, u Use, n int64) bool {
	free := ceilings[u]*float64(b.bound) - float64(b.used)
	if h.closed || float64(n) > free {
		return false
	}
	bound := float64(b.bound)
	if float64(h.bytes+n) > max(holderShare*free, holderFloor*bound) {
		return false
	}
	return h.account == nil || float64(h.account.bytes+n) <= max(accountShare*free, accountFloor*bound)
}

func (b *Budget) add(h *Holder, u Use, n int64) {
	h.byUse[u] += n
	h.bytes += n
	if h.account != nil {
		h.account.bytes += n
	}
	b.byUse[u] += n
	b.used += n
	b.peak = max(b.peak, b.used)
}

// wake grants the bytes of the waiters that fit now, the dearest use first and of one use the holder with
// the fewest bytes first. Of holders that are alike the one that has waited longest comes first.
func (b *Budget) wake() {
	if len(b.waiters) == 0 {
		b.freed = 0
		return
	}
	if float64(b.freed) < wakeShare*float64(b.bound) && b.used > 0 {
		return
	}
	b.freed = 0
	slices.SortStableFunc(b.waiters, func(v, w *waiter) int {
		return cmp.Or(cmp.Compare(w.use, v.use), cmp.Compare(v.holder.bytes, w.holder.bytes))
	})
	waiting := b.waiters[:0]
	for _, w := range b.waiters {
		if !b.fits(w.holder, w.use, w.bytes) {
			waiting = append(waiting, w)
			continue
		}
		b.add(w.holder, w.use, w.bytes)
		close(w.granted)
	}
	clear(b.waiters[len(waiting):])
	b.waiters = waiting
}
