package entry

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/targetmemory"
)

// heldRequestsInterval is the time between two reports of what targets hold for this daemon. A report lists at
// most 16 targets, some 25 bytes each.
const heldRequestsInterval = 500 * time.Millisecond

// newTargetMemory returns a tracker that logs the bounds that it learns, nil if the contract on pressure isn't
// in force.
func (d *Daemon) newTargetMemory() *targetmemory.Tracker {
	if !d.settings.Contracts.Pressure {
		return nil
	}
	return &targetmemory.Tracker{Learned: func(service string, bound int64) {
		d.log.Emit(event.TargetBoundLearned, "Service", service, "Bound", bound)
	}}
}

// shareHeldRequests reports what targets hold for plain requests of this daemon to the linked daemons, until
// the context ends. While that is little, it reports nothing.
func (d *Daemon) shareHeldRequests(ctx context.Context) error {
	if d.targetMemory == nil {
		return nil
	}
	ticker := d.Clock.NewTicker(heldRequestsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		if counts, needed := d.targetMemory.Report(); needed {
			d.mesh.Broadcast(encodeHeldRequests(counts))
		}
	}
}

func encodeHeldRequests(counts map[string]int64) *clusterpb.Envelope {
	m := &clusterpb.HeldRequests{}
	for target, bytes := range counts {
		m.Targets = append(m.Targets, &clusterpb.HeldAtTarget{Target: target, Bytes: bytes})
	}
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_HeldRequests{HeldRequests: m}}
}

// receiveHeldRequests applies the report of another daemon. Without the contract it is ignored.
func (d *Daemon) receiveHeldRequests(from string, m *clusterpb.HeldRequests) {
	counts := make(map[string]int64, len(m.GetTargets()))
	for _, t := range m.GetTargets() {
		counts[t.GetTarget()] = max(t.GetBytes(), 0)
	}
	d.targetMemory.Receive(d.Clock.Now(), from, counts)
}

// listHoldingTargets passes the targets to the tracker of plain requests, which finds those that have ended.
func (d *Daemon) listHoldingTargets() {
	if d.targetMemory == nil {
		return
	}
	var list []targetmemory.Target
	for _, t := range d.inventory.Targets("") {
		list = append(list, targetmemory.Target{ID: t.ID, Service: t.Service, Incarnation: t.StartUnixMillis, Leaving: t.Draining || t.Leaving})
	}
	d.targetMemory.SetTargets(d.Clock.Now(), list)
}
