package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/pace"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// reportMaxAge is the age beyond which a target's load no longer says anything; short
	// requests last some tens of milliseconds.
	reportMaxAge = 300 * time.Millisecond
	// awayPenalty is the weight of another data centre, in waiting requests.
	awayPenalty = 0.3
	// suspectPenalty keeps requests away from targets that failed lately.
	suspectPenalty = 1000
	// coldPenalty keeps requests away from cold targets while others have room.
	coldPenalty = 100
)

// loads is what this daemon knows of the load of targets that run plain requests.
type loads struct {
	mu      sync.Mutex
	targets map[string]*targetLoad
}

type targetLoad struct {
	// running counts the requests of this daemon.
	running int
	// others is the load reported by the target without this daemon's requests.
	others   int
	reported time.Time
	// cold bounds the requests of this daemon while the target is cold.
	cold pace.Limiter
}

func (l *loads) get(id string) *targetLoad {
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

func (l *loads) begin(id string) {
	l.mu.Lock()
	l.get(id).running++
	l.mu.Unlock()
}

func (l *loads) end(id string, now time.Time, report *platform.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(id)
	t.running--
	if report != nil {
		t.others = max(report.Running+report.Waiting-t.running-1, 0)
		t.reported = now
	}
}

// choice is what a target is chosen from.
type choice struct {
	targets    []inventory.Target
	dataCentre string
	// tried are the targets that the request was sent to before.
	tried map[string]bool
	// coldShare is the rate of requests that this daemon may send to a cold target; 0 means
	// without bound.
	coldShare float64
}

// choose returns the usable target with the least load. Paced says, if there is none, that
// some cold target will bear one more request soon.
func (l *loads) choose(now time.Time, c choice) (best inventory.Target, found, paced bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest := 0.0
	for _, t := range c.targets {
		if !t.Usable() || c.tried[t.ID] {
			continue
		}
		cold := &l.get(t.ID).cold
		if t.Cold {
			cold.SetRate(now, c.coldShare, rand.Float64())
		} else {
			cold.SetRate(now, 0, 0)
		}
		if !cold.Allows(now) {
			paced = true
			continue
		}
		cost := l.cost(now, t, c.dataCentre) + rand.Float64()*0.1
		if !found || cost < lowest {
			best, found, lowest = t, true, cost
		}
	}
	if found {
		l.get(best.ID).cold.RecordSend(now)
	}
	return best, found, paced
}

func (l *loads) cost(now time.Time, t inventory.Target, dataCentre string) float64 {
	state := l.get(t.ID)
	busy := float64(state.running)
	if now.Sub(state.reported) < reportMaxAge {
		busy += float64(state.others)
	}
	cost := busy / float64(max(t.Slots, 1))
	if t.DataCentre != dataCentre {
		cost += awayPenalty
	}
	if t.Suspect {
		cost += suspectPenalty
	}
	if t.Cold {
		cost += coldPenalty
	}
	return cost
}
