package dispatch

import (
	"slices"
	"time"
)

const (
	// waitWeight is the weight of a new wait in the typical wait of a service.
	waitWeight = 0.1
	// sunkBonus raises the density of a job whose earlier stages are done, since their work
	// is lost with it.
	sunkBonus = 1.0
	// maxVictims bounds the tasks that one look at a queue puts behind the others.
	maxVictims = 64
)

// order sorts the tasks of a service: first those that can all be on time together, by
// the time at which they must be done, then the rest by what they are worth for their
// work.
//
// Sorted by time alone, a queue that holds a little too much makes everything late at
// once. So the calls that the targets will run are laid out in advance; while a task in
// them would be late, the one among those before it that is worth least for its work is
// put behind.
func (p *Planner) order(now time.Time, pl *pool) {
	if p.Order == ByArrival {
		slices.SortStableFunc(pl.tasks, func(a, b *task) int { return a.since.Compare(b.since) })
		return
	}
	onTime := make([]*task, 0, len(pl.tasks))
	var behind []*task
	for _, t := range pl.tasks {
		t.due = t.stage.job.SoftDeadline.Add(-p.after(t.stage))
		t.density = p.density(pl, t)
		t.late = p.Order == ByValue && (t.stage.job.behind || now.Add(p.shortest(t.stage)).After(t.due))
		if t.late {
			behind = append(behind, t)
			continue
		}
		onTime = append(onTime, t)
	}
	slices.SortStableFunc(onTime, func(a, b *task) int { return a.due.Compare(b.due) })
	for range maxVictims {
		if p.Order == ByDue {
			break
		}
		n := pl.firstLate(now, onTime)
		if n < 0 {
			break
		}
		victim := n
		for i := range onTime[:n] {
			if onTime[i].density < onTime[victim].density {
				victim = i
			}
		}
		onTime[victim].late = true
		behind = append(behind, onTime[victim])
		onTime = slices.Delete(onTime, victim, victim+1)
	}
	slices.SortStableFunc(behind, func(a, b *task) int {
		switch {
		case a.density > b.density:
			return -1
		case a.density < b.density:
			return 1
		default:
			return a.due.Compare(b.due)
		}
	})
	pl.tasks = append(onTime, behind...)
}

// density is the worth of the task's job for each second of work that it needs here.
func (p *Planner) density(pl *pool, t *task) float64 {
	each := pl.batch.CallTime/time.Duration(pl.batch.MaxPieces) + pl.pieceTime(t.stage.plan.Kind)
	work := each * time.Duration(max(len(t.waiting), 1))
	worth := t.stage.job.Value
	if len(t.stage.plan.After) > 0 {
		worth *= 1 + sunkBonus
	}
	return worth / work.Seconds()
}

// after is the time that the stages behind s take, with their typical waits.
func (p *Planner) after(s *stageState) time.Duration {
	longest := time.Duration(0)
	for _, other := range s.job.stages {
		if len(other.results) == 0 || !slices.Contains(other.plan.After, s.index) {
			continue
		}
		longest = max(longest, p.shortest(other)+p.pool(other.plan.Service).wait+p.after(other))
	}
	return longest
}

// slot is a target in the calls that are laid out in advance.
type slot struct {
	at       time.Time
	slowness float64
}

// firstLate lays out the calls for the tasks in their order and returns the index of the
// first task that would be late, or -1.
func (pl *pool) firstLate(now time.Time, tasks []*task) int {
	slots := pl.slots(now)
	if len(slots) == 0 {
		return -1
	}
	next, offset := 0, 0
	for next < len(tasks) {
		first := 0
		for i := range slots {
			if slots[i].at.Before(slots[first].at) {
				first = i
			}
		}
		begin, pieces, took := next, 0, pl.batch.CallTime
		for next < len(tasks) && pieces < pl.batch.MaxPieces {
			fits := min(len(tasks[next].waiting)-offset, pl.batch.MaxPieces-pieces)
			pieces += fits
			offset += fits
			took += time.Duration(fits) * pl.pieceTime(tasks[next].stage.plan.Kind)
			if offset < len(tasks[next].waiting) {
				break
			}
			next, offset = next+1, 0
		}
		slots[first].at = slots[first].at.Add(time.Duration(float64(took) * slots[first].slowness))
		for i := begin; i < next; i++ {
			if slots[first].at.After(tasks[i].due) {
				return i
			}
		}
	}
	return -1
}

// slots returns when each target is free for its next call.
func (pl *pool) slots(now time.Time) []slot {
	var slots []slot
	for _, t := range pl.targets {
		if t.Closed {
			continue
		}
		s := slot{at: t.freeAt(now), slowness: max(t.slowness, 1)}
		slots = append(slots, s)
	}
	return slots
}

// waited takes the wait of a task that was on time into the typical wait of its service.
func (pl *pool) waited(now time.Time, t *task) {
	if t.late {
		return
	}
	pl.wait += time.Duration(waitWeight * float64(now.Sub(t.since)-pl.wait))
}
