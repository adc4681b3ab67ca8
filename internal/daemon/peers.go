package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/claim"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/history"
	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/peer"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/internal/run"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

var _ peer.Handler = (*Daemon)(nil)

// HandleCall implements peer.Handler. A call that fails without a reply is logged; its
// caller finds the stream closed.
func (d *Daemon) HandleCall(ctx context.Context, call *peerpb.Call, send func(*peerpb.Reply) error) {
	switch c := call.Kind.(type) {
	case *peerpb.Call_Attempt:
		d.metrics.RecordPeerCall("Attempt")
		d.handleAttempt(ctx, c.Attempt, send)
	case *peerpb.Call_Submission:
		d.metrics.RecordPeerCall("Submission")
		_ = send(d.handleSubmission(ctx, c.Submission))
	default:
		reply, err := d.handleControl(ctx, call)
		if err != nil {
			d.log.Emit(event.LoopFailed, "Task", "peer call", "Reason", err.Error())
			return
		}
		_ = send(reply)
	}
}

// handleControl handles the calls that have one short reply.
func (d *Daemon) handleControl(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	switch c := call.Kind.(type) {
	case *peerpb.Call_Digest:
		d.metrics.RecordPeerCall("Digest")
		return d.handleDigest(c.Digest)
	case *peerpb.Call_Changes:
		d.metrics.RecordPeerCall("Changes")
		return d.acknowledge(d.handleChanges(c.Changes, "peer"))
	case *peerpb.Call_Adopted:
		d.metrics.RecordPeerCall("Adopted")
		d.handleAdopted(c.Adopted)
		return d.acknowledge(nil)
	case *peerpb.Call_Notice:
		d.metrics.RecordPeerCall("Notice")
		d.handleNotice(c.Notice)
		return d.acknowledge(nil)
	case *peerpb.Call_Handover:
		d.metrics.RecordPeerCall("Handover")
		return d.handleHandover(c.Handover)
	case *peerpb.Call_Probe:
		status, err := json.Marshal(d.ownStatus())
		return &peerpb.Reply{Kind: &peerpb.Reply_ProbeReply{ProbeReply: &peerpb.ProbeReply{Status: status}}}, err
	case *peerpb.Call_History:
		return d.handleHistory(c.History)
	case *peerpb.Call_Fence:
		return d.handleFence(ctx, c.Fence), nil
	default:
		return nil, problem.New(problem.Invalid, "unknown peer call %T", call.Kind)
	}
}

// acknowledge returns the reply that reports whether a message was applied. If it wasn't,
// because earlier changes are missing here, the caller exchanges digests with this daemon.
func (d *Daemon) acknowledge(err error) (*peerpb.Reply, error) {
	if err != nil {
		d.log.Emit(event.LoopFailed, "Task", "peer call", "Reason", err.Error())
	}
	return &peerpb.Reply{Kind: &peerpb.Reply_Ack{Ack: &peerpb.Ack{Accepted: err == nil}}}, nil
}

// handleAdopted records the adoption that another member of this data centre reports.
func (d *Daemon) handleAdopted(a *peerpb.Adopted) {
	if a.DataCentre != d.Settings.DataCentre {
		return
	}
	inFlight := make(map[string]int, len(a.Busy))
	for name, n := range a.Busy {
		inFlight[name] = int(n)
	}
	d.fleet.PeerAdopted(a.Incarnation, a.Epoch, inFlight)
}

// handleNotice applies another daemon's observation of a target and relays it once.
func (d *Daemon) handleNotice(n *peerpb.Notice) {
	if !d.markSeen(n.ID) {
		return
	}
	if n.Listed {
		d.fleet.SetHostLeaving(n.Target, n.Leaving)
		d.relayNotice(n)
		return
	}
	d.fleet.ApplyNotice(n.Target, n.Incarnation, n.Cold, n.Leaving)
	d.relayNotice(n)
}

// handleAttempt sends an attempt that another daemon forwarded, as the guardian of the cold
// target, and passes the answer back.
func (d *Daemon) handleAttempt(ctx context.Context, a *peerpb.Attempt, send func(*peerpb.Reply) error) {
	d.pendingWork.add()
	defer d.pendingWork.done()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.BudgetMillis)*time.Millisecond)
	defer cancel()
	end := &peerpb.AttemptEnd{}
	contract, ok := d.registry.Document().Targets[a.Target]
	if !ok {
		end.Failure, end.NotSent, end.Detail = string(problem.NotFound), true, "the guardian has no such target in its configuration"
		_ = send(&peerpb.Reply{Kind: &peerpb.Reply_AttemptEnd{AttemptEnd: end}})
		return
	}
	result, err := d.runner.ServeAttempt(ctx, contract, a, func(text []byte) error {
		return send(&peerpb.Reply{Kind: &peerpb.Reply_Part{Part: &peerpb.Part{Text: text}}})
	})
	end.Bytes = result.Bytes
	end.Tokens = result.Tokens
	if err != nil {
		end.Failure = string(problem.Of(err))
		end.Detail = problem.Detail(err)
		end.NotSent = link.NotSent(err)
	}
	report := d.fleet.Status(contract).Report
	end.Report = &peerpb.Report{
		Incarnation: report.Incarnation,
		Cold:        report.Cold,
		Leaving:     report.Leaving,
		Running:     int64(report.Running),
		Queued:      int64(report.Queued),
	}
	_ = send(&peerpb.Reply{Kind: &peerpb.Reply_AttemptEnd{AttemptEnd: end}})
}

