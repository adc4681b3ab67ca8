package run

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/fleet"
	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/peer"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// send makes one attempt, directly or through the guardian. It records the intent before the
// first byte can leave and withdraws it if none has left. When the attempt has ended, its slot
// may be free, so send assigns free slots to waiting stages.
func (s *stageRun) send(ctx context.Context, sl slot, attempt link.Attempt, sink func([]byte) error) (link.Result, error) {
	intent, err := s.job.SendRecord.RecordIntent(s.stage.Idempotent)
	if err != nil {
		if d, ok := sl.reservation.(fleet.Direct); ok {
			s.runner.Fleet.Release(sl.candidate.Target.Name, d.Cold)
		}
		return link.Result{}, err
	}
	result, err := s.runner.sendTo(ctx, sl, attempt, s.stage.Idempotent, sink)
	s.runner.assignSlots(s.stage.Kind)
	if link.NotSent(err) {
		intent.Withdraw()
	}
	return result, err
}

// sendTo sends the attempt directly or through the guardian, as the reservation states.
func (r *Runner) sendTo(ctx context.Context, sl slot, attempt link.Attempt, idempotent bool, sink func([]byte) error) (link.Result, error) {
	t := sl.candidate.Target
	switch d := sl.reservation.(type) {
	case fleet.Direct:
		return r.sendDirect(ctx, t, attempt, idempotent, d.Cold, sink)
	case fleet.Forward:
		return r.sendViaGuardian(ctx, t, d.Guardian, attempt, idempotent, sink)
	default:
		return link.Result{}, notSent("no slot is reserved")
	}
}

// notSent returns an error of kind Overloaded for an attempt of which no byte has left.
func notSent(reason string) error {
	return &link.SendError{NotSent: true, Err: problem.New(problem.Overloaded, "%s", reason)}
}

// ServeAttempt makes an attempt for another daemon; this daemon must be the guardian of the
// target. If it isn't, or the target can't be used now, the error is a *link.SendError with
// NotSent set.
func (r *Runner) ServeAttempt(ctx context.Context, t target.Target, call *peerpb.Attempt, sink func([]byte) error) (link.Result, error) {
	if t.Leaving || r.Cluster.DataCentreOut(t.DataCentre) {
		return link.Result{}, notSent("the target accepts no new work")
	}
	attempt := link.Attempt{
		ID:        call.ID,
		RequestID: call.Request,
		Stage:     call.Stage,
		Kind:      call.Kind,
		Input:     call.Input,
		Priority:  int(call.Priority),
	}
	switch d := r.Fleet.ReserveAsGuardian(t).(type) {
	case fleet.Direct:
		return r.sendDirect(ctx, t, attempt, call.Idempotent, d.Cold, sink)
	case fleet.Rejected:
		return link.Result{}, notSent(d.Reason)
	default:
		return link.Result{}, notSent("this daemon is not the guardian of the target")
	}
}

// sendDirect sends the attempt over a connection of this daemon. cold states that the reserved
// slot counts against the target's cold limit. The slot is released at the end of the attempt,
// or held for longer if it is a cold one and the target may still be running the attempt.
func (r *Runner) sendDirect(ctx context.Context, t target.Target, attempt link.Attempt, idempotent, cold bool, sink func([]byte) error) (link.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, t.RunLimit())
	defer cancel()
	started := r.Clock.Now()
	conn, err := r.connect(ctx, t, idempotent, cold)
	if err != nil {
		r.Fleet.Release(t.Name, cold)
		return link.Result{}, err
	}
	result, err := conn.Send(ctx, attempt, sink)
	r.observe(t.Name, conn)
	if err != nil {
		r.Links.Close(conn)
		r.releaseFailed(ctx, t, conn, started, cold, err)
		return link.Result{}, err
	}
	r.Links.Put(conn)
	r.Fleet.Release(t.Name, cold)
	r.Fleet.RecordDuration(attempt.Kind, t.Name, r.Clock.Since(started))
	return result, nil
}

// connect returns a connection to the incarnation for which the slot was reserved: the one
// that is known to be warm, or any one if the slot counts against the cold limit. Attempts
// that aren't idempotent use a new connection, whose report is current.
func (r *Runner) connect(ctx context.Context, t target.Target, idempotent, cold bool) (*link.Conn, error) {
	if idempotent && !cold {
		if conn := r.pooledConn(t); conn != nil {
			return conn, nil
		}
	}
	conn, err := r.Links.Dial(ctx, t)
	if err != nil {
		r.markSuspect(t)
		return nil, err
	}
	r.observe(t.Name, conn)
	switch report := conn.Report; {
	case cold && report.Running+report.Queued >= t.ColdLimit && r.Fleet.MayRunWarmRequests(t):
		r.Links.Close(conn)
		r.Fleet.MarkGuardianFull(t.Name)
		return nil, notSent("the target reports that it is at its cold limit")
	case cold || !report.Cold && !report.Leaving:
		return conn, nil
	default:
		r.Links.Close(conn)
		return nil, notSent("the target is cold or leaving")
	}
}

