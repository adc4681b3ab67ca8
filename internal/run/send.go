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

// send makes one attempt, directly or through the guardian, and records its intent.
func (s *stageRun) send(ctx context.Context, p place, attempt link.Attempt, sink func([]byte) error) (link.Result, error) {
	intent, err := s.job.SendRecord.RecordIntent(s.stage.Idempotent)
	if err != nil {
		if d, ok := p.reservation.(fleet.Direct); ok {
			s.runner.Fleet.Release(p.candidate.Target.Name, d.Cold)
		}
		return link.Result{}, err
	}
	result, err := s.runner.dispatch(ctx, p, attempt, s.stage.Idempotent, sink)
	s.runner.serve(s.stage.Kind)
	if link.NotSent(err) {
		intent.Withdraw()
	}
	return result, err
}

func (r *Runner) dispatch(ctx context.Context, p place, attempt link.Attempt, idempotent bool, sink func([]byte) error) (link.Result, error) {
	contract := p.candidate.Target
	switch d := p.reservation.(type) {
	case fleet.Direct:
		return r.direct(ctx, contract, attempt, idempotent, d.Cold, sink)
	case fleet.Forward:
		return r.forward(ctx, contract, d.Guardian, attempt, idempotent, sink)
	default:
		return link.Result{}, refused("no place is reserved")
	}
}

func refused(reason string) error {
	return &link.SendError{NotSent: true, Err: problem.New(problem.Overloaded, "%s", reason)}
}

// ServeAttempt makes an attempt for another daemon, as the guardian of the target.
func (r *Runner) ServeAttempt(ctx context.Context, contract target.Target, call *peerpb.Attempt, sink func([]byte) error) (link.Result, error) {
	if contract.Leaving || r.Cluster.DataCentreOut(contract.DataCentre) {
		return link.Result{}, refused("the target takes no new work")
	}
	attempt := link.Attempt{
		ID:        call.ID,
		RequestID: call.Request,
		Stage:     call.Stage,
		Kind:      call.Kind,
		Input:     call.Input,
		Priority:  int(call.Priority),
	}
	switch d := r.Fleet.ReserveAsGuardian(contract).(type) {
	case fleet.Direct:
		return r.direct(ctx, contract, attempt, call.Idempotent, d.Cold, sink)
	case fleet.Rejected:
		return link.Result{}, refused(d.Reason)
	default:
		return link.Result{}, refused("this daemon doesn't guard the target")
	}
}

// direct sends over a connection of this daemon, for which a place is reserved.
func (r *Runner) direct(ctx context.Context, contract target.Target, attempt link.Attempt, idempotent, cold bool, sink func([]byte) error) (link.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, contract.RunLimit())
	defer cancel()
	started := r.Clock.Now()
	conn, err := r.open(ctx, contract, idempotent, cold)
	if err != nil {
		r.Fleet.Release(contract.Name, cold)
		return link.Result{}, err
	}
	result, err := conn.Send(ctx, attempt, sink)
	r.observe(contract.Name, conn.Report)
	if err != nil {
		r.Links.Close(conn)
		r.sendFailed(ctx, contract, conn, started, cold, err)
		return link.Result{}, err
	}
	r.Links.Put(conn)
	r.Fleet.Release(contract.Name, cold)
	r.Fleet.RecordDuration(attempt.Kind, contract.Name, r.Clock.Since(started))
	return result, nil
}

// open returns a connection that reaches the incarnation for which the place was
// reserved: the one that is shown warm, or any one if the place is within the cold limit.
func (r *Runner) open(ctx context.Context, contract target.Target, idempotent, cold bool) (*link.Conn, error) {
	if idempotent && !cold {
		if conn := r.pooled(contract); conn != nil {
			return conn, nil
		}
	}
	conn, err := r.Links.Dial(ctx, contract)
	if err != nil {
		r.suspect(contract)
		return nil, err
	}
	r.observe(contract.Name, conn.Report)
	if cold || !conn.Report.Cold && !conn.Report.Leaving {
		return conn, nil
	}
	r.Links.Close(conn)
	return nil, refused("the target turned cold or is leaving")
}

