package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/targetload"
)

// PlainSite is a service of plain requests, which any of its targets can run and any daemon may send.
type PlainSite struct {
	Daemons, Targets int
	// Slots is the number of requests that a target runs at a time, Queue the number that may wait; it rejects more.
	Slots, Queue int
	// Rate is the number of requests per second.
	Rate int
	// Work is the mean time of a request at the pace 1. Single requests take from half to one and a half times as long.
	Work time.Duration
	// Pace draws the pace of a target, PaceFor is the mean time after which it is drawn again.
	Pace    func(*rand.Rand) float64
	PaceFor time.Duration
	// Delay is the time of a message between two hosts.
	Delay time.Duration
	// Duration is the simulated time.
	Duration time.Duration
}

// PlainPolicy is what the daemons do in the simulation of a PlainSite. Targets are named by PlainTarget.
type PlainPolicy interface {
	// Send returns the target for a request, which isn't one of those that have rejected it, and false if there is none.
	Send(now time.Time, daemon int, tried map[string]bool) (target string, ok bool)
	// Answered handles an answer with the load of the target, which includes the request.
	Answered(now time.Time, daemon int, target string, load targetload.Load)
	// Step is called each millisecond. After calls a function after a time.
	Step(now time.Time, after func(time.Duration, func(now time.Time)))
}

// PlainReport is the outcome of the simulation of a PlainSite.
type PlainReport struct {
	// Latencies are the times of the served requests, sorted.
	Latencies []time.Duration
	Rejected  int
}

// PlainTarget returns the ID of a target of a PlainSite.
func PlainTarget(i int) string { return fmt.Sprintf("lehu54e-%d", i) }

// plainTarget is a simulated target.
type plainTarget struct {
	pace      float64
	paceUntil time.Time
	// running holds what ends the running requests, in any order; waiting is the queue.
	running, waiting []*plainRequest
}

// plainRequest is a request at a target.
type plainRequest struct {
	daemon  int
	arrived time.Time
	tried   map[string]bool
	endsAt  time.Time
}

// plainRun is the state of the simulation of a PlainSite.
type plainRun struct {
	site   PlainSite
	policy PlainPolicy
	// arrivals, work and paces are the sources of random numbers, so that different policies meet the same site.
	arrivals, work, paces *rand.Rand
	now                   time.Time
	targets               map[string]*plainTarget
	// delayed holds the functions to call at times.
	delayed []delayedCall
	report  PlainReport
}

type delayedCall struct {
	at time.Time
	f  func(now time.Time)
}

// RunPlain simulates the site from the time on, in steps of a millisecond.
func RunPlain(site PlainSite, policy PlainPolicy, start time.Time, seed uint64) PlainReport {
	r := &plainRun{site: site, policy: policy, targets: map[string]*plainTarget{}}
	for i := range site.Targets {
		r.targets[PlainTarget(i)] = &plainTarget{}
	}
	r.arrivals, r.work, r.paces = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	next := start
	for r.now = start; r.now.Sub(start) < site.Duration; r.now = r.now.Add(time.Millisecond) {
		for ; !next.After(r.now); next = next.Add(time.Duration(r.arrivals.ExpFloat64() * float64(time.Second) / float64(site.Rate))) {
			r.send(&plainRequest{daemon: r.arrivals.IntN(site.Daemons), arrived: r.now, tried: map[string]bool{}})
		}
		for i := range site.Targets {
			r.stepTarget(PlainTarget(i))
		}
		policy.Step(r.now, r.after)
		due := r.delayed
		r.delayed = nil
		for _, d := range due {
			if d.at.After(r.now) {
				r.delayed = append(r.delayed, d)
				continue
			}
			d.f(r.now)
		}
	}
	slices.Sort(r.report.Latencies)
	return r.report
}

func (r *plainRun) after(d time.Duration, f func(now time.Time)) {
	r.delayed = append(r.delayed, delayedCall{r.now.Add(d), f})
}

// send sends a request to the target that the policy chooses.
func (r *plainRun) send(q *plainRequest) {
	id, ok := r.policy.Send(r.now, q.daemon, q.tried)
	if !ok {
		r.report.Rejected++
		return
	}
	q.tried[id] = true
	r.after(r.site.Delay, func(time.Time) {
		t := r.targets[id]
		if len(t.running) >= r.site.Slots && len(t.waiting) >= r.site.Queue {
			r.answer(id, q, false)
			return
		}
		t.waiting = append(t.waiting, q)
	})
}

// stepTarget ends and starts requests at a target.
func (r *plainRun) stepTarget(id string) {
	t := r.targets[id]
	if !r.now.Before(t.paceUntil) {
		t.pace = r.site.Pace(r.paces)
		t.paceUntil = r.now.Add(time.Duration(r.paces.ExpFloat64() * float64(r.site.PaceFor)))
	}
	for _, q := range slices.Clone(t.running) {
		if !r.now.Before(q.endsAt) {
			r.answer(id, q, true)
			t.running = slices.DeleteFunc(t.running, func(other *plainRequest) bool { return other == q })
		}
	}
	for len(t.running) < r.site.Slots && len(t.waiting) > 0 {
		q := t.waiting[0]
		t.waiting = t.waiting[1:]
		q.endsAt = r.now.Add(time.Duration(float64(r.site.Work) * (0.5 + r.work.Float64()) * t.pace))
		t.running = append(t.running, q)
	}
}

// answer sends the answer of a target with its load. A rejected request is sent to another target.
func (r *plainRun) answer(id string, q *plainRequest, served bool) {
	t := r.targets[id]
	load := targetload.Load{Running: len(t.running), Waiting: len(t.waiting), Slots: r.site.Slots, Pace: t.pace}
	if !served {
		load.Running++
	}
	r.after(r.site.Delay, func(now time.Time) {
		r.policy.Answered(now, q.daemon, id, load)
		if served {
			r.report.Latencies = append(r.report.Latencies, now.Sub(q.arrived))
			return
		}
		r.send(q)
	})
}
