// Package idempotency stores the idempotency keys that this daemon owns and the outcomes of
// their requests, so that a non-idempotent request runs at most once.
//
// A key is owned by one incarnation of one daemon, either by a claim or because it is a
// ticket. An incarnation is one run of a daemon from its start to its end. A claim is a row
// that is inserted into the platform's table before anything is sent, if there is none. A
// ticket is a key that a daemon issues in advance and that contains its incarnation.
//
// Only the owner runs requests with the key. A daemon that stops as planned hands its keys
// over to another daemon, its successor. If the owner is gone without a successor, the outcome is unknown and
// the request is not run again.
//
// # Usage
//
//	switch d := table.Begin(now, id, fingerprint).(type) {
//	case idempotency.Run:
//		outcome := run()
//		table.Finish(now, id, outcome)
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

const (
	// TicketLifetime is the time within which a ticket can be used.
	TicketLifetime = 10 * time.Minute
	// Retention is the time for which an outcome is stored after the key's last run. It is
	// longer than TicketLifetime, so that a used ticket is known for as long as it is valid.
	Retention = 2 * TicketLifetime
)

const ticketPrefix = "ticket"

// ID identifies a key of an account.
type ID struct {
	Account string
	Key     string
}

// Outcome is the result of the last run with a key. Its JSON form is stored and sent.
type Outcome struct {
	// Failure is empty on success.
	Failure problem.Kind
	// Detail describes the failure in a sentence.
	Detail string
	// NotRun states whether it is proven that no stage was or will be sent.
	NotRun request.NotRun
	// SentNothing is true if this run has sent nothing; earlier runs may have.
	SentNothing bool
	// Body is the answer as JSON.
	Body []byte
	// Rerunnable is true if no non-idempotent stage can have been sent, so that a failed
	// request may run again.
	Rerunnable bool
}

// Decision is the result of Begin: Run, Wait, Replay, Reused, Expired or Sealed.
type Decision interface{ decision() }

// Run means that the caller is to run the request and then call Finish or Forget.
type Run struct {
	// Nonce identifies this key's claim in the platform's table. Later runs have the same one.
	Nonce string
	// Clean is true if no earlier run with the key has sent anything.
	Clean bool
}

// Wait means that the request is running. Done is closed when it has ended.
type Wait struct{ Done <-chan struct{} }

// Replay means that the request has run and holds its outcome.
type Replay struct{ Outcome Outcome }

// Reused means that the key was used for another request.
type Reused struct{}

// Expired means that the ticket's lifetime has ended or that it was never issued here, so that
// its earlier use is unknown.
type Expired struct{}

// Sealed means that the keys were handed over to the successor and nothing is run here.
type Sealed struct{}

func (Run) decision()     {}
func (Wait) decision()    {}
func (Replay) decision()  {}
func (Reused) decision()  {}
func (Expired) decision() {}
func (Sealed) decision()  {}

// Entry is one key with its outcome as transferred to a successor, in JSON.
type Entry struct {
	ID          ID
	Nonce       string
	Clean       bool
	Fingerprint uint64
	Outcome     Outcome
}

// entry is one key of the table.
type entry struct {
	nonce       string
	clean       bool
	fingerprint uint64
	// claimed is set once the key is known to be claimed for this incarnation.
	claimed bool
	running bool
	outcome Outcome
	// ended is the time at which the last run ended, or at which the entry was inherited.
	ended time.Time
	// done is closed when the run has ended.
	done chan struct{}
}

// DedupTable holds the keys that one incarnation owns. The zero value is empty. It is not safe
// for concurrent use.
type DedupTable struct {
	// Incarnation is the incarnation of this daemon. It must not contain a hyphen, which
	// separates the parts of a ticket.
	Incarnation string
	// Started is the time from which the issue times in tickets are counted.
	Started time.Time

	entries map[ID]*entry
	// inherited holds, by incarnation, the time at which its keys were handed over to this one.
	inherited map[string]time.Time
	// sealed is set by Seal.
	sealed bool
}

