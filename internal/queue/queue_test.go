package queue_test

import (
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/queue"
)

func TestWaitersAreOrderedByStartTimeAndPrice(t *testing.T) {
	start := time.Unix(1000, 0)
	waiter := func(seconds int, price int64) *queue.Waiter {
		return &queue.Waiter{StartBy: start.Add(time.Duration(seconds) * time.Second), PriceMicros: price}
	}
	late, soon, expensive, cheap := waiter(9, 1000), waiter(2, 100), waiter(3, 900), waiter(1, 50)
	var q queue.Queue
	for _, w := range []*queue.Waiter{late, soon, expensive, cheap} {
		q.Push(w)
	}
	expect(t, q.First(4), cheap, soon, expensive, late)
	expect(t, q.FirstByPrice(4, start.Add(5*time.Second)), expensive, soon, cheap, late)
	expect(t, q.FirstByPrice(1, start.Add(5*time.Second)), expensive)
	if q.CountDueBy(start.Add(2*time.Second)) != 2 {
		t.Errorf("%d waiters are due, want 2", q.CountDueBy(start.Add(2*time.Second)))
	}
	if !q.Remove(soon) || q.Remove(soon) || q.Len() != 3 {
		t.Error("Remove didn't remove the waiter exactly once")
	}
}

func expect(t *testing.T, got []*queue.Waiter, want ...*queue.Waiter) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("got %d waiters, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("waiter %d: got %v, want %v", i, got[i], want[i])
		}
	}
}
