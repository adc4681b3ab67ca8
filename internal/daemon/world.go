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

// outGrace is the time for which a daemon in a data centre that was taken out still
// admits requests, all of whose stages run elsewhere, until the balancer has turned away.
const outGrace = 4 * time.Second

// DataCentreOut implements run.World.
func (d *Daemon) DataCentreOut(dataCentre string) bool {
	return d.registry.DataCentreOut(dataCentre)
}

// outForLong reports whether the data centre has been out for the grace time.
func (d *Daemon) outForLong(dataCentre string) bool {
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
	return d.Clock.Since(since) >= outGrace
}

// View implements run.World.
func (d *Daemon) View(dataCentre string) membership.View {
	if dataCentre == d.Settings.DataCentre {
		return d.fleet.View()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.views[dataCentre]
}

// allViews returns the newest known view of each data centre.
func (d *Daemon) allViews() map[string]membership.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]membership.View{}
	for name, view := range d.views {
		all[name] = view
	}
	return all
}

// memberOf returns the member with the incarnation, in whichever data centre it is.
func (d *Daemon) memberOf(incarnation string) (membership.Member, bool) {
	for _, view := range d.allViews() {
		if m, ok := view.Member(incarnation); ok {
			return m, true
		}
	}
	return membership.Member{}, false
}

// Forward implements claim.Owners.
func (d *Daemon) Forward(ctx context.Context, incarnation string, s claim.Submission) (idempotency.Outcome, bool, error) {
	m, ok := d.answering(incarnation)
	if !ok {
		return idempotency.Outcome{}, false, nil
	}
	if m.Incarnation == d.incarnation {
		return idempotency.Outcome{}, true, problem.New(problem.Internal, "this daemon owns the key")
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
		return idempotency.Outcome{}, true, problem.New(problem.Internal, "peer sent no answer")
	}
	return idempotency.Outcome{
		Failure: problem.Kind(answer.Failure),
		Detail:  answer.Detail,
		NotRun:  request.RelayedNotRun(answer.NotRun),
		Body:    answer.Body,
	}, true, nil
}

// BroadcastObservation implements run.World.
func (d *Daemon) BroadcastObservation(target string, seen fleet.StateChange) {
	d.spreadNotice(&peerpb.Notice{
		Target:      target,
		Incarnation: seen.Incarnation,
		Cold:        seen.BecameCold,
		Leaving:     seen.BecameLeaving,
	})
}

func (d *Daemon) spreadNotice(notice *peerpb.Notice) {
	notice.ID = uuid.NewString()
	d.firstSight(notice.ID)
	d.passOn(notice)
}

// maxNotices bounds the notices that are remembered to keep them from going round.
const maxNotices = 4096

// firstSight remembers a notice and reports whether it is new here.
func (d *Daemon) firstSight(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.notices[id] {
		return false
	}
	if len(d.notices) >= maxNotices {
		clear(d.notices)
	}
	d.notices[id] = true
	return true
}

// passOn sends a notice to the neighbours in this data centre.
func (d *Daemon) passOn(notice *peerpb.Notice) {
	for _, m := range d.neighbours() {
		if m.remote {
			continue
		}
		d.background(func(ctx context.Context) {
			_, _ = d.peers.Call(ctx, m.member.PeerAddress, &peerpb.Call{Kind: &peerpb.Call_Notice{Notice: notice}})
		})
	}
}

// backgroundLimit bounds one call that nobody waits for.
const backgroundLimit = 2 * time.Second

// background runs a short call that a planned stop waits for.
func (d *Daemon) background(call func(ctx context.Context)) {
	d.work.start(func() {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundLimit)
		defer cancel()
		call(ctx)
	})
}

// reason returns a failed call as it is logged.
func reason(err error) string {
	if peer.NotSent(err) {
		return "not sent: " + err.Error()
	}
	return err.Error()
}