// handleSubmission runs a keyed request that another daemon forwarded because this one owns
// its key, or returns its stored outcome.
func (d *Daemon) handleSubmission(ctx context.Context, s *peerpb.Submission) *peerpb.Reply {
	d.pendingWork.add()
	defer d.pendingWork.done()
	outcome := d.submitForwarded(ctx, s)
	return &peerpb.Reply{Kind: &peerpb.Reply_Answer{Answer: &peerpb.Answer{
		Failure: string(outcome.Failure),
		Detail:  outcome.Detail,
		NotRun:  outcome.NotRun.Proven(),
		Body:    outcome.Body,
	}}}
}

// submitForwarded runs the request of the submission at most once and returns its outcome.
// The run continues if the forwarding daemon disconnects.
func (d *Daemon) submitForwarded(ctx context.Context, s *peerpb.Submission) idempotency.Outcome {
	document := d.registry.Document()
	acct, ok := document.Accounts[s.Account]
	if !ok {
		return idempotency.Outcome{Failure: problem.NotFound, Detail: "the owner of the key has no such account in its configuration"}
	}
	budget := time.Duration(s.BudgetMillis) * time.Millisecond
	job := run.Job{
		Request: request.Request{
			ID:       s.Request,
			Account:  s.Account,
			Key:      s.Key,
			Pipeline: s.Pipeline,
			Tier:     s.Tier,
			Input:    s.Input,
			Deadline: d.Clock.Now().Add(budget),
		},
		Document:   document,
		SendRecord: &request.SendRecord{},
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), budget)
	defer cancel()
	return d.deduplicator.SubmitForwarded(ctx, claim.Submission{
		ID:          idempotency.ID{Account: s.Account, Key: s.Key},
		Fingerprint: request.Fingerprint(s.Pipeline, s.Tier, s.Input),
		RequestID:   s.Request,
		Pipeline:    s.Pipeline,
		Tier:        s.Tier,
		Input:       s.Input,
		Deadline:    job.Request.Deadline,
		Run: func(ctx context.Context) idempotency.Outcome {
			return d.admit(ctx, acct, job)
		},
	})
}

// findHistory returns the history of a request from this daemon or from the one that
// created the request ID.
func (d *Daemon) findHistory(ctx context.Context, id string) (history.Entry, error) {
	if entry, ok := d.history.Lookup(id); ok {
		return entry, nil
	}
	unknown := problem.New(problem.NotFound, "request %q", id)
	m, ok := d.findMember(request.Incarnation(id))
	if !ok || m.Incarnation == d.incarnation {
		return history.Entry{}, unknown
	}
	reply, err := d.peers.Call(ctx, m.PeerAddress, &peerpb.Call{Kind: &peerpb.Call_History{History: &peerpb.History{Request: id}}})
	if err != nil {
		return history.Entry{}, err
	}
	var entry history.Entry
	if body := reply.GetHistoryReply().GetDecisions(); len(body) > 0 {
		return entry, json.Unmarshal(body, &entry)
	}
	return entry, unknown
}

// handleHistory returns the history of a request, or an empty reply if there is none here.
func (d *Daemon) handleHistory(h *peerpb.History) (*peerpb.Reply, error) {
	reply := &peerpb.HistoryReply{}
	if entry, ok := d.history.Lookup(h.Request); ok {
		body, err := json.Marshal(entry)
		if err != nil {
			return nil, err
		}
		reply.Decisions = body
	}
	return &peerpb.Reply{Kind: &peerpb.Reply_HistoryReply{HistoryReply: reply}}, nil
}

// handleHandover takes over the keys of a stopping daemon. If this daemon is stopping too, it
// rejects them, so that the caller tries another one.
func (d *Daemon) handleHandover(h *peerpb.Handover) (*peerpb.Reply, error) {
	if d.stopping.Load() {
		return d.acknowledge(problem.New(problem.Stopping, "the daemon is stopping"))
	}
	var handover claim.Handover
	if err := json.Unmarshal(h.Entries, &handover); err != nil {
		return d.acknowledge(err)
	}
	d.deduplicator.Inherit(handover)
	d.recordSuccessions(handover.Incarnations, d.incarnation)
	return d.acknowledge(nil)
}
