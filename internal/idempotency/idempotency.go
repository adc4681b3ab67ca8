// Package idempotency keeps what this daemon knows of idempotency keys, so that a
// non-idempotent request runs at most once.
//
// A key is owned by one incarnation of one daemon: by a claim, which is a conditional
// insert into the platform's table before the first send, or by a ticket, which a
// daemon issues ahead and which names its incarnation. Only the owner runs requests
// under the key. An owner that is gone leaves an unknown outcome, never a second run.
//
// # Usage
//
//	switch d := ledger.Begin(now, id, fingerprint).(type) {
//	case idempotency.Run:
//		outcome := run()
//		ledger.Finish(now, id, outcome)
//	case idempotency.Wait:
//		<-d.Done
//	case idempotency.Replay:
//		return d.Outcome
//	case idempotency.Reused:
//		return problem.New(problem.KeyReused, ...)
//	}
package idempotency

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// How long tickets and outcomes are kept.
const (
	// TicketLifetime is the time within which a ticket can be used.
	TicketLifetime = 10 * time.Minute
	// Retention is the time for which an outcome is kept after the key's last run; it
	// is longer than TicketLife, so that a used ticket is never forgotten while it is valid.
	Retention = 2 * TicketLifetime
)

const ticketPrefix = "ticket"

// ID names a key of an account.
type ID struct {
	Account string
	Key     string
}

// Outcome is what a run under a key ended with.
type Outcome struct {
	// Failure is empty on success.
	Failure problem.Kind
	Detail  string
	// NotRun is the statement made about the run.
	NotRun request.NotRun
	// SentNothing says that this run has sent nothing, whatever earlier ones sent.
	SentNothing bool
	// Body is the encoded answer.
	Body []byte
	// Rerunnable says that no non-idempotent stage can have been sent.
	Rerunnable bool
}

// Decision is the answer to Begin: Run, Wait, Replay, Reused or Expired.
type Decision interface{ decision() }

// Run lets the caller run the request; it must call Finish or Forget.
type Run struct {
	// Nonce identifies this key's claim in the platform's table, also over later runs.
	Nonce string
	// Clean says that no earlier run under the key has sent anything.
	Clean bool
}

// Wait says that the request is being run; Done is closed when it has ended.
type Wait struct{ Done <-chan struct{} }

// Replay returns the kept outcome.
type Replay struct{ Outcome Outcome }

// Reused says that the key was used for another request.
type Reused struct{}

// Expired says that the ticket is past its life, or was never issued here, so that
// its earlier use is unknown.
type Expired struct{}

// Sealed says that the ledger was handed over to the successor.
type Sealed struct{}

func (Run) decision()     {}
func (Wait) decision()    {}
func (Replay) decision()  {}
func (Reused) decision()  {}
func (Expired) decision() {}
func (Sealed) decision()  {}

// Entry is one key in the form that is handed to a successor.
type Entry struct {
	ID          ID
	Nonce       string
	Clean       bool
	Fingerprint uint64
	Outcome     Outcome
}

type entry struct {
	nonce       string
	clean       bool
	fingerprint uint64
	running     bool
	outcome     Outcome
	ended       time.Time
	done        chan struct{}
}

// DedupTable holds the keys of one incarnation; the zero value is empty. It is not safe
// for concurrent use.
type DedupTable struct {
	// Incarnation is that of the daemon.
	Incarnation string
	// Started is the time from which tickets count their age.
	Started time.Time

	entries   map[ID]*entry
	inherited map[string]time.Time
	sealed    bool
}

// NewTicket issues a ticket that only this incarnation honours.
func (l *DedupTable) NewTicket(now time.Time) string {
	age := strconv.FormatInt(now.Sub(l.Started).Milliseconds(), 36)
	nonce := strings.ReplaceAll(uuid.NewString(), "-", "")[:16]
	return strings.Join([]string{ticketPrefix, l.Incarnation, age, nonce}, "-")
}

// TicketOwner returns the incarnation that issued the key, if the key is a ticket.
func TicketOwner(key string) (string, bool) {
	parts := strings.Split(key, "-")
	if len(parts) != 4 || parts[0] != ticketPrefix {
		return "", false
	}
	return parts[1], true
}

// Begin decides what to do with a request under a key that this daemon owns.
func (l *DedupTable) Begin(now time.Time, id ID, fingerprint uint64) Decision {
	if l.entries == nil {
		l.entries = map[ID]*entry{}
	}
	known, ok := l.entries[id]
	if !ok {
		return l.beginNew(now, id, fingerprint)
	}
	if known.fingerprint != fingerprint {
		return Reused{}
	}
	if known.running {
		return Wait{Done: known.done}
	}
	if known.outcome.Failure != "" && known.outcome.Rerunnable {
		if l.sealed {
			return Sealed{}
		}
		clean := known.clean && known.outcome.SentNothing
		l.entries[id] = newEntry(known.nonce, clean, fingerprint)
		return Run{Nonce: known.nonce, Clean: clean}
	}
	return Replay{Outcome: known.outcome}
}

