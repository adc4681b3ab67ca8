package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
)

const (
	// reachInterval is the time between two looks at which data centres can be reached.
	reachInterval = 100 * time.Millisecond
	// reachTimeout bounds the opening of a connection to a target of a data centre whose
	// daemons are silent; inside a region it takes a few milliseconds.
	reachTimeout = 250 * time.Millisecond
	// reachProbes is the number of targets that are tried at a time, so that one crashed
	// target doesn't decide.
	reachProbes = 2
)

// watchReach finds out which data centres are cut off from this one. The silence of all
// daemons of a data centre raises the question, since they may have ended while its
// targets live; whether a target there takes a connection answers it.
func (h *Daemon) watchReach(ctx context.Context) error {
	ticker := h.Clock.NewTicker(reachInterval)
	defer ticker.Stop()
	asking := map[string]bool{}
	answers := make(chan reach, 16)
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-answers:
			asking[a.dataCentre] = false
			h.setReach(a)
		case <-ticker.Chan():
			for dataCentre, silent := range h.mesh.SilentDataCentres() {
				switch {
				case !silent:
					h.setReach(reach{dataCentre: dataCentre, reached: true})
				case !asking[dataCentre]:
					asking[dataCentre] = true
					go func() { answers <- h.probe(ctx, dataCentre) }()
				}
			}
		}
	}
}

// reach says whether a data centre can be reached.
type reach struct {
	dataCentre string
	reached    bool
}

func (h *Daemon) setReach(r reach) {
	if !h.inventory.SetUnreachable(r.dataCentre, !r.reached) {
		return
	}
	e := event.DataCentreReached
	if !r.reached {
		e = event.DataCentreCut
	}
	h.log.Emit(e, "DataCentre", r.dataCentre)
}

// probe tries to connect to a few targets of a data centre.
func (h *Daemon) probe(ctx context.Context, dataCentre string) reach {
	var there []inventory.Target
	for _, t := range h.inventory.Targets("") {
		if t.DataCentre == dataCentre && !t.Draining {
			there = append(there, t)
		}
	}
	rand.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	reached := make(chan bool, reachProbes)
	probes := min(reachProbes, len(there))
	for _, t := range there[:probes] {
		go func() { reached <- h.connects(ctx, t.Address) }()
	}
	for range probes {
		if <-reached {
			return reach{dataCentre: dataCentre, reached: true}
		}
	}
	return reach{dataCentre: dataCentre, reached: probes == 0}
}

func (h *Daemon) connects(ctx context.Context, address string) bool {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.settings.IP)}}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
