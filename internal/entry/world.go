package entry

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster"
	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// worldInterval is the time between two looks at whether targets have changed.
const worldInterval = 50 * time.Millisecond

// updateWorld tells the scheduler which services and targets there are.
func (h *Daemon) updateWorld(ctx context.Context) error {
	ticker := h.Clock.NewTicker(worldInterval)
	defer ticker.Stop()
	var inventoryVersion uint64
	var tableVersion int64
	told := h.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		table := h.table.Load()
		if table == nil {
			continue
		}
		v := h.inventory.Version()
		// Targets turn warm and suspicion ends with time alone.
		if v == inventoryVersion && table.Version == tableVersion && h.Clock.Since(told) < time.Second {
			continue
		}
		inventoryVersion, tableVersion, told = v, table.Version, h.Clock.Now()
		h.tellScheduler(table.Services)
	}
}

func (h *Daemon) tellScheduler(services map[string]service.Service) {
	var targets []dispatch.Target
	var engines []placement.Engine
	for _, t := range h.inventory.Targets("") {
		s, ok := services[t.Service]
		switch {
		case !ok || t.Unreachable:
		case s.Batch != nil:
			targets = append(targets, dispatch.Target{
				ID:          t.ID,
				Service:     t.Service,
				Address:     t.Address,
				DataCentre:  t.DataCentre,
				Incarnation: t.StartUnixMillis,
				Closed:      !t.Usable(),
			})
		default:
			engines = append(engines, placement.Engine{
				ID:            t.ID,
				Service:       t.Service,
				Address:       t.Address,
				DataCentre:    t.DataCentre,
				Incarnation:   t.StartUnixMillis,
				Closed:        !t.Usable(),
				Cold:          t.Cold,
				ColdPerSecond: h.coldRate(s),
				Suspect:       t.Suspect,
			})
		}
	}
	h.scheduler.SetInventory(services, targets, engines)
}

// coldRate is the rate of requests that this daemon may assign to a cold engine; 0 means
// without bound. Without a leader all daemons share the rate.
func (h *Daemon) coldRate(s service.Service) float64 {
	if h.mesh.Leader() == "" {
		return s.ColdPerSecond / float64(max(h.daemons(), 1))
	}
	return s.ColdPerSecond
}

// Receive implements cluster.Handler.
func (h *Daemon) Receive(from string, e *clusterpb.Envelope) {
	switch k := e.GetKind().(type) {
	case *clusterpb.Envelope_Observed:
		if r := h.readers[k.Observed.GetTable()]; r != nil {
			r.receive(from, k.Observed)
		}
	case *clusterpb.Envelope_Wanted:
		if r := h.readers[k.Wanted.GetTable()]; r != nil {
			r.reply(from)
		}
	default:
		h.scheduler.Receive(from, e)
	}
}

// LeaderChanged implements cluster.Handler.
func (h *Daemon) LeaderChanged(leader string) {
	h.log.Emit(event.LeaderChanged, "Leader", leader)
	h.scheduler.LeaderChanged(leader)
	for _, r := range h.readers {
		r.wakeUp()
	}
}

// MembersDiscovered implements cluster.Handler.
func (h *Daemon) MembersDiscovered(members []cluster.Member) {
	for _, m := range members {
		h.log.Emit(event.MemberLearned, "Member", m.Host, "Address", m.Address, "Incarnation", m.Incarnation)
	}
}

// LinkOpened implements cluster.Handler: what this daemon couldn't read it asks for.
func (h *Daemon) LinkOpened(host string) {
	h.scheduler.LinkOpened(host)
	for _, r := range h.readers {
		if !r.loaded() {
			r.want(host)
		}
	}
}
