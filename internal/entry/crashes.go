package entry

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/forward"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
)

const (
	// brokenQueueLength limits the broken attempts that wait to be checked.
	brokenQueueLength = 256
	// crashCheckTimeout bounds the check whether a target has ended: some round trips.
	crashCheckTimeout = 300 * time.Millisecond
	// crashCheckRetention is how long the result of a check is used for other attempts at the same start of a target.
	crashCheckRetention = time.Second
)

// startKey identifies a start of a target.
type startKey struct {
	target      string
	incarnation int64
}

// crashCheck is the result of a check whether a start of a target has ended.
type crashCheck struct {
	at    time.Time
	ended bool
}

// attemptBroken queues an attempt that was broken off, to check whether its target has ended.
func (q *quarantineTable) attemptBroken(b forward.BrokenAttempt) {
	select {
	case q.broken <- b:
	default:
		q.daemon.log.Emit(event.LoopFailed, "Task", "crashes", "Reason", "too many broken attempts wait to be checked", "Target", b.Target)
	}
}

// watchCrashes checks for each broken attempt whether its target has ended, until the context ends. The port of a
// process that has ended refuses connections; that of one whose connections were reset or cut doesn't.
func (q *quarantineTable) watchCrashes(ctx context.Context) error {
	checks := map[startKey]crashCheck{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-q.broken:
			now := q.daemon.Clock.Now()
			for key, check := range checks {
				if now.Sub(check.at) > crashCheckRetention {
					delete(checks, key)
				}
			}
			key := startKey{b.Target, b.Incarnation}
			check, known := checks[key]
			if !known {
				check = crashCheck{at: now, ended: q.hasEnded(ctx, b.Address)}
				checks[key] = check
			}
			if check.ended {
				q.recordCrash(q.daemon.settings.Host, b.Crash)
			}
		}
	}
}

func (q *quarantineTable) hasEnded(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	return q.daemon.pool.Refuses(ctx, address)
}

// spreadCrashes is the number of crashes from which the leader tells all daemons of a suspected request. One crash breaks
// off many requests, of which only the one that caused it crashes another target.
const spreadCrashes = 2

// recordCrash records a crash that the daemon on a host has seen. The leader and its standbys collect the evidence of all
// daemons, so that the death of one loses none.
func (q *quarantineTable) recordCrash(host string, c quarantine.Crash) {
	news, found := q.tracker.RecordRequestCrash(c)
	if !news {
		return
	}
	d := q.daemon
	own, leads, crashes := host == d.settings.Host, d.mesh.Leader() == d.settings.Host, q.tracker.RequestCrashes(c.Request)
	d.log.Emit(event.RequestSuspected, "Fingerprint", c.Request.String(), "Request", c.Attempt, "Target", c.Target, "Service", c.Service, "Start", c.Incarnation,
		"Crashes", crashes, "Source", host)
	e := &clusterpb.Envelope{Kind: &clusterpb.Envelope_RequestCrash{RequestCrash: &clusterpb.RequestCrash{
		Service: c.Service, Fingerprint: c.Request[:], Attempt: c.Attempt, Target: c.Target, Incarnation: c.Incarnation,
	}}}
	if leads && crashes >= spreadCrashes {
		d.mesh.Broadcast(e)
	} else if own {
		d.tellLeaders(e)
	}
	if q.tracker.WasAnswered(c.Request) && q.tracker.MarkAnswered(c.Request) {
		d.tellLeaders(encodeAnswer(c.Request, true))
	}
	switch cause := (quarantine.Cause{ID: c.Request.String(), Request: true}); {
	case found && (own || leads):
		q.hold(cause)
	case found:
		q.log(quarantineChange{cause: cause}, host)
	}
}

// receiveCrash records a crash that another daemon reports.
func (q *quarantineTable) receiveCrash(from string, m *clusterpb.RequestCrash) {
	c := quarantine.Crash{Service: m.GetService(), Attempt: m.GetAttempt(), Target: m.GetTarget(), Incarnation: m.GetIncarnation()}
	if copy(c.Request[:], m.GetFingerprint()) == len(c.Request) {
		q.recordCrash(from, c)
	}
}

// requestAnswered records that a target has answered a request of this daemon.
func (q *quarantineTable) requestAnswered(f quarantine.Fingerprint) {
	cleared, released := q.tracker.RecordRequestAnswer(f)
	if cleared {
		q.shareAnswer(f)
	}
	if released {
		q.release(quarantine.Cause{ID: f.String(), Request: true})
	}
}

// shareAnswer tells that a suspected request was answered after its crashes: the leader tells all daemons, others tell the
// leader.
func (q *quarantineTable) shareAnswer(f quarantine.Fingerprint) {
	if d := q.daemon; d.mesh.Leader() == d.settings.Host {
		d.mesh.Broadcast(encodeAnswer(f, false))
	} else {
		d.tellLeaders(encodeAnswer(f, false))
	}
}

// receiveAnswer records that another daemon has got an answer to a suspected request.
func (q *quarantineTable) receiveAnswer(m *clusterpb.RequestAnswer) {
	var f quarantine.Fingerprint
	if copy(f[:], m.GetFingerprint()) != len(f) {
		return
	}
	if m.GetBefore() {
		q.tracker.MarkAnswered(f)
		return
	}
	if d := q.daemon; q.tracker.ClearRequest(f) && d.mesh.Leader() == d.settings.Host {
		d.mesh.Broadcast(encodeAnswer(f, false))
	}
}

// encodeAnswer returns the message that a suspected request was answered, before its crashes only or after them.
func encodeAnswer(f quarantine.Fingerprint, before bool) *clusterpb.Envelope {
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_RequestAnswer{RequestAnswer: &clusterpb.RequestAnswer{Fingerprint: f[:], Before: before}}}
}

// tellLeaders sends a message to the leader and to the daemons that would lead next.
func (d *Daemon) tellLeaders(e *clusterpb.Envelope) {
	hosts := d.mesh.Standbys()
	if leader := d.mesh.Leader(); leader != "" && leader != d.settings.Host && !slices.Contains(hosts, leader) {
		hosts = append(hosts, leader)
	}
	for _, host := range hosts {
		d.mesh.Send(host, e)
	}
}
