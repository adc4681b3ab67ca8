package entry

import (
	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/rollout"
	"github.com/sequoiapick/sequoiapick/internal/rollout/gate"
)

// encodePhase returns the message that announces the phase of a rollout.
func encodePhase(r gate.Rollout) *clusterpb.Envelope {
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_RolloutPhase{RolloutPhase: &clusterpb.RolloutPhase{
		Service: r.Service, Version: r.To, Order: r.RowVersion, Phase: int32(r.Phase), Withheld: r.Withheld,
	}}}
}

// encodeReport returns the message of a daemon's report on a service.
func encodeReport(service string, r rollout.Report) *clusterpb.Envelope {
	m := &clusterpb.RolloutReport{
		Service: service, Order: r.RowVersion, Incarnation: r.Incarnation, Reached: r.Reached,
		Phase: int32(r.Phase), OldInProgress: int64(r.OldInProgress), ExpiredUnused: r.ExpiredUnused,
	}
	for _, c := range r.Routes {
		m.Routes = append(m.Routes, &clusterpb.RouteCounts{Route: c.Route, Old: encodeSample(c.Old), New: encodeSample(c.New)})
	}
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_RolloutReport{RolloutReport: m}}
}

// encodeSample omits the empty buckets at the end.
func encodeSample(s rollout.Sample) *clusterpb.AnswerCounts {
	last := 0
	for i, n := range s.Latencies {
		if n != 0 {
			last = i + 1
		}
	}
	return &clusterpb.AnswerCounts{Good: s.Good, Bad: s.Bad, Latencies: append([]int64(nil), s.Latencies[:last]...)}
}

// decodeReport is the inverse of encodeReport for the report of a host.
func decodeReport(host string, m *clusterpb.RolloutReport) rollout.Report {
	r := rollout.Report{
		Host: host, Incarnation: m.GetIncarnation(), RowVersion: m.GetOrder(), Reached: m.GetReached(),
		Phase: rollout.Phase(m.GetPhase()), OldInProgress: int(m.GetOldInProgress()), ExpiredUnused: m.GetExpiredUnused(),
	}
	for _, c := range m.GetRoutes() {
		r.Routes = append(r.Routes, rollout.RouteCounts{Route: c.GetRoute(), Old: decodeSample(c.GetOld()), New: decodeSample(c.GetNew())})
	}
	return r
}

// decodeSample ignores buckets that this version doesn't have.
func decodeSample(m *clusterpb.AnswerCounts) rollout.Sample {
	s := rollout.Sample{Good: m.GetGood(), Bad: m.GetBad()}
	copy(s.Latencies[:], m.GetLatencies())
	return s
}
