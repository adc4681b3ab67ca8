package dispatch

import (
	"slices"
	"time"
)

const (
	// typicalWaitWeight is the weight of a new sample in the moving average of a service's
	// queue wait.
	typicalWaitWeight = 0.1
	// laterStageBonus is added to the value of a job whose earlier stages are done, relative to
	// that value: their work would be lost if the job were rejected.
	laterStageBonus = 1.0
	// maxDeferredPerSort bounds the tasks that one sort of a queue defers, since each of them
	// takes a simulation of the whole queue.
	maxDeferredPerSort = 64
)

// sortTasks sorts the tasks of a service: first those that can all be on time, by due time,
// then those of jobs with the verdict late by due time, then the rest by descending value density.
//
// Sorted by due time alone, a queue that is slightly overloaded makes everything late. So the
// coming calls of the targets are simulated: while a task would be late, the task with the
// lowest value density among it and those before it is deferred.
//
// The baseline orders are simpler: ByArrival sorts by the time of queueing, ByDue by due time
// without deferring.
func (p *Planner) sortTasks(now time.Time, pl *pool) {
	if p.Order == ByArrival {
		slices.SortStableFunc(pl.tasks, func(a, b *task) int { return a.queuedAt.Compare(b.queuedAt) })
		return
	}
	onTime := make([]*task, 0, len(pl.tasks))
	var lateTasks, deferred []*task
	for _, t := range pl.tasks {
		t.due = t.stage.job.endBy().Add(-p.timeAfter(t.stage))
		t.left = t.due.Sub(now)
		t.valueDensity = p.taskValueDensity(pl, t)
		t.deferred = p.Order == ByValue && (t.stage.job.deferred || now.Add(p.minCallTime(t.stage)).After(t.due))
		if t.deferred {
			deferred = append(deferred, t)
			continue
		}
		if t.stage.job.verdict == late {
			t.due = t.lateDue()
			lateTasks = append(lateTasks, t)
			continue
		}
		onTime = append(onTime, t)
	}
	slices.SortStableFunc(onTime, func(a, b *task) int { return a.due.Compare(b.due) })
	var targets []simulatedTarget
	if p.Order == ByValue && !pl.allOnTime(now, onTime) {
		targets = pl.simulatedTargets(now)
	}
	for range maxDeferredPerSort {
		if len(targets) == 0 {
			break
		}
		n := pl.firstLateTask(targets, onTime)
		if n < 0 {
			break
		}
		lowest := n
		for i := range onTime[:n] {
			if onTime[i].valueDensity < onTime[lowest].valueDensity {
				lowest = i
			}
		}
		onTime[lowest].deferred = true
		deferred = append(deferred, onTime[lowest])
		onTime = slices.Delete(onTime, lowest, lowest+1)
	}
	slices.SortStableFunc(deferred, func(a, b *task) int {
		switch {
		case a.valueDensity > b.valueDensity:
			return -1
		case a.valueDensity < b.valueDensity:
			return 1
		default:
			return a.due.Compare(b.due)
		}
	})
	slices.SortStableFunc(lateTasks, func(a, b *task) int { return a.due.Compare(b.due) })
	pl.tasks = append(append(onTime, lateTasks...), deferred...)
}

// taskValueDensity returns the value of the task's job per second of target time that the
// waiting pieces need in this service, in full calls. Unlike job.density, it looks at
// one queue only and ignores the pressure.
func (p *Planner) taskValueDensity(pl *pool, t *task) float64 {
	timePerPiece := pl.batch.CallTime/time.Duration(pl.batch.MaxPieces) + t.stage.pieceTime()
	work := timePerPiece * time.Duration(max(len(t.waiting), 1))
	value := t.stage.job.Value
	if t.stage.job.verdict == late {
		value *= lateValueShare
	}
	if len(t.stage.spec.After) > 0 {
		value *= 1 + laterStageBonus
	}
	return value / work.Seconds()
}

// timeAfter returns the expected time from the end of s to the end of the job: the longest chain
// of stages after s, with their shortest call times and typical queue waits.
func (p *Planner) timeAfter(s *stageState) time.Duration {
	longest := time.Duration(0)
	for _, other := range s.job.stages {
		if len(other.results) == 0 || !slices.Contains(other.spec.After, s.index) {
			continue
		}
		longest = max(longest, p.minCallTime(other)+other.pool.typicalWait+p.timeAfter(other))
	}
	return longest
}

