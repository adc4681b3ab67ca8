package idempotency_test

import (
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

var start = time.Unix(1000, 0)

func begin(table *idempotency.DedupTable, now time.Time, key string, fingerprint uint64) string {
	switch table.Begin(now, idempotency.ID{Account: "a", Key: key}, fingerprint).(type) {
	case idempotency.Run:
		return "run"
	case idempotency.Wait:
		return "wait"
	case idempotency.Replay:
		return "replay"
	case idempotency.Reused:
		return "reused"
	case idempotency.Expired:
		return "expired"
	default:
		return "sealed"
	}
}

func expect(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestRepeatedKeyRunsOnce(t *testing.T) {
	table := &idempotency.DedupTable{Incarnation: "x", Started: start}
	id := idempotency.ID{Account: "a", Key: "k"}
	expect(t, begin(table, start, "k", 1), "run")
	expect(t, begin(table, start, "k", 1), "wait")
	table.Finish(start, id, idempotency.Outcome{Failure: problem.OutcomeUnknown})
	expect(t, begin(table, start, "k", 1), "replay")
	expect(t, begin(table, start, "k", 2), "reused")
}

func TestFailedKeyThatIsRerunnableRunsAgain(t *testing.T) {
	table := &idempotency.DedupTable{}
	id := idempotency.ID{Account: "a", Key: "k"}
	expect(t, begin(table, start, "k", 1), "run")
	table.Finish(start, id, idempotency.Outcome{Failure: problem.Overloaded, Rerunnable: true})
	second, ok := table.Begin(start, id, 1).(idempotency.Run)
	if !ok || second.Clean {
		t.Errorf("got %+v, want a run that isn't clean", second)
	}
}

func TestTicketIsValidForItsLifetimeAndIncarnation(t *testing.T) {
	table := &idempotency.DedupTable{Incarnation: "x", Started: start}
	ticket := table.NewTicket(start.Add(time.Minute))
	expect(t, begin(table, start.Add(idempotency.TicketLifetime+2*time.Minute), ticket, 1), "expired")
	expect(t, begin(table, start.Add(30*time.Second), ticket, 1), "expired")
	expect(t, begin(&idempotency.DedupTable{Incarnation: "y", Started: start}, start, ticket, 1), "expired")
	expect(t, begin(table, start.Add(2*time.Minute), ticket, 1), "run")
}

func TestUsedTicketNeverRunsAgain(t *testing.T) {
	table := &idempotency.DedupTable{Incarnation: "x", Started: start}
	ticket := table.NewTicket(start)
	expect(t, begin(table, start, ticket, 1), "run")
	table.Finish(start, idempotency.ID{Account: "a", Key: ticket}, idempotency.Outcome{Body: []byte("done")})
	for minute := range 60 {
		now := start.Add(time.Duration(minute) * time.Minute)
		table.Sweep(now)
		if got := begin(table, now, ticket, 1); got == "run" {
			t.Fatalf("ran again after %d minutes", minute)
		}
	}
}

func TestSuccessorOwnsInheritedKeysAndTickets(t *testing.T) {
	first := &idempotency.DedupTable{Incarnation: "x", Started: start}
	used, unused, running := first.NewTicket(start), first.NewTicket(start), first.NewTicket(start)
	expect(t, begin(first, start, used, 1), "run")
	first.Finish(start, idempotency.ID{Account: "a", Key: used}, idempotency.Outcome{Body: []byte("done")})
	expect(t, begin(first, start, running, 1), "run")
	names, entries := first.Incarnations(start), first.Seal()
	expect(t, begin(first, start, unused, 1), "sealed")

	second := &idempotency.DedupTable{Incarnation: "y", Started: start}
	second.Inherit(start, names, entries)
	expect(t, begin(second, start, used, 1), "replay")
	expect(t, begin(second, start, running, 1), "replay")
	expect(t, begin(second, start.Add(idempotency.TicketLifetime), first.NewTicket(start), 1), "expired")
	expect(t, begin(second, start, unused, 1), "run")

	late := start.Add(idempotency.TicketLifetime)
	if names := second.Incarnations(late); len(names) != 1 {
		t.Errorf("the tickets of %v are still handed over after their lifetime", names)
	}
}