// NewTicket issues a ticket, which is valid for this incarnation and its successor. Its parts
// are the prefix, the incarnation, the milliseconds since Started in base 36, and a nonce.
func (t *DedupTable) NewTicket(now time.Time) string {
	sinceStart := strconv.FormatInt(now.Sub(t.Started).Milliseconds(), 36)
	nonce := strings.ReplaceAll(uuid.NewString(), "-", "")[:16]
	return strings.Join([]string{ticketPrefix, t.Incarnation, sinceStart, nonce}, "-")
}

// TicketOwner returns the incarnation that issued the ticket, and whether the key is a ticket.
func TicketOwner(key string) (string, bool) {
	parts := strings.Split(key, "-")
	if len(parts) != 4 || parts[0] != ticketPrefix {
		return "", false
	}
	return parts[1], true
}

// Begin decides what to do with a request whose key this daemon owns or is about to claim. The
// fingerprint identifies the content of the request.
func (t *DedupTable) Begin(now time.Time, id ID, fingerprint uint64) Decision {
	if t.entries == nil {
		t.entries = map[ID]*entry{}
	}
	existing, ok := t.entries[id]
	if !ok {
		return t.beginNew(now, id, fingerprint)
	}
	if existing.fingerprint != fingerprint {
		return Reused{}
	}
	if existing.running {
		return Wait{Done: existing.done}
	}
	if existing.outcome.Failure != "" && existing.outcome.Rerunnable {
		if t.sealed {
			return Sealed{}
		}
		clean := existing.clean && existing.outcome.SentNothing
		t.entries[id] = newEntry(existing.nonce, clean, fingerprint)
		return Run{Nonce: existing.nonce, Clean: clean}
	}
	return Replay{Outcome: existing.outcome}
}

// beginNew decides on a request whose key has no entry.
func (t *DedupTable) beginNew(now time.Time, id ID, fingerprint uint64) Decision {
	if t.sealed {
		return Sealed{}
	}
	if owner, ok := TicketOwner(id.Key); ok && !t.ticketValid(now, owner, id.Key) {
		return Expired{}
	}
	nonce := uuid.NewString()
	t.entries[id] = newEntry(nonce, true, fingerprint)
	return Run{Nonce: nonce, Clean: true}
}

// newEntry returns the entry of a request that starts to run.
func newEntry(nonce string, clean bool, fingerprint uint64) *entry {
	return &entry{nonce: nonce, clean: clean, fingerprint: fingerprint, running: true, done: make(chan struct{})}
}

// ticketValid reports whether a ticket without an entry can be used, which requires that it has
// not been used before. An inherited ticket was issued before the handover, so it is valid
// for at most TicketLifetime after the handover; every entry is stored for longer.
func (t *DedupTable) ticketValid(now time.Time, owner, key string) bool {
	if owner != t.Incarnation {
		handover, ok := t.inherited[owner]
		return ok && now.Before(handover.Add(TicketLifetime))
	}
	sinceStart, err := strconv.ParseInt(strings.Split(key, "-")[2], 36, 64)
	if err != nil {
		return false
	}
	issued := t.Started.Add(time.Duration(sinceStart) * time.Millisecond)
	return !issued.After(now) && now.Before(issued.Add(TicketLifetime))
}

// Finish records the outcome of a run and ends the Wait of repeated requests. It does nothing if
// the key isn't running.
func (t *DedupTable) Finish(now time.Time, id ID, outcome Outcome) {
	e, ok := t.entries[id]
	if !ok || !e.running {
		return
	}
	e.running = false
	e.outcome = outcome
	e.ended = now
	close(e.done)
}

// Forget removes a key for which Begin returned Run, because another daemon owns the key, and
// ends the Wait of repeated requests. It does nothing if the key isn't running.
func (t *DedupTable) Forget(id ID) {
	e, ok := t.entries[id]
	if !ok || !e.running {
		return
	}
	delete(t.entries, id)
	close(e.done)
}