// pooled returns an idle connection to the incarnation that is shown warm.
func (r *Runner) pooled(contract target.Target) *link.Conn {
	warm := r.Fleet.WarmIncarnation(contract.Name)
	for {
		conn := r.Links.Get(contract)
		if conn == nil || warm != "" && conn.Report.Incarnation == warm {
			return conn
		}
		r.Links.Close(conn)
	}
}

// sendFailed releases the place of a failed attempt. A cold target may go on running
// the attempt, so the place stays taken for the longest run, or until the incarnation
// is gone.
func (r *Runner) sendFailed(ctx context.Context, contract target.Target, conn *link.Conn, started time.Time, cold bool, err error) {
	if cold && !link.NotSent(err) {
		r.Fleet.HoldColdSlot(contract.Name, conn.Report.Incarnation, started.Add(contract.RunLimit()))
	} else {
		r.Fleet.Release(contract.Name, cold)
	}
	if ctx.Err() == nil && problem.Of(err) != problem.Cancelled {
		r.suspect(contract)
	}
}

// suspect avoids a target after a failure; its other connections may be dead as well.
func (r *Runner) suspect(contract target.Target) {
	r.Links.CloseIdle(contract.Address)
	r.spread(contract.Name, r.Fleet.MarkSuspect(contract.Name))
}

func (r *Runner) observe(name string, report target.Report) {
	r.spread(name, r.Fleet.Observe(name, report))
}

func (r *Runner) spread(name string, seen fleet.StateChange) {
	if seen.BecameCold {
		r.Log.Emit(event.TargetCold, "Target", name, "Incarnation", seen.Incarnation)
	}
	if seen.BecameLeaving {
		r.Log.Emit(event.TargetLeaving, "Target", name, "Incarnation", seen.Incarnation)
	}
	if seen.BecameCold || seen.BecameLeaving {
		r.Cluster.BroadcastObservation(name, seen)
	}
}

// forward hands the attempt to the guardian of the cold target.
func (r *Runner) forward(ctx context.Context, contract target.Target, guardian membership.Member, attempt link.Attempt, idempotent bool, sink func([]byte) error) (link.Result, error) {
	r.Log.Emit(event.AttemptForwarded, "Request", attempt.RequestID, "Stage", attempt.Stage, "Target", contract.Name, "Guardian", guardian.Host)
	started := r.Clock.Now()
	call := &peerpb.Call{Kind: &peerpb.Call_Attempt{Attempt: &peerpb.Attempt{
		ID:           attempt.ID,
		Request:      attempt.RequestID,
		Stage:        attempt.Stage,
		Kind:         attempt.Kind,
		Target:       contract.Name,
		Input:        attempt.Input,
		BudgetMillis: budgetMillis(ctx),
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
			r.Fleet.MarkGuardianUnreachable(contract.Name)
		}
		return link.Result{}, &link.SendError{NotSent: peer.NotSent(err), GuardianUnreachable: true, Err: err}
	}
	return r.forwarded(contract, attempt, end, received, started)
}

// forwarded turns the guardian's last reply into the end of the attempt.
func (r *Runner) forwarded(contract target.Target, attempt link.Attempt, end *peerpb.AttemptEnd, received int64, started time.Time) (link.Result, error) {
	if report := end.GetReport(); report != nil && report.Incarnation != "" {
		r.Fleet.Observe(contract.Name, ReportFromProto(report))
	}
	if end.Failure != "" {
		if end.NotSent {
			r.Fleet.MarkGuardianFull(contract.Name)
		}
		return link.Result{}, &link.SendError{NotSent: end.NotSent, Err: problem.New(problem.Kind(end.Failure), "guardian: %s", end.Detail)}
	}
	if received != end.Bytes {
		return link.Result{}, &link.SendError{Err: problem.New(problem.TargetFailed, "guardian sent %d of %d bytes", received, end.Bytes)}
	}
	r.Fleet.RecordDuration(attempt.Kind, contract.Name, r.Clock.Since(started))
	return link.Result{Bytes: end.Bytes, Tokens: end.Tokens}, nil
}

func budgetMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline).Milliseconds()
}

// ReportFromProto returns a report relayed by another daemon.
func ReportFromProto(r *peerpb.Report) target.Report {
	return target.Report{
		Incarnation: r.Incarnation,
		Cold:        r.Cold,
		Leaving:     r.Leaving,
		Running:     int(r.Running),
		Queued:      int(r.Queued),
	}
}
