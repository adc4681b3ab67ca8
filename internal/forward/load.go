package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/pace"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
	"github.com/sequoiapick/sequoiapick/platform"
)

// The cost of a target is the number of its requests divided by its slots, the number of
// requests that it runs at a time, plus the penalties below.
const (
	// maxReportAge is the age beyond which a reported load is ignored: plain requests take
	// some tens of milliseconds, so the load changes quickly.
	maxReportAge = 300 * time.Millisecond
	// remotePenalty is the cost of a target in another data centre, in requests per slot.
	remotePenalty = 0.3
	// suspectPenalty is the cost of a target that failed recently, in requests per slot; it
	// is used only if there is no other.
	suspectPenalty = 1000
	// coldPenalty is the cost of a cold target, in requests per slot; warm targets are used
	// first.
	coldPenalty = 100
)

// targetLoads holds this daemon's estimate of the load of each target that runs plain
// requests, by target ID; the zero value is empty.
type targetLoads struct {
	// reports is set by table if it is nil.
	reports *targetload.Table
	// limits are the rate limits that targets name, nil if none are heeded.
	limits *targetlimit.Table

	mu      sync.Mutex
	targets map[string]*targetLoad
}

// targetLoad holds this daemon's estimate of the load of one target.
type targetLoad struct {
	// running counts the running requests of this daemon, changes holds how it changed within maxReportAge.
	running int
	changes []runningChange
	// coldLimiter bounds the rate of this daemon's requests while the target is cold.
	coldLimiter pace.Limiter
}

// runningChange is a change of targetLoad.running by +1 or -1.
type runningChange struct {
	at    time.Time
	delta int
}

// change changes the number of running requests of this daemon.
func (t *targetLoad) change(now time.Time, delta int) {
	t.running += delta
	t.changes = slices.DeleteFunc(t.changes, func(c runningChange) bool { return now.Sub(c.at) >= maxReportAge })
	t.changes = append(t.changes, runningChange{now, delta})
}

// runningAt returns the number of this daemon's requests that a report of the time includes. A report that comes
// with an answer includes its request.
func (t *targetLoad) runningAt(at time.Time) int {
	n := t.running
	for _, c := range t.changes {
		if c.at.After(at) || c.delta < 0 && c.at.Equal(at) {
			n -= c.delta
		}
	}
	return n
}

// table returns the reports; the caller holds mu.
func (l *targetLoads) table() *targetload.Table {
	if l.reports == nil {
		l.reports = &targetload.Table{}
	}
	return l.reports
}

// get returns the load of a target; the caller holds mu.
func (l *targetLoads) get(id string) *targetLoad {
	if l.targets == nil {
		l.targets = map[string]*targetLoad{}
	}
	t := l.targets[id]
	if t == nil {
		t = &targetLoad{}
		l.targets[id] = t
	}
	return t
}

// requestStarted counts a request as running.
func (l *targetLoads) requestStarted(id string, now time.Time) {
	l.mu.Lock()
	l.get(id).change(now, 1)
	l.mu.Unlock()
}

// requestEnded counts a request as ended. The load is what the target sent with the answer, nil if there is
// none; it still includes the ended request. It returns the report, if there is one.
func (l *targetLoads) requestEnded(t inventory.Target, now time.Time, load *platform.Load) (targetload.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(t.ID).change(now, -1)
	if load == nil {
		return targetload.Report{}, false
	}
	report := newReport(t, now, load)
	l.table().Record(report)
	return report, true
}

// newReport returns the report of a load that a target has sent.
func newReport(t inventory.Target, now time.Time, load *platform.Load) targetload.Report {
	return targetload.Report{Target: t.ID, Incarnation: t.StartUnixMillis, Service: t.Service, ObservedAt: now, Load: targetload.FromPercent(load.Running, load.Waiting, load.Slots, load.Pace)}
}

// selection holds the candidates and conditions for the choice of a target.
type selection struct {
	targets []inventory.Target
	// dataCentre is that of this daemon.
	dataCentre string
	// tried holds the IDs of targets that are excluded, since the request was sent to them.
	tried map[string]bool
	// coldShare is the rate at which this daemon may send to a cold target, in requests per
	// second; 0 means no bound.
	coldShare float64
	// deadline is that of the request; a rate limit that a target names isn't waited for beyond it.
	deadline time.Time
	// fits reports whether a target has memory for the request; nil means that all have.
	fits func(target string) bool
}

// choose returns the usable target with the lowest cost and counts a send to it. If none is
// found, rateLimited reports that a target will accept a request as soon as its rate limit allows.
func (l *targetLoads) choose(now time.Time, s selection) (best inventory.Target, found, rateLimited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest := 0.0
	var candidates []candidate
	for _, t := range s.targets {
		if !t.Usable() || !t.HeldUntil.IsZero() || s.tried[t.ID] || s.fits != nil && !s.fits(t.ID) {
			continue
		}
		limiter := &l.get(t.ID).coldLimiter
		if t.Cold {
			// A random first delay keeps the daemons from sending at the same time.
			limiter.SetRate(now, s.coldShare, rand.Float64())
		} else {
			limiter.SetRate(now, 0, 0)
		}
		if !limiter.Allows(now) {
			rateLimited = true
			continue
		}
		if wait, allowed := l.limits.Wait(now, t.ID, t.StartUnixMillis); !allowed || wait > 0 {
			rateLimited = rateLimited || allowed && now.Add(wait).Before(s.deadline)
			continue
		}
		// The random part distributes the requests among targets of nearly the same cost.
		cost := l.cost(now, t, s.dataCentre) + rand.Float64()*0.1
		if !found || cost < lowest {
			best, found, lowest = t, true, cost
		}
		candidates = append(candidates, candidate{target: t})
	}
	if t, ok := l.chooseByPace(now, candidates, s.dataCentre); ok {
		best = t
	}
	if found {
		l.get(best.ID).coldLimiter.RecordSend(now)
		l.limits.RecordSend(now, best.ID, best.StartUnixMillis)
	}
	return best, found, rateLimited
}

// cost returns the requests per slot of the target plus its penalties.
func (l *targetLoads) cost(now time.Time, t inventory.Target, dataCentre string) float64 {
	state := l.get(t.ID)
	requests := float64(state.running)
	if r, ok := l.table().Latest(t.ID, t.StartUnixMillis); ok && now.Sub(r.ObservedAt) < maxReportAge {
		requests += float64(max(r.Load.Running+r.Load.Waiting-state.runningAt(r.ObservedAt), 0))
	}
	return requests/float64(max(t.Slots, 1)) + penalties(t, dataCentre)
}

// penalties returns the sum of the penalties of the target.
func penalties(t inventory.Target, dataCentre string) float64 {
	cost := 0.0
	if t.DataCentre != dataCentre {
		cost += remotePenalty
	}
	if t.Suspect {
		cost += suspectPenalty
	}
	if t.Cold {
		cost += coldPenalty
	}
	return cost
}