// Owns reports whether the table has an entry for the key.
func (t *DedupTable) Owns(id ID) bool {
	_, ok := t.entries[id]
	return ok
}

// Outcome returns the stored outcome of the key, and whether there is one.
func (t *DedupTable) Outcome(id ID) (Outcome, bool) {
	e, ok := t.entries[id]
	if !ok || e.running {
		return Outcome{}, false
	}
	return e.outcome, true
}

// Sweep removes the outcomes that are older than Retention.
func (t *DedupTable) Sweep(now time.Time) {
	for id, e := range t.entries {
		if !e.running && now.Sub(e.ended) > Retention {
			delete(t.entries, id)
		}
	}
}

// MarkClaimed records that a key for which Begin returned Run is claimed for this incarnation.
func (t *DedupTable) MarkClaimed(id ID) {
	if e, ok := t.entries[id]; ok {
		e.claimed = true
	}
}

// Claimed returns the claimed keys whose requests run or have ended, without those that may run again.
// The outcome of a key that is running is unknown.
func (t *DedupTable) Claimed() []Entry {
	var claimed []Entry
	for id, e := range t.entries {
		if !e.claimed || !e.running && e.outcome.Failure != "" && e.outcome.Rerunnable {
			continue
		}
		entry := Entry{ID: id, Nonce: e.nonce, Clean: e.clean, Fingerprint: e.fingerprint, Outcome: e.outcome}
		if e.running {
			entry.Outcome = Outcome{Failure: problem.OutcomeUnknown, Detail: "the request is still running"}
		}
		claimed = append(claimed, entry)
	}
	return claimed
}

// Running returns the number of keys whose requests are running.
func (t *DedupTable) Running() int {
	n := 0
	for _, e := range t.entries {
		if e.running {
			n++
		}
	}
	return n
}

// Seal prevents every later run and returns the entries for the successor. A request that is
// still running is handed over with an unknown outcome.
func (t *DedupTable) Seal() []Entry {
	t.sealed = true
	entries := make([]Entry, 0, len(t.entries))
	for id, e := range t.entries {
		outcome := e.outcome
		if e.running {
			outcome = Outcome{Failure: problem.OutcomeUnknown, Detail: "the daemon stopped during the run"}
		}
		entries = append(entries, Entry{ID: id, Nonce: e.nonce, Clean: e.clean, Fingerprint: e.fingerprint, Outcome: outcome})
	}
	return entries
}

// Inherit adds the keys of other incarnations, which this table then owns. Their retention
// starts again at now. Keys that have an entry already keep it.
func (t *DedupTable) Inherit(now time.Time, incarnations []string, entries []Entry) {
	if t.entries == nil {
		t.entries = map[ID]*entry{}
	}
	if t.inherited == nil {
		t.inherited = map[string]time.Time{}
	}
	for _, incarnation := range incarnations {
		if _, ok := t.inherited[incarnation]; !ok {
			t.inherited[incarnation] = now
		}
	}
	for _, e := range entries {
		if _, ok := t.entries[e.ID]; ok {
			continue
		}
		done := make(chan struct{})
		close(done)
		_, ticket := TicketOwner(e.ID.Key)
		t.entries[e.ID] = &entry{nonce: e.Nonce, clean: e.Clean, fingerprint: e.Fingerprint, claimed: !ticket, outcome: e.Outcome, ended: now, done: done}
	}
}

// Incarnations returns the incarnations whose tickets may still be valid here: this one and
// those inherited within TicketLifetime.
func (t *DedupTable) Incarnations(now time.Time) []string {
	names := []string{t.Incarnation}
	for name, handover := range t.inherited {
		if now.Before(handover.Add(TicketLifetime)) {
			names = append(names, name)
		}
	}
	return names
}

// OwnsKeysOf reports whether this table owns the keys of the incarnation.
func (t *DedupTable) OwnsKeysOf(incarnation string) bool {
	_, ok := t.inherited[incarnation]
	return ok || incarnation == t.Incarnation
}
