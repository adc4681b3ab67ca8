package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// horizon is how far ahead the load of the services is laid out; aims are up to a few
	// seconds away.
	horizon = 3 * time.Second
	// bucket is the step in which the load is laid out.
	bucket = 100 * time.Millisecond
	// buckets is the number of steps.
	buckets = int(horizon / bucket)
	// packing is the share of the targets' time that full calls use; the rest is lost
	// between calls and in calls that aren't full. Of 0.55 to 0.95 it earned most in the
	// emulated bursts and storms.
	packing = 0.75
	// rejectPressure is the demand on a service over what it can do up to the horizon from
	// which a job that can't be on time is rejected: nothing is left for late work.
	rejectPressure = 1.0
	// leastRetry and mostRetry bound the time after which a rejected job may come again.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// outlook is what the targets of a service can do and what admitted jobs need of it.
type outlook struct {
	// capacity is the time that the targets can work until the end of each step.
	capacity [buckets]time.Duration
	// need is the work that must be done until the end of each step.
	need [buckets]time.Duration
	// demand is the work of all jobs, admitted or not.
	demand time.Duration
}

// admit decides which jobs can be on time together in all their stages, and puts the
// others behind. A job that has begun goes before one that hasn't, since its work would be
// lost; among the rest worth for the work in the scarcest service decides.
//
// Looking at one queue only, work is begun for jobs that a later stage has no time for.
func (p *Planner) admit(now time.Time) {
	if p.Order != ByValue {
		return
	}
	outlooks := map[string]*outlook{}
	for _, pl := range p.pools {
		outlooks[pl.name] = pl.outlook(now)
	}
	p.outlooks = outlooks
	jobs := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		if !j.finished {
			jobs = append(jobs, j)
		}
	}
	for _, j := range jobs {
		p.eachStage(j, func(s *stageState, work time.Duration) {
			outlooks[s.plan.Service].demand += work
		})
	}
	for _, j := range jobs {
		j.scarcest, j.merit = p.merit(j, outlooks)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		switch {
		case a.begun != b.begun && a.begun:
			return -1
		case a.begun != b.begun:
			return 1
		case a.merit > b.merit:
			return -1
		case a.merit < b.merit:
			return 1
		default:
			return strings.Compare(a.ID, b.ID)
		}
	})
	for _, j := range jobs {
		j.behind = !p.reserve(now, j, outlooks)
	}
	p.rejectBehind(now, jobs, outlooks)
}

// admitNew decides on a job that has just come, beside what was decided at the last look
// at all jobs; the next one comes within a tick.
func (p *Planner) admitNew(now time.Time, j *job) {
	if p.Order != ByValue {
		return
	}
	for _, s := range j.stages {
		if p.outlooks[s.plan.Service] == nil && len(s.results) > 0 {
			return // a service that has just become known
		}
	}
	j.behind = !p.reserve(now, j, p.outlooks)
}

// eachStage calls f for each stage of the job that still has work to start.
func (p *Planner) eachStage(j *job, f func(s *stageState, work time.Duration)) {
	for _, s := range j.stages {
		pieces := 0
		for i := range s.results {
			if s.results[i].handle == "" && s.results[i].calls <= 0 {
				pieces++
			}
		}
		if pieces == 0 || s.released {
			continue
		}
		pl := p.pool(s.plan.Service)
		each := pl.batch.CallTime/time.Duration(pl.batch.MaxPieces) + pl.pieceTime(s.plan.Kind)
		f(s, time.Duration(pieces)*each)
	}
}

// outlook lays out what the targets of the service can do.
func (pl *pool) outlook(now time.Time) *outlook {
	o := &outlook{}
	for _, t := range pl.targets {
		if t.Closed {
			continue
		}
		free := t.freeAt(now).Sub(now)
		for i := range o.capacity {
			if left := time.Duration(i+1)*bucket - free; left > 0 {
				o.capacity[i] += time.Duration(packing * float64(left) / max(t.slowness, 1))
			}
		}
	}
	return o
}

// pressure is the demand over what the targets can do up to the horizon.
func (o *outlook) pressure() float64 {
	if o.capacity[buckets-1] <= 0 {
		return math.Inf(1)
	}
	return float64(o.demand) / float64(o.capacity[buckets-1])
}

// merit returns the service that has the least to spare for the job, and the job's worth
// for each second of work there, weighed by how scarce it is.
func (p *Planner) merit(j *job, outlooks map[string]*outlook) (scarcest string, merit float64) {
	weight := 0.0
	p.eachStage(j, func(s *stageState, work time.Duration) {
		if w := work.Seconds() * outlooks[s.plan.Service].pressure(); w > weight {
			scarcest, weight = s.plan.Service, w
		}
	})
	if weight <= 0 {
		return scarcest, math.Inf(1)
	}
	return scarcest, j.Value / weight
}

// reserve adds the job's work to what is needed, and reports whether everything admitted
// can still be on time; if it can't the work isn't added.
func (p *Planner) reserve(now time.Time, j *job, outlooks map[string]*outlook) bool {
	fits := true
	p.eachStage(j, func(s *stageState, work time.Duration) {
		due := j.SoftDeadline.Add(-p.after(s))
		if now.Add(p.shortest(s)).After(due) || !outlooks[s.plan.Service].fits(due.Sub(now)-p.pool(s.plan.Service).batch.CallTime/2, work) {
			fits = false
		}
	})
	if !fits {
		return false
	}
	p.eachStage(j, func(s *stageState, work time.Duration) {
		due := j.SoftDeadline.Add(-p.after(s))
		outlooks[s.plan.Service].add(due.Sub(now)-p.pool(s.plan.Service).batch.CallTime/2, work)
	})
	return true
}

// step is the last step that ends before a time; negative if there is none.
func step(due time.Duration) int {
	return min(int(due/bucket), buckets) - 1
}

// fits reports whether work that is due at a time can be done beside what is needed.
func (o *outlook) fits(due time.Duration, work time.Duration) bool {
	first := step(due)
	if first < 0 {
		return false
	}
	for i := first; i < buckets; i++ {
		if o.need[i]+work > o.capacity[i] {
			return false
		}
	}
	return true
}

func (o *outlook) add(due time.Duration, work time.Duration) {
	for i := max(step(due), 0); i < buckets; i++ {
		o.need[i] += work
	}
}

// rejectBehind rejects the jobs that can't be on time and find nothing left for late work:
// those that haven't begun, and those that have and are late already. Held on, they would
// be given up at their deadline, with results in rooms that others need until then.
func (p *Planner) rejectBehind(now time.Time, jobs []*job, outlooks map[string]*outlook) {
	for _, j := range jobs {
		if !j.behind || j.begun && now.Before(j.SoftDeadline) {
			continue
		}
		o := outlooks[j.scarcest]
		if o == nil || o.pressure() < rejectPressure {
			continue
		}
		p.reject(j, Reject{Job: j.ID, Reason: Overloaded, RetryAfter: o.retryAfter(), Service: j.scarcest})
	}
}

// retryAfter is when about half of what is needed is done.
func (o *outlook) retryAfter() time.Duration {
	need := o.need[buckets-1] / 2
	for i, capacity := range o.capacity {
		if capacity >= need {
			return min(max(time.Duration(i+1)*bucket, leastRetry), mostRetry)
		}
	}
	return mostRetry
}
