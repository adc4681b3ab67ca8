package entry

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster"
	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
)

var _ cluster.Handler = (*Daemon)(nil)

// Receive implements cluster.Handler.
func (d *Daemon) Receive(from string, sentAfter time.Time, e *clusterpb.Envelope) {
	switch k := e.GetKind().(type) {
	case *clusterpb.Envelope_Observed:
		if r := d.tableReaders[k.Observed.GetTable()]; r != nil {
			r.handleUpdate(from, sentAfter, k.Observed)
		}
	case *clusterpb.Envelope_ObservedDeltas:
		if r := d.tableReaders[k.ObservedDeltas.GetTable()]; r != nil {
			r.handleUpdate(from, sentAfter, k.ObservedDeltas)
		}
	case *clusterpb.Envelope_Quarantine:
		d.quarantine.receive(from, k.Quarantine)
	case *clusterpb.Envelope_RequestCrash:
		d.quarantine.receiveCrash(from, k.RequestCrash)
	case *clusterpb.Envelope_RequestAnswer:
		d.quarantine.receiveAnswer(k.RequestAnswer)
	case *clusterpb.Envelope_TargetLoads:
		d.loads.receive(from, sentAfter, k.TargetLoads)
	case *clusterpb.Envelope_TargetLimits:
		d.limitTable.receive(k.TargetLimits)
	case *clusterpb.Envelope_Configuration:
		d.receiveConfiguration(from, sentAfter, k.Configuration.GetRow())
	case *clusterpb.Envelope_Wanted:
		if r := d.tableReaders[k.Wanted.GetTable()]; r != nil {
			r.sendTable(from)
		}
	case *clusterpb.Envelope_HeldRequests:
		d.receiveHeldRequests(from, k.HeldRequests)
	case *clusterpb.Envelope_RolloutReport, *clusterpb.Envelope_RolloutGrant, *clusterpb.Envelope_RolloutPhase:
		if d.settings.Contracts.Rollout {
			d.rollouts.receive(from, e)
		}
	default:
		d.scheduler.Receive(from, e)
	}
}

// LeaderChanged implements cluster.Handler.
func (d *Daemon) LeaderChanged(leader string) {
	d.log.Emit(event.LeaderChanged, "Leader", leader)
	d.scheduler.LeaderChanged(leader)
	if d.settings.Contracts.Rollout {
		d.rollouts.leaderChanged(leader)
	}
	for _, r := range d.tableReaders {
		r.recheckNow()
	}
}

// MembersDiscovered implements cluster.Handler.
func (d *Daemon) MembersDiscovered(members []cluster.Member) {
	for _, m := range members {
		d.log.Emit(event.MemberLearned, "Member", m.Host, "Address", m.Address, "Incarnation", m.Incarnation)
	}
}

// LinkOpened implements cluster.Handler. It requests the tables that this daemon hasn't loaded
// yet from the other daemon.
func (d *Daemon) LinkOpened(host string) {
	d.scheduler.LinkOpened(host)
	d.sendConfiguration(host)
	d.limitTable.announce(host)
	if d.settings.Contracts.Rollout {
		d.rollouts.announce(host)
	}
	for _, r := range d.tableReaders {
		if !r.loaded() {
			r.requestTable(host)
		}
	}
}
