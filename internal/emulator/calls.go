package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// CallSite is a service of three stage targets on machines of NeighbourMachine, for jobs of one stage of two pieces.
type CallSite struct {
	// Interval is the mean time between two jobs.
	Interval time.Duration
	// CallTime and PieceTime are the times of a call and of each of its pieces at the pace 1.
	CallTime, PieceTime time.Duration
	// Paced is set if targets report their pace with the answers to calls.
	Paced bool
	// Duration is the simulated time.
	Duration time.Duration
}

// CallReport is the outcome of the simulation of a CallSite.
type CallReport struct {
	Calls []dispatch.StartCall
	// ExpectedError is the mean error of the expected durations of calls, relative to the actual ones.
	ExpectedError float64
	// Mean is the mean time of a job.
	Mean time.Duration
}

// callStep is the step of the simulation of a CallSite, tickSteps the number of steps between two ticks of the planner.
const (
	callStep  = 5 * time.Millisecond
	tickSteps = 4
)

// openCall is a running call.
type openCall struct {
	dispatch.StartCall
	// left is the time that it still takes at the pace 1.
	left time.Duration
}

// RunCalls simulates the site from the time on with the reports of a table, which may be nil if the site isn't paced.
func RunCalls(site CallSite, loads *targetload.Table, start time.Time, seed uint64) CallReport {
	random := rand.New(rand.NewPCG(seed, 3))
	p := dispatch.New()
	p.Loads = loads
	p.SetServices(map[string]service.Service{"first": {Batch: &service.Batch{Slots: 1, MaxPieces: 4, CallTime: site.CallTime, PieceTime: site.PieceTime, ResultLifetime: 4 * time.Second}}})
	var targets []dispatch.Target
	machines := map[string]*Machine{}
	for i := range 3 {
		id := fmt.Sprintf("t-%d", i)
		targets = append(targets, dispatch.Target{ID: id, Service: "first", Address: id, DataCentre: "x"})
		machines[id] = NeighbourMachine(rand.New(rand.NewPCG(seed, uint64(10+i))))
	}
	var report CallReport
	var open []*openCall
	submitted := map[string]time.Time{}
	finished := 0
	perform := func(now time.Time, actions []dispatch.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case dispatch.StartCall:
				open = append(open, &openCall{a, site.CallTime + time.Duration(len(a.Pieces))*site.PieceTime})
				report.Calls = append(report.Calls, a)
			case dispatch.Finish:
				finished++
				report.Mean += now.Sub(submitted[a.Job])
			}
		}
	}
	perform(start, p.SetTargets(start, targets))
	next, ended := start, 0
	for n := 0; time.Duration(n)*callStep < site.Duration; n++ {
		now := start.Add(time.Duration(n) * callStep)
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() * float64(site.Interval))) {
			id := fmt.Sprint(len(submitted))
			submitted[id] = now
			perform(now, p.Submit(now, dispatch.Job{ID: id, Key: id, SoftDeadline: now.Add(time.Second), Deadline: now.Add(6 * time.Second), Value: 1,
				Stages: []dispatch.Stage{{Service: "first", Pieces: 2, ResultBytes: 10}}}))
		}
		for _, c := range slices.Clone(open) {
			pace := machines[c.Target.ID].Pace(now)
			if c.left -= time.Duration(float64(callStep) / pace); c.left > 0 {
				continue
			}
			open = slices.DeleteFunc(open, func(other *openCall) bool { return other == c })
			report.ExpectedError += math.Abs(float64(c.Expected)/float64(now.Sub(c.Started)) - 1)
			ended++
			if site.Paced {
				loads.Record(targetload.Report{Target: c.Target.ID, Service: "first", ObservedAt: now, Load: targetload.Load{Pace: pace}})
			}
			var results []dispatch.Result
			for i := range c.Pieces {
				results = append(results, dispatch.Result{Handle: fmt.Sprint(c.Call, "-", i)})
			}
			perform(now, p.CallEnded(now, c.Call, results))
		}
		if n%tickSteps == 0 {
			perform(now, p.Tick(now))
		}
	}
	report.ExpectedError /= float64(max(ended, 1))
	report.Mean /= time.Duration(max(finished, 1))
	return report
}
