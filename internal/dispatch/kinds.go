package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// kindMemory is the time constant with which the outcomes of a kind are forgotten.
	kindMemory = 3 * time.Second
	// kindInterval is the time between two corrections of the boosts.
	kindInterval = 100 * time.Millisecond
	// maxServedLag and maxOnTimeLag are the distances by which a more urgent kind may be behind a less
	// urgent one, in the share that is served and in that on time, before it is boosted. The users'
	// bounds are 0.05 and 0.15. The first is negative, since outcomes come after a delay and count
	// attempts, of which a request has up to two.
	maxServedLag = -0.02
	maxOnTimeLag = 0.05
	// boostStep is the relative correction of a boost per interval and unit of lag beyond these.
	boostStep = 4.0
	// maxBoost bounds the boosts.
	maxBoost = 30.0
	// maxKinds bounds the number of kinds; jobs of others are never boosted.
	maxKinds = 256
	// fullyServed is the served share from which a kind isn't boosted.
	fullyServed = 0.95
	// minKindOutcomes is the number of outcomes below which the shares of a kind say little.
	minKindOutcomes = 5.0
)

// kindKey identifies a kind of job.
type kindKey struct {
	route    string
	priority int
}

// kind holds the decayed outcomes of a kind of job.
type kind struct {
	kindKey
	// services are the sorted names of all services that jobs of the kind have used.
	services                 []string
	outcomes, served, onTime float64
	boost                    float64
}

// kinds holds the outcomes by kind. A kind that falls behind a less urgent one which competes for the same
// services is boosted until it has caught up.
type kinds struct {
	byKey map[kindKey]*kind
	last  time.Time
}

// of returns the kind of a job, nil if there are too many.
func (k *kinds) of(j *job) *kind {
	key := kindKey{j.Route, j.Priority}
	if state := k.byKey[key]; state != nil {
		return state
	}
	if len(k.byKey) >= maxKinds {
		return nil
	}
	if k.byKey == nil {
		k.byKey = map[kindKey]*kind{}
	}
	state := &kind{kindKey: key, boost: 1}
	k.byKey[key] = state
	return state
}

// boost returns the factor for the score of a job, 1 at least.
func (k *kinds) boost(j *job) float64 {
	if state := k.byKey[kindKey{j.Route, j.Priority}]; state != nil {
		return state.boost
	}
	return 1
}

// count records the outcome of a job.
func (k *kinds) count(j *job, served, onTime bool) {
	state := k.of(j)
	if state == nil {
		return
	}
	for _, s := range j.stages {
		if len(s.results) > 0 {
			state.addService(s.pool.name)
		}
	}
	if j.Engine != "" {
		state.addService(j.Engine)
	}
	state.outcomes++
	if served {
		state.served++
	}
	if onTime {
		state.onTime++
	}
}

// addService adds a service to those of the kind.
func (k *kind) addService(name string) {
	if i, found := slices.BinarySearch(k.services, name); !found {
		k.services = slices.Insert(k.services, i, name)
	}
}

// usesAll reports whether the kind uses all services of the other one.
func (k *kind) usesAll(other *kind) bool {
	for _, name := range other.services {
		if _, found := slices.BinarySearch(k.services, name); !found {
			return false
		}
	}
	return true
}

// advance forgets old outcomes and corrects the boosts, once in kindInterval.
func (k *kinds) advance(now time.Time) {
	elapsed := now.Sub(k.last)
	if elapsed < kindInterval {
		return
	}
	k.last = now
	decay := math.Exp(-min(elapsed, time.Minute).Seconds() / kindMemory.Seconds())
	for key, a := range k.byKey {
		a.outcomes, a.served, a.onTime = a.outcomes*decay, a.served*decay, a.onTime*decay
		if a.outcomes < 0.01 {
			delete(k.byKey, key)
		}
	}
	for _, a := range k.byKey {
		lag := 0.0
		if a.served > fullyServed*a.outcomes {
			a.boost = max(a.boost*0.97, 1)
			continue
		}
		for _, b := range k.byKey {
			if b.priority > a.priority && min(a.outcomes, b.outcomes) >= minKindOutcomes && b.usesAll(a) {
				lag = max(lag, b.served/b.outcomes-a.served/a.outcomes-maxServedLag, b.onTime/b.outcomes-a.onTime/a.outcomes-maxOnTimeLag)
			}
		}
		if lag > 0 {
			a.boost = min(a.boost*(1+boostStep*lag), maxBoost)
		} else {
			a.boost = max(a.boost*0.97, 1)
		}
	}
}
