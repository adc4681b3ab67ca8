package operator

import (
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/pkg/account"
	operatorpb "github.com/sequoiapick/sequoiapick/pkg/operator"
	"github.com/sequoiapick/sequoiapick/pkg/pipeline"
	"github.com/sequoiapick/sequoiapick/pkg/target"
	"github.com/sequoiapick/sequoiapick/pkg/tier"
)

// changeFromProto converts a message to a change. If the message has no change ID, the change
// gets a new one.
func changeFromProto(r *operatorpb.ApplyRequest) catalog.Change {
	change := catalog.Change{ID: r.ChangeID}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	for _, p := range r.Pipelines {
		change.Pipelines = append(change.Pipelines, pipelineFromProto(p))
	}
	for _, t := range r.Tiers {
		change.Tiers = append(change.Tiers, tier.Tier{
			Name:        t.Name,
			Deadline:    time.Duration(t.DeadlineMillis) * time.Millisecond,
			PriceMicros: t.PriceMicros,
		})
	}
	for _, a := range r.Accounts {
		change.Accounts = append(change.Accounts, account.Account{
			Name:              a.Name,
			TokenHash:         a.TokenHash,
			MaxInFlight:       int(a.MaxInFlight),
			RequestsPerSecond: a.RequestsPerSecond,
		})
	}
	for _, t := range r.Targets {
		change.Targets = append(change.Targets, targetFromProto(t))
	}
	for _, deletion := range r.Deletions {
		change.Deletions = append(change.Deletions, catalog.Deletion{Noun: catalog.ObjectType(deletion.Noun), Name: deletion.Name})
	}
	return change
}

func pipelineFromProto(p *operatorpb.Pipeline) pipeline.Pipeline {
	converted := pipeline.Pipeline{Name: p.Name}
	for _, s := range p.Stages {
		converted.Stages = append(converted.Stages, pipeline.Stage{Name: s.Name, Kind: s.Kind, Idempotent: s.Idempotent})
	}
	return converted
}

func targetFromProto(t *operatorpb.Target) target.Target {
	return target.Target{
		Name:          t.Name,
		DataCentre:    t.DataCentre,
		Kind:          t.Kind,
		Address:       t.Address,
		Host:          t.Host,
		ColdLimit:     int(t.ColdLimit),
		MaxInFlight:   int(t.MaxInFlight),
		CostMicros:    t.CostMicros,
		MaxRun:        time.Duration(t.MaxRunMillis) * time.Millisecond,
		ChecksFencing: t.ChecksFencing,
		EchoesAttempt: t.EchoesAttempt,
		Leaving:       t.Leaving,
	}
}

// describeReply converts a document to a message, with each list ordered by name.
func describeReply(d catalog.Document) *operatorpb.DescribeReply {
	reply := &operatorpb.DescribeReply{Version: d.Version}
	for _, name := range slices.Sorted(maps.Keys(d.Pipelines)) {
		p := &operatorpb.Pipeline{Name: name}
		for _, s := range d.Pipelines[name].Stages {
			p.Stages = append(p.Stages, &operatorpb.Stage{Name: s.Name, Kind: s.Kind, Idempotent: s.Idempotent})
		}
		reply.Pipelines = append(reply.Pipelines, p)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Tiers)) {
		t := d.Tiers[name]
		reply.Tiers = append(reply.Tiers, &operatorpb.Tier{Name: name, DeadlineMillis: t.Deadline.Milliseconds(), PriceMicros: t.PriceMicros})
	}
	for _, name := range slices.Sorted(maps.Keys(d.Accounts)) {
		a := d.Accounts[name]
		reply.Accounts = append(reply.Accounts, &operatorpb.Account{
			Name:              name,
			TokenHash:         a.TokenHash,
			MaxInFlight:       int64(a.MaxInFlight),
			RequestsPerSecond: a.RequestsPerSecond,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(d.Targets)) {
		reply.Targets = append(reply.Targets, targetToProto(d.Targets[name]))
	}
	return reply
}

func targetToProto(t target.Target) *operatorpb.Target {
	return &operatorpb.Target{
		Name:          t.Name,
		DataCentre:    t.DataCentre,
		Kind:          t.Kind,
		Address:       t.Address,
		Host:          t.Host,
		ColdLimit:     int64(t.ColdLimit),
		MaxInFlight:   int64(t.MaxInFlight),
		CostMicros:    t.CostMicros,
		MaxRunMillis:  t.MaxRun.Milliseconds(),
		ChecksFencing: t.ChecksFencing,
		EchoesAttempt: t.EchoesAttempt,
		Leaving:       t.Leaving,
	}
}

func statusToProto(s Status) *operatorpb.DaemonStatus {
	message := &operatorpb.DaemonStatus{
		Host:          s.Host,
		DataCentre:    s.DataCentre,
		Incarnation:   s.Incarnation,
		ConfigVersion: s.ConfigVersion,
		Epoch:         s.Epoch,
		InFlight:      s.InFlight,
		Reachable:     s.Reachable,
		Ready:         s.Ready,
	}
	for _, t := range s.Targets {
		message.Targets = append(message.Targets, &operatorpb.TargetStatus{
			Name:     t.Name,
			Guardian: t.Guardian,
			Warm:     t.Warm,
			Leaving:  t.Leaving,
			InFlight: int64(t.InFlight),
		})
	}
	return message
}
