// Package queue orders the stages that wait for a target by the latest time at which each
// can start and still end in time, the earliest time first.
//
// That time doesn't change while a stage waits, so a request with a late deadline moves to
// the front as it waits and is never starved.
//
// # Usage
//
//	var q queue.Queue
//	q.Push(&queue.Waiter{StartBy: deadline.Add(-typical)})
//	for _, w := range q.First(16) {
//		if start(w) {
//			q.Remove(w)
//		}
//	}
package queue

import (
	"sort"
	"time"
)

// Waiter is one waiting stage.
type Waiter struct {
	// StartBy is the latest time at which the stage can start and still end in time.
	StartBy time.Time
	// PriceMicros orders urgent waiters in FirstByPrice, in millionths of the currency unit.
	PriceMicros int64
	// Payload is the caller's own data about the stage.
	Payload any
}

// Queue holds waiters ordered by StartBy. The zero value is empty. It is not safe for
// concurrent use.
type Queue struct {
	waiters []*Waiter
}

// Push adds a waiter after those whose StartBy is not later.
func (q *Queue) Push(w *Waiter) {
	index := sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].StartBy.After(w.StartBy) })
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[index+1:], q.waiters[index:])
	q.waiters[index] = w
}

// Remove removes a waiter and reports whether it was in the queue.
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

// FirstByPrice returns up to n waiters: first those whose StartBy is not later than startBy, by
// descending price, and then the others in the order of the queue. It is used when not all of
// the urgent ones can be served in time.
func (q *Queue) FirstByPrice(n int, startBy time.Time) []*Waiter {
	urgent := q.First(q.CountDueBy(startBy))
	sort.SliceStable(urgent, func(i, j int) bool { return urgent[i].PriceMicros > urgent[j].PriceMicros })
	if len(urgent) >= n {
		return urgent[:n]
	}
	return append(urgent, q.First(n)[len(urgent):]...)
}

// CountDueBy returns the number of waiters whose StartBy is not later than startBy.
func (q *Queue) CountDueBy(startBy time.Time) int {
	return sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].StartBy.After(startBy) })
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	return len(q.waiters)
}