func (l *DedupTable) beginNew(now time.Time, id ID, fingerprint uint64) Decision {
	if l.sealed {
		return Sealed{}
	}
	if owner, ok := TicketOwner(id.Key); ok && !l.ticketValid(now, owner, id.Key) {
		return Expired{}
	}
	nonce := uuid.NewString()
	l.entries[id] = newEntry(nonce, true, fingerprint)
	return Run{Nonce: nonce, Clean: true}
}

func newEntry(nonce string, clean bool, fingerprint uint64) *entry {
	return &entry{nonce: nonce, clean: clean, fingerprint: fingerprint, running: true, done: make(chan struct{})}
}

// ticketValid reports whether a ticket without an entry can't have been used before.
// An inherited ticket was issued before the handover, so it is valid for no longer
// than a ticket's life from then; every entry is kept for longer.
func (l *DedupTable) ticketValid(now time.Time, owner, key string) bool {
	if owner != l.Incarnation {
		since, ok := l.inherited[owner]
		return ok && now.Before(since.Add(TicketLifetime))
	}
	age, err := strconv.ParseInt(strings.Split(key, "-")[2], 36, 64)
	if err != nil {
		return false
	}
	issued := l.Started.Add(time.Duration(age) * time.Millisecond)
	return !issued.After(now) && now.Before(issued.Add(TicketLifetime))
}

// Finish records the outcome of a run and wakes those who wait for it.
func (l *DedupTable) Finish(now time.Time, id ID, outcome Outcome) {
	e, ok := l.entries[id]
	if !ok || !e.running {
		return
	}
	e.running = false
	e.outcome = outcome
	e.ended = now
	close(e.done)
}

// Forget removes a running key that turned out to be owned by another daemon.
func (l *DedupTable) Forget(id ID) {
	e, ok := l.entries[id]
	if !ok || !e.running {
		return
	}
	delete(l.entries, id)
	close(e.done)
}

// Owns reports whether the ledger has an entry for the key.
func (l *DedupTable) Owns(id ID) bool {
	_, ok := l.entries[id]
	return ok
}

// Outcome returns the kept outcome of the key.
func (l *DedupTable) Outcome(id ID) (Outcome, bool) {
	e, ok := l.entries[id]
	if !ok || e.running {
		return Outcome{}, false
	}
	return e.outcome, true
}

// Sweep forgets the outcomes that are past their retention.
func (l *DedupTable) Sweep(now time.Time) {
	for id, e := range l.entries {
		if !e.running && now.Sub(e.ended) > Retention {
			delete(l.entries, id)
		}
	}
}

// Running returns the number of keys whose requests are being run.
func (l *DedupTable) Running() int {
	n := 0
	for _, e := range l.entries {
		if e.running {
			n++
		}
	}
	return n
}

// Seal forbids every later run and returns the entries for the successor. A request
// that is still being run is handed over as one of unknown outcome.
func (l *DedupTable) Seal() []Entry {
	l.sealed = true
	entries := make([]Entry, 0, len(l.entries))
	for id, e := range l.entries {
		outcome := e.outcome
		if e.running {
			outcome = Outcome{Failure: problem.OutcomeUnknown, Detail: "the daemon stopped during the run"}
		}
		entries = append(entries, Entry{ID: id, Nonce: e.nonce, Clean: e.clean, Fingerprint: e.fingerprint, Outcome: outcome})
	}
	return entries
}

// Inherit takes over the keys of the incarnations, with their retention begun anew.
func (l *DedupTable) Inherit(now time.Time, incarnations []string, entries []Entry) {
	if l.entries == nil {
		l.entries = map[ID]*entry{}
	}
	if l.inherited == nil {
		l.inherited = map[string]time.Time{}
	}
	for _, incarnation := range incarnations {
		if _, ok := l.inherited[incarnation]; !ok {
			l.inherited[incarnation] = now
		}
	}
	for _, e := range entries {
		if _, ok := l.entries[e.ID]; ok {
			continue
		}
		done := make(chan struct{})
		close(done)
		l.entries[e.ID] = &entry{nonce: e.Nonce, clean: e.Clean, fingerprint: e.Fingerprint, outcome: e.Outcome, ended: now, done: done}
	}
}

// Incarnations returns the incarnations whose tickets may still be valid here: this
// one and those inherited within a ticket's life.
func (l *DedupTable) Incarnations(now time.Time) []string {
	names := []string{l.Incarnation}
	for name, since := range l.inherited {
		if now.Before(since.Add(TicketLifetime)) {
			names = append(names, name)
		}
	}
	return names
}

// OwnsKeysOf reports whether the ledger answers for the incarnation's keys.
func (l *DedupTable) OwnsKeysOf(incarnation string) bool {
	_, ok := l.inherited[incarnation]
	return ok || incarnation == l.Incarnation
}
