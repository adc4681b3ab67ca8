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
// then the rest by descending value density.
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
	var deferred []*task
	for _, t := range pl.tasks {
		t.due = t.stage.job.SoftDeadline.Add(-p.timeAfter(t.stage))
		t.valueDensity = p.taskValueDensity(pl, t)
		t.deferred = p.Order == ByValue && (t.stage.job.deferred || now.Add(p.minCallTime(t.stage)).After(t.due))
		if t.deferred {
			deferred = append(deferred, t)
			continue
		}
		onTime = append(onTime, t)
	}
	slices.SortStableFunc(onTime, func(a, b *task) int { return a.due.Compare(b.due) })
	for range maxDeferredPerSort {
		if p.Order == ByDue {
			break
		}
		n := pl.firstLateTask(now, onTime)
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
	pl.tasks = append(onTime, deferred...)
}

// taskValueDensity returns the value of the task's job per second of target time that the
// waiting pieces need in this service, in full calls. Unlike Planner.valueDensity, it looks at
// one queue only and ignores the pressure.
func (p *Planner) taskValueDensity(pl *pool, t *task) float64 {
	timePerPiece := pl.batch.CallTime/time.Duration(pl.batch.MaxPieces) + pl.pieceTime(t.stage.spec.Kind)
	work := timePerPiece * time.Duration(max(len(t.waiting), 1))
	value := t.stage.job.Value
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
		longest = max(longest, p.minCallTime(other)+p.pool(other.spec.Service).typicalWait+p.timeAfter(other))
	}
	return longest
}

// simulatedTarget is the state of a target in the simulation of firstLateTask: when it is free
// for its next call, and its slowness, which is 1 at least.
type simulatedTarget struct {
	freeAt   time.Time
	slowness float64
}

// firstLateTask simulates the calls for the tasks in their order and returns the index of the
// first task that would be late, or -1 if none is.
func (pl *pool) firstLateTask(now time.Time, tasks []*task) int {
	targets := pl.simulatedTargets(now)
	if len(targets) == 0 {
		return -1
	}
	next, offset := 0, 0
	for next < len(tasks) {
		first := 0
		for i := range targets {
			if targets[i].freeAt.Before(targets[first].freeAt) {
				first = i
			}
		}
		start, pieces, took := next, 0, pl.batch.CallTime
		for next < len(tasks) && pieces < pl.batch.MaxPieces {
			fits := min(len(tasks[next].waiting)-offset, pl.batch.MaxPieces-pieces)
			pieces += fits
			offset += fits
			took += time.Duration(fits) * pl.pieceTime(tasks[next].stage.spec.Kind)
			if offset < len(tasks[next].waiting) {
				break
			}
			next, offset = next+1, 0
		}
		targets[first].freeAt = targets[first].freeAt.Add(time.Duration(float64(took) * targets[first].slowness))
		for i := start; i < next; i++ {
			if targets[first].freeAt.After(tasks[i].due) {
				return i
			}
		}
	}
	return -1
}

// simulatedTargets returns the targets that get new calls, as of now.
func (pl *pool) simulatedTargets(now time.Time) []simulatedTarget {
	var targets []simulatedTarget
	for _, t := range pl.targets {
		if t.Closed {
			continue
		}
		s := simulatedTarget{freeAt: t.freeAt(now), slowness: max(t.slowness, 1)}
		targets = append(targets, s)
	}
	return targets
}

// recordWait adds the queue wait of a task that isn't deferred to the service's moving
// average.
func (pl *pool) recordWait(now time.Time, t *task) {
	if t.deferred {
		return
	}
	pl.typicalWait += time.Duration(typicalWaitWeight * float64(now.Sub(t.queuedAt)-pl.typicalWait))
}
