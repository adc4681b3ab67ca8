package entry

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
)

// maxLinkDelay is the delay of a link from which the reports that it carries aren't used: their ages don't include
// it. Without a delay the bound that the link gives is below the slowest interval of heartbeats, 300 ms.
const maxLinkDelay = time.Second

// loadTable holds the reports of targets and exchanges those of plain services with other daemons.
type loadTable struct {
	daemon *Daemon
	table  targetload.Table
	relay  targetload.Relay
}

// add passes a report of an answer to this daemon on. It is sent to the leader at once, since a daemon has only a few
// a second; the leader collects them.
func (l *loadTable) add(r targetload.Report) {
	l.relay.Add(r)
	if l.daemon.mesh.Leader() != l.daemon.settings.Host {
		l.send()
	}
}

// run sends what is due until the context ends.
func (l *loadTable) run(ctx context.Context) error {
	ticker := l.daemon.Clock.NewTicker(targetload.RelayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			l.send()
		}
	}
}

// send sends the messages that are due now.
func (l *loadTable) send() {
	now := l.daemon.Clock.Now()
	for _, m := range l.relay.Due(now, l.daemon.settings.Host, l.daemon.mesh.Leader()) {
		l.daemon.mesh.Send(m.Host, &clusterpb.Envelope{Kind: &clusterpb.Envelope_TargetLoads{TargetLoads: encodeLoads(now, m.Reports)}})
	}
}

// receive stores the reports of another daemon. Those of other starts than the listed ones are dropped.
func (l *loadTable) receive(from string, sentAfter time.Time, m *clusterpb.TargetLoads) {
	now := l.daemon.Clock.Now()
	if !sentAfter.IsZero() && now.Sub(sentAfter) > maxLinkDelay {
		return
	}
	var reports []targetload.Report
	for _, load := range m.GetLoads() {
		report, ok := scheduler.DecodeLoad(now, load)
		if !ok {
			l.daemon.log.Emit(event.LoadMalformed, "Source", from, "Target", load.GetTarget(), "Pace", load.GetPace())
			continue
		}
		t, listed := l.daemon.inventory.Target(report.Target)
		if !listed || t.StartUnixMillis != report.Incarnation {
			continue
		}
		report.Service = t.Service
		l.table.Record(report)
		reports = append(reports, report)
	}
	l.relay.Receive(now, from, reports)
}

// encodeLoads returns the message for reports.
func encodeLoads(now time.Time, reports []targetload.Report) *clusterpb.TargetLoads {
	m := &clusterpb.TargetLoads{}
	for _, r := range reports {
		m.Loads = append(m.Loads, scheduler.EncodeLoad(now, r))
	}
	return m
}

// maxGap returns the objective for the pauses of a route's streams, 0 if there is none.
func (d *Daemon) maxGap(name string) time.Duration {
	table := d.routeTable.Load()
	if table == nil {
		return 0
	}
	for i := range table.Routes {
		if table.Routes[i].Name == name {
			return table.Routes[i].MaxGap
		}
	}
	return 0
}
