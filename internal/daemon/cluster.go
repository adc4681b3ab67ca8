package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/sequoiapick/sequoiapick/internal/claim"
	"github.com/sequoiapick/sequoiapick/internal/fleet"
	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/peer"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/internal/run"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

var (
	_ run.Cluster     = (*Daemon)(nil)
	_ claim.Forwarder = (*Daemon)(nil)
)

// outGracePeriod is the time for which a daemon still admits requests after its data centre
// was taken out, until the load balancer sends them elsewhere. All their stages run in
// other data centres.
const outGracePeriod = 4 * time.Second

// DataCentreOut implements run.Cluster and operator.System.
func (d *Daemon) DataCentreOut(dataCentre string) bool {
	return d.registry.DataCentreOut(dataCentre)
}

// outBeyondGrace reports whether the data centre has been out for outGracePeriod, counted
// from the first call that observes it as out of service.
func (d *Daemon) outBeyondGrace(dataCentre string) bool {
	out := d.registry.DataCentreOut(dataCentre)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !out {
		delete(d.outSince, dataCentre)
		return false
	}
	if d.outSince == nil {
		d.outSince = map[string]time.Time{}
	}
	since, ok := d.outSince[dataCentre]
	if !ok {
		d.outSince[dataCentre] = d.Clock.Now()
		return false
	}
	return d.Clock.Since(since) >= outGracePeriod
}

// View implements run.Cluster.
func (d *Daemon) View(dataCentre string) membership.View {
	if dataCentre == d.Settings.DataCentre {
		return d.fleet.View()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.views[dataCentre]
}

// allViews returns the newest known view of each data centre, by name.
func (d *Daemon) allViews() map[string]membership.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]membership.View{}
	for name, view := range d.views {
		all[name] = view
	}
	return all
}

// findMember returns the member with the incarnation in any data centre, and whether it is
// known.
func (d *Daemon) findMember(incarnation string) (membership.Member, bool) {
	for _, view := range d.allViews() {
		if m, ok := view.Member(incarnation); ok {
			return m, true
		}
	}
	return membership.Member{}, false
}

// Forward implements claim.Forwarder. It sends the submission to the daemon that answers for
// the idempotency keys of the incarnation.
func (d *Daemon) Forward(ctx context.Context, incarnation string, s claim.Submission) (idempotency.Outcome, bool, error) {
	m, ok := d.keyOwner(incarnation)
	if !ok {
		return idempotency.Outcome{}, false, nil
	}
	if m.Incarnation == d.incarnation {
		return idempotency.Outcome{}, true, problem.New(problem.Internal, "a submission to incarnation %q can't be forwarded: this daemon answers for its keys", incarnation)
	}
	call := &peerpb.Call{Kind: &peerpb.Call_Submission{Submission: &peerpb.Submission{
		Account:      s.ID.Account,
		Key:          s.ID.Key,
		Owner:        incarnation,
		Pipeline:     s.Pipeline,
		Tier:         s.Tier,
		Input:        s.Input,
		BudgetMillis: s.Deadline.Sub(d.Clock.Now()).Milliseconds(),
		Request:      s.RequestID,
	}}}
	reply, err := d.peers.Call(ctx, m.PeerAddress, call)
	if err != nil {
		return idempotency.Outcome{}, true, err
	}
	answer := reply.GetAnswer()
	if answer == nil {
		return idempotency.Outcome{}, true, problem.New(problem.Internal, "peer %s sent a reply without an answer", m.Host)
	}
	return idempotency.Outcome{
		Failure: problem.Kind(answer.Failure),
		Detail:  answer.Detail,
		NotRun:  request.RelayedNotRun(answer.NotRun),
		Body:    answer.Body,
	}, true, nil
}

// BroadcastObservation implements run.Cluster.
func (d *Daemon) BroadcastObservation(target string, change fleet.StateChange) {
	d.broadcastNotice(&peerpb.Notice{
		Target:      target,
		Incarnation: change.Incarnation,
		Cold:        change.BecameCold,
		Leaving:     change.BecameLeaving,
	})
}

// broadcastNotice sends a notice, which reports a change of one target's state, to the
// neighbours in this data centre, which relay it.
func (d *Daemon) broadcastNotice(notice *peerpb.Notice) {
	notice.ID = uuid.NewString()
	d.markSeen(notice.ID)
	d.relayNotice(notice)
}

// maxSeenMessages is the maximum number of message IDs that are stored to relay each message
// only once.
const maxSeenMessages = 4096

// markSeen stores the ID of a notice or of changes and reports whether it is new. At
// maxSeenMessages it first discards all stored IDs.
func (d *Daemon) markSeen(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seenMessages[id] {
		return false
	}
	if len(d.seenMessages) >= maxSeenMessages {
		clear(d.seenMessages)
	}
	d.seenMessages[id] = true
	return true
}

// relayNotice sends a notice to the neighbours in this data centre, without waiting.
func (d *Daemon) relayNotice(notice *peerpb.Notice) {
	for _, n := range d.neighbours() {
		if n.remote {
			continue
		}
		d.background(func(ctx context.Context) {
			_, _ = d.peers.Call(ctx, n.member.PeerAddress, &peerpb.Call{Kind: &peerpb.Call_Notice{Notice: notice}})
		})
	}
}

// backgroundTimeout is the maximum time for one call to another daemon that no caller waits
// for.
const backgroundTimeout = 2 * time.Second

// background runs the function in a goroutine, with backgroundTimeout. A planned stop waits
// for it.
func (d *Daemon) background(call func(ctx context.Context)) {
	d.pendingWork.start(func() {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		call(ctx)
	})
}

// failureReason returns the log text of a failed call to another daemon.
func failureReason(err error) string {
	if peer.NotSent(err) {
		return "not sent: " + err.Error()
	}
	return err.Error()
}
