package entry

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
)

// limitTable holds the rate limits that targets name and shares them among the daemons: a daemon tells those that it has
// links to, and the leader passes news on to all. Messages may be lost, so that a daemon repeats what it receives with
// answers from time to time, to the leader.
type limitTable struct {
	daemon *Daemon
	table  targetlimit.Table
}

// notice records what an answer to this daemon says of a limit.
func (l *limitTable) notice(n targetlimit.Notice) {
	n.Source = l.daemon.settings.Host
	news, due := l.table.Record(n)
	switch e := encodeLimits(l.daemon.Clock.Now(), n); {
	case news:
		l.log(n)
		l.daemon.mesh.Broadcast(e)
	case due:
		l.daemon.tellLeaders(e)
	}
}

// receive records the limits that another daemon knows.
func (l *limitTable) receive(m *clusterpb.TargetLimits) {
	now := l.daemon.Clock.Now()
	for _, limit := range m.GetLimits() {
		n := decodeLimit(now, limit)
		news, _ := l.table.Record(n)
		if !news {
			continue
		}
		l.log(n)
		if l.daemon.mesh.Leader() == l.daemon.settings.Host {
			l.daemon.mesh.Broadcast(encodeLimits(now, n))
		}
	}
}

// announce tells a host the limits in force when a link to it was opened.
func (l *limitTable) announce(host string) {
	var notices []targetlimit.Notice
	for _, limit := range l.table.Limits() {
		notices = append(notices, targetlimit.Notice{Target: limit.Target, Incarnation: limit.Incarnation, PerSecond: limit.PerSecond, SentAt: limit.NamedAt, At: limit.NamedAt, Source: limit.Source})
	}
	if len(notices) > 0 {
		l.daemon.mesh.Send(host, encodeLimits(l.daemon.Clock.Now(), notices...))
	}
}

// share returns the share of the limits that this daemon may use. The leader chooses the targets for all daemons that it
// reaches; a daemon that it doesn't reach may follow another leader. Without a leader all daemons have equal shares.
func (l *limitTable) share() float64 {
	d := l.daemon
	switch d.mesh.Leader() {
	case "":
		return 1 / float64(max(d.daemonCount(), 1))
	case d.settings.Host:
		return float64(d.mesh.Live()) / float64(max(d.daemonCount(), 1))
	default:
		return 0
	}
}

// state returns the limit of a target, nil if it has none.
func (l *limitTable) state(now time.Time, t inventory.Target) *LimitState {
	limit, ok := l.table.Limit(t.ID, t.StartUnixMillis)
	if !ok {
		return nil
	}
	share, _ := l.table.Rate(t.ID, t.StartUnixMillis)
	return &LimitState{
		PerSecond: limit.PerSecond, SharePerSecond: share, Source: limit.Source,
		SinceMillis: now.Sub(limit.Since).Milliseconds(), NamedMillis: now.Sub(limit.NamedAt).Milliseconds(),
	}
}

func (l *limitTable) log(n targetlimit.Notice) {
	service := ""
	if t, ok := l.daemon.inventory.Target(n.Target); ok {
		service = t.Service
	}
	l.daemon.log.Emit(event.TargetLimited, "Target", n.Target, "Service", service, "Start", n.Incarnation, "PerSecond", n.PerSecond, "Source", n.Source)
}

// encodeLimits returns the message for notices.
func encodeLimits(now time.Time, notices ...targetlimit.Notice) *clusterpb.Envelope {
	m := &clusterpb.TargetLimits{}
	for _, n := range notices {
		m.Limits = append(m.Limits, &clusterpb.TargetLimit{
			Target: n.Target, Incarnation: n.Incarnation, PerSecond: n.PerSecond, Source: n.Source,
			AgeMillis: now.Sub(n.At).Milliseconds(), SentAgeMillis: now.Sub(n.SentAt).Milliseconds(),
		})
	}
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_TargetLimits{TargetLimits: m}}
}

// decodeLimit returns the notice that another daemon has sent. Its times include the delay of the link.
func decodeLimit(now time.Time, m *clusterpb.TargetLimit) targetlimit.Notice {
	age := func(millis int64) time.Time { return now.Add(-time.Duration(max(millis, 0)) * time.Millisecond) }
	return targetlimit.Notice{
		Target: m.GetTarget(), Incarnation: m.GetIncarnation(), PerSecond: m.GetPerSecond(), Source: m.GetSource(),
		At: age(m.GetAgeMillis()), SentAt: age(m.GetSentAgeMillis()),
	}
}
