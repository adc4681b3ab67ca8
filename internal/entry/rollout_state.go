package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/rollout"
)

// RolloutState is a daemon's view of a rollout.
type RolloutState struct {
	Service string
	// Version is the version that operators roll out, Order the version of the order's row.
	Version string
	Order   int64
	// Phase is the phase that the daemon applies, see rollout.Phase.
	Phase string
	// OldTargets and NewTargets are the numbers of known targets, Candidates that of the new ones that get
	// requests.
	OldTargets int
	NewTargets int
	Candidates int
	// OldInProgress is the number of this daemon's attempts in progress at old targets.
	OldInProgress int
	// ByStages is set if the targets run stages of requests. No evidence by route can be obtained of them.
	ByStages bool
	// Refusals counts how often the leader's allowance was used up.
	Refusals int64
	// Decision is the summary of the decider; it is nil except on the leader.
	Decision *RolloutDecision `json:",omitempty"`
}

// RolloutDecision is the summary of a decider, see rollout.Summary.
type RolloutDecision struct {
	Verdict  string
	Reason   string
	Deadline time.Time
	SwitchAt time.Time
	Reached  int64
	Granted  int64
	Allowed  float64
	// Share is the share of the requests that is granted at present.
	Share            float64
	Routes           []rollout.RouteSummary
	TooLittleTraffic []string
}

// states returns the rollouts that the daemon knows, sorted by service.
func (t *rolloutTable) states() []RolloutState {
	if t.sides == nil {
		return nil
	}
	now, table := t.daemon.Clock.Now(), t.daemon.routeTable.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []RolloutState
	for service := range t.orders {
		split, ok := t.sides.Split(service)
		if !ok {
			continue
		}
		s := RolloutState{
			Service: service, Version: split.Rollout.To, Order: split.Rollout.RowVersion, Phase: split.Rollout.Phase.String(),
			OldTargets: len(split.Old), NewTargets: len(split.New), Candidates: len(split.Candidates),
			OldInProgress: t.sides.Report(now, service).OldInProgress, Refusals: t.refusals[service],
			ByStages: table != nil && table.Services[service].Batch != nil,
		}
		if r := t.deciders[service]; r != nil {
			d := r.Summary()
			s.Decision = &RolloutDecision{
				Verdict: d.Verdict.String(), Reason: d.Reason, Deadline: d.Deadline, SwitchAt: d.SwitchAt, Reached: d.Reached,
				Granted: d.Granted, Allowed: d.Allowed, Share: d.Share, Routes: finite(d.Routes), TooLittleTraffic: d.TooLittleTraffic,
			}
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b RolloutState) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// maxEvidence replaces larger values of the evidence, also infinite ones, which JSON can't represent.
const maxEvidence = 1e6

// finite bounds the evidence of the routes.
func finite(routes []rollout.RouteSummary) []rollout.RouteSummary {
	bounded := slices.Clone(routes)
	for i := range bounded {
		for _, v := range []*float64{&bounded[i].FailureEvidence, &bounded[i].SlowEvidence, &bounded[i].BadFrom} {
			*v = min(max(*v, -maxEvidence), maxEvidence)
			if math.IsNaN(*v) {
				*v = 0
			}
		}
	}
	return bounded
}

// rolloutPhases maps the names of phases to the values of the metric.
var rolloutPhases = map[string]rollout.Phase{
	rollout.Canary.String(): rollout.Canary, rollout.Switching.String(): rollout.Switching,
	rollout.Succeeded.String(): rollout.Succeeded, rollout.RolledBack.String(): rollout.RolledBack,
}

// rolloutGauges returns the gauges of the rollouts, without values if there are none.
func (s State) rolloutGauges() []metric.Gauge {
	values := func(value func(r RolloutState) (v float64, known bool)) map[string]float64 {
		byService := map[string]float64{}
		for _, r := range s.Rollouts {
			if v, known := value(r); known {
				byService[r.Service] = v
			}
		}
		return byService
	}
	decision := func(value func(d *RolloutDecision) float64) map[string]float64 {
		return values(func(r RolloutState) (float64, bool) {
			if r.Decision == nil {
				return 0, false
			}
			return value(r.Decision), true
		})
	}
	verdicts := map[string]float64{rollout.Good.String(): 1, rollout.Bad.String(): 2}
	return []metric.Gauge{
		{Name: "SequoiapickRolloutPhase", Description: "phase of a rollout: 0 canary, 1 switching, 2 succeeded, 3 rolled back", Attribute: "Service", Values: values(func(r RolloutState) (float64, bool) { return float64(rolloutPhases[r.Phase]), true })},
		{Name: "SequoiapickRolloutVerdict", Description: "verdict on the new version: 0 undecided, 1 good, 2 bad; only on the leader", Attribute: "Service", Values: decision(func(d *RolloutDecision) float64 { return verdicts[d.Verdict] })},
		{Name: "SequoiapickRolloutReached", Description: "requests of the service since the order, as reported; only on the leader", Attribute: "Service", Values: decision(func(d *RolloutDecision) float64 { return float64(d.Reached) })},
		{Name: "SequoiapickRolloutGranted", Description: "requests granted to the new version; only on the leader", Attribute: "Service", Values: decision(func(d *RolloutDecision) float64 { return float64(d.Granted) })},
		{Name: "SequoiapickRolloutRefusals", Description: "how often the allowance of grants was used up; only on the leader", Attribute: "Service", Values: values(func(r RolloutState) (float64, bool) { return float64(r.Refusals), r.Decision != nil })},
	}
}
