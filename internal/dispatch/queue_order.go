package dispatch

import (
	"slices"
	"time"
)

const (
	// typicalWaitWeight is the weight of a new sample in the moving average of a service's
	// queue wait.
	typicalWaitWeight = 0.1
	// laterStageBonus raises the value of a job whose earlier stages are done, since their
	// work is lost if the job is.
	laterStageBonus = 1.0
	// maxDeferredPerSort bounds the tasks that one sort of a queue defers.
	maxDeferredPerSort = 64
)

// sortTasks sorts the tasks of a service: first those that can all be on time, by due time,
// then the rest by descending value density.
//
// Sorted by due time alone, a queue that is slightly overloaded makes everything late. So the
// coming calls of the targets are simulated: while a task in them would be late, the task with
// the lowest value density up to that one is deferred.
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

// taskValueDensity returns the value of the task's job per second of work that the task needs
// in this service.
func (p *Planner) taskValueDensity(pl *pool, t *task) float64 {
	each := pl.batch.CallTime/time.Duration(pl.batch.MaxPieces) + pl.pieceTime(t.stage.spec.Kind)
	work := each * time.Duration(max(len(t.waiting), 1))
	value := t.stage.job.Value
	if len(t.stage.spec.After) > 0 {
		value *= 1 + laterStageBonus
	}
	return value / work.Seconds()
}

// timeAfter returns the time that the stages after s take, including the typical queue waits.
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

// targetSlot is a target in the simulation of firstLateTask.
type targetSlot struct {
	freeAt   time.Time
	slowness float64
}

// firstLateTask simulates the calls for the tasks in their order and returns the index of the
// first task that would be late, or -1 if none is.
func (pl *pool) firstLateTask(now time.Time, tasks []*task) int {
	slots := pl.slots(now)
	if len(slots) == 0 {
		return -1
	}
	next, offset := 0, 0
	for next < len(tasks) {
		first := 0
		for i := range slots {
			if slots[i].freeAt.Before(slots[first].freeAt) {
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
		slots[first].freeAt = slots[first].freeAt.Add(time.Duration(float64(took) * slots[first].slowness))
		for i := start; i < next; i++ {
			if slots[first].freeAt.After(tasks[i].due) {
				return i
			}
		}
	}
	return -1
}

// slots returns when each target is free for its next call, and how slow it is.
func (pl *pool) slots(now time.Time) []targetSlot {
	var slots []targetSlot
	for _, t := range pl.targets {
		if t.Closed {
			continue
		}
		s := targetSlot{freeAt: t.freeAt(now), slowness: max(t.slowness, 1)}
		slots = append(slots, s)
	}
	return slots
}

// recordWait adds the queue wait of a task that isn't deferred to the service's moving
// average.
func (pl *pool) recordWait(now time.Time, t *task) {
	if t.deferred {
		return
	}
	pl.typicalWait += time.Duration(typicalWaitWeight * float64(now.Sub(t.queuedAt)-pl.typicalWait))
}
