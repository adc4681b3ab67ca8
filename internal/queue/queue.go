// Package queue orders the stages that wait for a target: the one that must start
// first comes first.
//
// The order is by the latest time at which a stage can start and still end in time.
// That time doesn't change while a stage waits, so a request with a late deadline
// moves to the front as it ages and is never starved.
//
// # Usage
//
//	var q queue.Queue
//	q.Push(&queue.Waiter{StartBy: deadline.Add(-typical)})
//	for _, w := range q.First(16) { ... }
//	q.Remove(w)
package queue

import (
	"sort"
	"time"
)

// Waiter is one stage that waits.
type Waiter struct {
	// StartBy is the latest time at which the stage can start and still end in time.
	StartBy time.Time
	// PriceMicros decides among urgent waiters when not all can be served.
	PriceMicros int64
	// Payload is what the user of the queue needs to go on with the stage.
	Payload any
}

// Queue is ordered by StartBy; the zero value is empty. It is not safe for concurrent use.
type Queue struct {
	waiters []*Waiter
}

// Push adds a waiter behind those that must start no later.
func (q *Queue) Push(w *Waiter) {
	place := sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].StartBy.After(w.StartBy) })
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[place+1:], q.waiters[place:])
	q.waiters[place] = w
}

// Remove takes a waiter out and reports whether it was there.
func (q *Queue) Remove(w *Waiter) bool {
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// First returns up to n waiters from the front.
func (q *Queue) First(n int) []*Waiter {
	return append([]*Waiter(nil), q.waiters[:min(n, len(q.waiters))]...)
}

// FirstByPrice returns up to n waiters, those that must start before the time by price, and
// then the others.
func (q *Queue) FirstByPrice(n int, before time.Time) []*Waiter {
	urgent := q.First(q.CountDueBy(before))
	sort.SliceStable(urgent, func(i, j int) bool { return urgent[i].PriceMicros > urgent[j].PriceMicros })
	if len(urgent) >= n {
		return urgent[:n]
	}
	return append(urgent, q.First(n)[len(urgent):]...)
}

// CountDueBy returns the number of waiters that must start before the time.
func (q *Queue) CountDueBy(startBy time.Time) int {
	return sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].StartBy.After(startBy) })
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	return len(q.waiters)
}
