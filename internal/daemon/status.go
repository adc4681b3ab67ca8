package daemon

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/history"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/operator"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
)

var _ operator.System = (*Daemon)(nil)

// Submit implements operator.System.
func (d *Daemon) Submit(ctx context.Context, expected uint64, change catalog.Change) (uint64, error) {
	return d.registry.Submit(ctx, expected, change)
}

// TakeOut implements operator.System.
func (d *Daemon) TakeOut(ctx context.Context, dataCentre string) (string, bool) {
	return d.registry.TakeOut(ctx, dataCentre)
}

// BringIn implements operator.System.
func (d *Daemon) BringIn(ctx context.Context, dataCentre string) error {
	return d.registry.BringIn(ctx, dataCentre)
}

// Explain implements operator.System.
func (d *Daemon) Explain(ctx context.Context, id string) (history.Entry, error) {
	return d.findHistory(ctx, id)
}

// ownStatus returns the status of this daemon.
func (d *Daemon) ownStatus() operator.Status {
	document := d.registry.Document()
	status := operator.Status{
		Host:          d.Settings.Host,
		DataCentre:    d.Settings.DataCentre,
		Incarnation:   d.incarnation,
		ConfigVersion: document.Version,
		Epoch:         d.fleet.View().Epoch,
		InFlight:      d.inFlight.Load(),
		Reachable:     true,
		Ready:         d.Ready(),
	}
	for _, contract := range document.Targets {
		if contract.DataCentre != d.Settings.DataCentre {
			continue
		}
		s := d.fleet.Status(contract)
		status.Targets = append(status.Targets, operator.TargetStatus{
			Name:     contract.Name,
			Guardian: s.Guardian,
			Warm:     s.Warm,
			Leaving:  s.Leaving,
			InFlight: s.InFlight,
		})
	}
	sort.Slice(status.Targets, func(i, j int) bool { return status.Targets[i].Name < status.Targets[j].Name })
	return status
}

// Status implements operator.System. It returns the status of every known member, sorted by
// data centre and host.
func (d *Daemon) Status(ctx context.Context) []operator.Status {
	var members []membership.Member
	dataCentres := map[string]string{}
	for name, view := range d.allViews() {
		for _, m := range view.Members {
			members = append(members, m)
			dataCentres[m.Incarnation] = name
		}
	}
	results := make(chan operator.Status, len(members))
	for _, m := range members {
		go func() { results <- d.statusOf(ctx, m, dataCentres[m.Incarnation]) }()
	}
	all := make([]operator.Status, 0, len(members))
	for range members {
		all = append(all, <-results)
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].DataCentre+"/"+all[i].Host < all[j].DataCentre+"/"+all[j].Host
	})
	return all
}

// statusOf returns the status of a member, or one that isn't reachable if the probe fails.
func (d *Daemon) statusOf(ctx context.Context, m membership.Member, dataCentre string) operator.Status {
	if m.Incarnation == d.incarnation {
		return d.ownStatus()
	}
	status := operator.Status{Host: m.Host, DataCentre: dataCentre, Incarnation: m.Incarnation}
	ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	reply, err := d.peers.Call(ctx, m.PeerAddress, &peerpb.Call{Kind: &peerpb.Call_Probe{Probe: &peerpb.Probe{}}})
	if err != nil {
		return status
	}
	if err := json.Unmarshal(reply.GetProbeReply().GetStatus(), &status); err != nil {
		return operator.Status{Host: m.Host, DataCentre: dataCentre, Incarnation: m.Incarnation}
	}
	return status
}