// allOnTime reports whether so many targets are free that all tasks, which are sorted by due time, are
// obviously on time: each call that they need starts now and ends before the first is due.
func (pl *pool) allOnTime(now time.Time, tasks []*task) bool {
	pieces, pieceTime := 0, time.Duration(0)
	for _, t := range tasks {
		pieces += len(t.waiting)
		pieceTime = max(pieceTime, t.stage.pieceTime())
	}
	if pieces == 0 {
		return true
	}
	calls, slowness := (pieces+pl.batch.MaxPieces-1)/pl.batch.MaxPieces, 1.0
	for _, t := range pl.targets {
		if calls <= 0 {
			break
		}
		if !t.Closed && t.freeAt(now).Equal(now) {
			calls--
			slowness = max(slowness, t.slowness)
		}
	}
	longest := float64(pl.batch.CallTime+pieceTime*time.Duration(pl.batch.MaxPieces)) * slowness
	return calls <= 0 && time.Duration(longest) <= tasks[0].left
}

// simulatedTarget is the state of a target in the simulation of firstLateTask: the time until it is
// free for its next call, its slowness, which is 1 at least, and its index among the targets.
type simulatedTarget struct {
	free     time.Duration
	slowness float64
	index    int
}

// before reports whether a gets its next call before b.
func (a *simulatedTarget) before(b *simulatedTarget) bool {
	return a.free < b.free || a.free == b.free && a.index < b.index
}

// firstLateTask simulates the calls for the tasks in their order and returns the index of the
// first task that would be late, or -1 if none is. The targets, of which there is at least one, are
// those of simulatedTargets.
func (pl *pool) firstLateTask(targets []simulatedTarget, tasks []*task) int {
	heap := append(pl.simulated[:0], targets...)
	pl.simulated = heap
	next, offset := 0, 0
	for next < len(tasks) {
		start, pieces, took := next, 0, pl.batch.CallTime
		for next < len(tasks) && pieces < pl.batch.MaxPieces {
			fits := min(len(tasks[next].waiting)-offset, pl.batch.MaxPieces-pieces)
			pieces += fits
			offset += fits
			took += time.Duration(fits) * tasks[next].stage.pieceTime()
			if offset < len(tasks[next].waiting) {
				break
			}
			next, offset = next+1, 0
		}
		heap[0].free += time.Duration(float64(took) * heap[0].slowness)
		for i := start; i < next; i++ {
			if heap[0].free > tasks[i].left {
				return i
			}
		}
		sink(heap, 0)
	}
	return -1
}

// sink restores the order of a heap of targets, the one that gets the next call first, after the one at
// the index has changed.
func sink(heap []simulatedTarget, parent int) {
	for {
		first := 2*parent + 1
		if first >= len(heap) {
			return
		}
		if second := first + 1; second < len(heap) && heap[second].before(&heap[first]) {
			first = second
		}
		if heap[parent].before(&heap[first]) {
			return
		}
		heap[parent], heap[first] = heap[first], heap[parent]
		parent = first
	}
}

// simulatedTargets returns the targets that get new calls, as of now, as a heap for firstLateTask.
func (pl *pool) simulatedTargets(now time.Time) []simulatedTarget {
	targets := make([]simulatedTarget, 0, len(pl.targets))
	for i, t := range pl.targets {
		if !t.Closed {
			targets = append(targets, simulatedTarget{free: t.freeAt(now).Sub(now), slowness: max(t.slowness, 1) / t.limitedShare(), index: i})
		}
	}
	for i := len(targets)/2 - 1; i >= 0; i-- {
		sink(targets, i)
	}
	return targets
}

// recordWait adds the queue wait of a task that isn't deferred to the service's moving
// average.
func (pl *pool) recordWait(now time.Time, t *task) {
	if t.deferred || t.stage.job.verdict == late {
		return
	}
	pl.typicalWait += time.Duration(typicalWaitWeight * float64(now.Sub(t.queuedAt)-pl.typicalWait))
}
