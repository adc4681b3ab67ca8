package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dialer"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
)

const (
	// reachabilityInterval is the time between two checks of the data centres.
	reachabilityInterval = 100 * time.Millisecond
	// probeTimeout limits the time to connect to targets of a data centre of which no daemon is
	// alive; within a region a connection takes a few milliseconds.
	probeTimeout = 250 * time.Millisecond
	// probesPerDataCentre is the number of targets that are probed at a time: more than one, so
	// that a single crashed target doesn't make its data centre unreachable.
	probesPerDataCentre = 2
)

// watchReachability tracks which data centres can be reached from this one. A data centre of
// which no daemon is alive is probed by connecting to its targets, since its daemons may have
// ended while its targets still run.
func (d *Daemon) watchReachability(ctx context.Context) error {
	ticker := d.Clock.NewTicker(reachabilityInterval)
	defer ticker.Stop()
	probing := map[string]bool{}
	results := make(chan reachability, 16)
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-results:
			probing[r.dataCentre] = false
			d.setReachability(r)
		case <-ticker.Chan():
			for dataCentre, silent := range d.mesh.SilentDataCentres() {
				switch {
				case !silent:
					d.setReachability(reachability{dataCentre: dataCentre, reached: true})
				case !probing[dataCentre]:
					probing[dataCentre] = true
					go func() { results <- d.probeDataCentre(ctx, dataCentre) }()
				}
			}
		}
	}
}

// reachability is whether a data centre can be reached from this one.
type reachability struct {
	dataCentre string
	reached    bool
}

// setReachability updates the inventory and logs a change.
func (d *Daemon) setReachability(r reachability) {
	if !d.inventory.SetUnreachable(r.dataCentre, !r.reached) {
		return
	}
	e := event.DataCentreReached
	if !r.reached {
		e = event.DataCentreCut
	}
	d.log.Emit(e, "DataCentre", r.dataCentre)
}

// probeDataCentre connects to a few targets of a data centre, which counts as reached if one of
// them accepts the connection or if it has no targets.
func (d *Daemon) probeDataCentre(ctx context.Context, dataCentre string) reachability {
	var targets []inventory.Target
	for _, t := range d.inventory.Targets("") {
		if t.DataCentre == dataCentre && !t.Draining {
			targets = append(targets, t)
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := make(chan bool, probesPerDataCentre)
	probes := min(probesPerDataCentre, len(targets))
	for _, t := range targets[:probes] {
		go func() { reached <- d.canConnect(ctx, t.Address) }()
	}
	for range probes {
		if <-reached {
			return reachability{dataCentre: dataCentre, reached: true}
		}
	}
	return reachability{dataCentre: dataCentre, reached: probes == 0}
}

func (d *Daemon) canConnect(ctx context.Context, address string) bool {
	from := dialer.From(d.settings.IP)
	c, err := from.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