// pooledConn returns an idle connection to the incarnation that is known to be warm, or nil.
// It closes idle connections to other incarnations.
func (r *Runner) pooledConn(t target.Target) *link.Conn {
	warm := r.Fleet.WarmIncarnation(t.Name)
	for {
		conn := r.Links.Get(t)
		if conn == nil || warm != "" && conn.Report.Incarnation == warm {
			return conn
		}
		r.Links.Close(conn)
	}
}

// releaseFailed releases the slot of a failed attempt. A cold target may continue to run an
// attempt that was sent, so that slot stays occupied until the target's run limit has passed
// since the start of the attempt, or until the incarnation is gone.
func (r *Runner) releaseFailed(ctx context.Context, t target.Target, conn *link.Conn, started time.Time, cold bool, err error) {
	if cold && !link.NotSent(err) {
		r.Fleet.HoldColdSlot(t.Name, conn.Report.Incarnation, started.Add(t.RunLimit()))
	} else {
		r.Fleet.Release(t.Name, cold)
	}
	if ctx.Err() == nil && problem.Of(err) != problem.Cancelled {
		r.markSuspect(t)
	}
}

// markSuspect marks a target as suspect after a failure and closes its idle connections,
// which may have failed as well.
func (r *Runner) markSuspect(t target.Target) {
	r.Links.CloseIdle(t.Address)
	r.reportStateChange(t.Name, r.Fleet.MarkSuspect(t.Name))
}

// observe updates the state of the target from the report of a connection and reports what has
// changed.
func (r *Runner) observe(name string, conn *link.Conn) {
	r.reportStateChange(name, r.Fleet.Observe(name, conn.Report, conn.ReportRequestedAt))
}

// reportStateChange logs a change of a target's state and sends it to the other daemons.
func (r *Runner) reportStateChange(name string, change fleet.StateChange) {
	if change.BecameCold {
		r.Log.Emit(event.TargetCold, "Target", name, "Incarnation", change.Incarnation)
	}
	if change.BecameLeaving {
		r.Log.Emit(event.TargetLeaving, "Target", name, "Incarnation", change.Incarnation)
	}
	if change.BecameCold || change.BecameLeaving {
		r.Cluster.BroadcastObservation(name, change)
	}
}

// sendViaGuardian forwards the attempt to the guardian of the cold target.
func (r *Runner) sendViaGuardian(ctx context.Context, t target.Target, guardian membership.Member, attempt link.Attempt, idempotent bool, sink func([]byte) error) (link.Result, error) {
	r.Log.Emit(event.AttemptForwarded, "Request", attempt.RequestID, "Stage", attempt.Stage, "Target", t.Name, "Guardian", guardian.Host)
	started := r.Clock.Now()
	call := &peerpb.Call{Kind: &peerpb.Call_Attempt{Attempt: &peerpb.Attempt{
		ID:           attempt.ID,
		Request:      attempt.RequestID,
		Stage:        attempt.Stage,
		Kind:         attempt.Kind,
		Target:       t.Name,
		Input:        attempt.Input,
		BudgetMillis: timeLeftMillis(ctx),
		Idempotent:   idempotent,
		Priority:     int64(attempt.Priority),
	}}}
	var end *peerpb.AttemptEnd
	received := int64(0)
	err := r.Peers.Stream(ctx, guardian.PeerAddress, call, func(reply *peerpb.Reply) (bool, error) {
		if end = reply.GetAttemptEnd(); end != nil {
			return true, nil
		}
		text := reply.GetPart().GetText()
		received += int64(len(text))
		return false, sink(text)
	})
	if err != nil {
		if ctx.Err() == nil {
			r.Fleet.MarkGuardianUnreachable(t.Name)
		}
		return link.Result{}, &link.SendError{NotSent: peer.NotSent(err), GuardianUnreachable: true, Err: err}
	}
	return r.forwardedResult(t, attempt, end, received, started)
}

// forwardedResult converts the guardian's last reply to the result of the attempt. It fails if
// the received texts have another length than the guardian states.
func (r *Runner) forwardedResult(t target.Target, attempt link.Attempt, end *peerpb.AttemptEnd, received int64, started time.Time) (link.Result, error) {
	if report := end.GetReport(); report != nil && report.Incarnation != "" {
		r.Fleet.Observe(t.Name, ReportFromProto(report), started)
	}
	if end.Failure != "" {
		if end.NotSent {
			r.Fleet.MarkGuardianFull(t.Name)
		}
		return link.Result{}, &link.SendError{NotSent: end.NotSent, Err: problem.New(problem.Kind(end.Failure), "guardian: %s", end.Detail)}
	}
	if received != end.Bytes {
		return link.Result{}, &link.SendError{Err: problem.New(problem.TargetFailed, "guardian sent %d of %d bytes", received, end.Bytes)}
	}
	r.Fleet.RecordDuration(attempt.Kind, t.Name, r.Clock.Since(started))
	return link.Result{Bytes: end.Bytes, Tokens: end.Tokens}, nil
}

// timeLeftMillis returns the time left until the deadline of ctx, or 0 if it has none.
func timeLeftMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline).Milliseconds()
}

// ReportFromProto converts a target's report that another daemon has relayed.
func ReportFromProto(r *peerpb.Report) target.Report {
	return target.Report{
		Incarnation: r.Incarnation,
		Cold:        r.Cold,
		Leaving:     r.Leaving,
		Running:     int(r.Running),
		Queued:      int(r.Queued),
	}
}
