package forward

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/inventory"
)

// Targets that report their pace are chosen by the predicted time of a request, in multiples of the usual time
// of one at an idle machine. All daemons get the same reports at nearly the same time, so that the cheapest
// target is chosen with a higher probability only: otherwise all of them would send to it.

// pacedSharpness is how strongly the predicted time counts: a target at which a request takes one usual time
// longer is chosen exp(-pacedSharpness) times as often. In the replay, 2 gave a mean that is shorter by up to 3 ms at
// 100 requests/s, but fewer answers within 150 ms at 200.
const pacedSharpness = 1.0

// candidate is a target that may get a request.
type candidate struct {
	target inventory.Target
	// cost is the predicted time plus the penalties, upTo the sum of the weights up to this candidate.
	cost, upTo float64
}

// chooseByPace chooses one of the candidates by their predicted times, and returns false if no pace is known of
// any. A target in another data centre is chosen only if it is better than all of this one despite its penalty.
// The caller holds mu.
func (l *targetLoads) chooseByPace(now time.Time, candidates []candidate, dataCentre string) (inventory.Target, bool) {
	paced := false
	lowest, local := math.Inf(1), false
	for i, c := range candidates {
		t := c.target
		pace, ok := l.table().Pace(now, t.ID, t.StartUnixMillis)
		if !ok {
			pace = 1
		}
		paced = paced || ok
		state := l.get(t.ID)
		requests := float64(state.running)
		if r, ok := l.table().Latest(t.ID, t.StartUnixMillis); ok {
			requests += l.table().Others(now, t.ID, t.StartUnixMillis, state.runningAt(r.ObservedAt))
		}
		candidates[i].cost = pace*(1+requests/float64(max(t.Slots, 1))) + penalties(t, dataCentre)
		if candidates[i].cost < lowest {
			lowest, local = candidates[i].cost, t.DataCentre == dataCentre
		}
	}
	if !paced {
		return inventory.Target{}, false
	}
	sum := 0.0
	for i, c := range candidates {
		if !local || c.target.DataCentre == dataCentre {
			sum += math.Exp(-pacedSharpness * (c.cost - lowest))
		}
		candidates[i].upTo = sum
	}
	for x, i := rand.Float64()*sum, 0; i < len(candidates); i++ {
		if x < candidates[i].upTo {
			return candidates[i].target, true
		}
	}
	return candidates[len(candidates)-1].target, true
}
