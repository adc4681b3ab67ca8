package entry

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/canary"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// inventoryCheckInterval is the time between two checks for changes of services or targets.
const inventoryCheckInterval = 50 * time.Millisecond

// updateScheduler passes services and targets to the scheduler whenever they have changed, and
// at least once a second.
func (d *Daemon) updateScheduler(ctx context.Context) error {
	ticker := d.Clock.NewTicker(inventoryCheckInterval)
	defer ticker.Stop()
	var inventoryVersion, rolloutVersion uint64
	var tableVersion int64
	updated := d.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		table := d.routeTable.Load()
		if table == nil {
			continue
		}
		v, rv := d.inventory.Version(), d.rollouts.version()
		// Once a second even without a change of version: targets become warm and stop being
		// suspect by the passing of time alone.
		if v == inventoryVersion && rv == rolloutVersion && table.Version == tableVersion && d.Clock.Since(updated) < time.Second {
			continue
		}
		inventoryVersion, rolloutVersion, tableVersion, updated = v, rv, table.Version, d.Clock.Now()
		d.setSchedulerInventory(table.Services)
	}
}

// setSchedulerInventory passes the services and their targets to the scheduler: stage targets
// are those of services with batches, engines all others. Targets of unreachable data centres
// are omitted.
func (d *Daemon) setSchedulerInventory(services map[string]service.Service) {
	var targets []dispatch.Target
	var engines []placement.Engine
	splits, canaries := d.splits(services)
	for _, t := range d.inventory.Targets("") {
		s, ok := services[t.Service]
		split, inRollout := splits[t.Service]
		switch {
		case !ok || t.Unreachable:
		case s.Batch != nil:
			targets = append(targets, dispatch.Target{
				ID:          t.ID,
				Service:     t.Service,
				Address:     t.Address,
				DataCentre:  t.DataCentre,
				Incarnation: t.StartUnixMillis,
				Closed:      !t.Usable() || inRollout && split.Blocks(t.Version),
			})
		default:
			engines = append(engines, placement.Engine{
				ID:            t.ID,
				Service:       t.Service,
				Address:       t.Address,
				DataCentre:    t.DataCentre,
				Incarnation:   t.StartUnixMillis,
				Closed:        !t.Usable() || inRollout && split.Forbids(t.Version),
				Cold:          t.Cold,
				ColdPerSecond: d.coldRate(s),
				Suspect:       t.Suspect,
				Version:       t.Version,
				Canary:        canaries[t.ID],
			})
		}
	}
	d.listHoldingTargets()
	d.scheduler.SetInventory(services, targets, engines)
}

// splits returns the targets of the services in a rollout by their version, and the IDs of those that get
// the granted requests.
func (d *Daemon) splits(services map[string]service.Service) (splits map[string]canary.Split, canaries map[string]bool) {
	splits, canaries = map[string]canary.Split{}, map[string]bool{}
	for name := range services {
		split, ok := d.rollouts.sides.Split(name)
		if !ok {
			continue
		}
		splits[name] = split
		for _, t := range split.Candidates {
			canaries[t.ID] = true
		}
	}
	return splits, canaries
}

// coldRate returns the number of requests per second that this daemon may assign to a cold
// engine; 0 means no limit. Without a leader all daemons assign engines and share the rate.
func (d *Daemon) coldRate(s service.Service) float64 {
	if d.mesh.Leader() == "" {
		return s.ColdPerSecond / float64(max(d.daemonCount(), 1))
	}
	return s.ColdPerSecond
}
