package scheduler

import (
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
)

// Ticket is a submitted request at its origin, the daemon that holds the client connection.
type Ticket struct {
	// Updates receives one update for Submit and one for each Reassign. It isn't closed.
	Updates chan Update

	scheduler *Scheduler
	job       Job
	// owner is the daemon that works on the request, empty while there is none;
	// ownerIncarnation is its incarnation when the request was submitted to it, unused if it is
	// this daemon. formerOwner is the daemon that handed the request over.
	owner, ownerIncarnation, formerOwner string
	// waiting is set while an update is awaited, since waitingSince.
	waiting      bool
	waitingSince time.Time
	// excluded are the IDs of the engines that the request was assigned to before.
	excluded map[string]bool
	// answerCompleted is set once the engine has completed its answer, crashedAtStart once one has
	// failed as in EngineFailure.CrashedAtStart and no other is requested; Close reports them to
	// the owner.
	answerCompleted, crashedAtStart bool
	// engineLoad is what the engine has reported with its answer, nil if it reports no pace. firstEvent and gap are
	// those of EngineTimes.
	engineLoad      *clusterpb.TargetLoad
	firstEvent, gap time.Duration
	// running are the pieces of the former owner's running calls, as of runningAt.
	running   []dispatch.RunningPiece
	runningAt time.Time
}

// updatesLength is more than the number of updates that a ticket can have pending.
const updatesLength = 4

// Submit submits a request. The caller must call Close on the ticket when the request is over.
func (s *Scheduler) Submit(job Job) *Ticket {
	t := &Ticket{Updates: make(chan Update, updatesLength), scheduler: s, job: job, excluded: map[string]bool{}}
	s.post(func() {
		s.tickets[job.ID] = t
		t.waiting, t.waitingSince = true, s.Clock.Now()
		s.assignOwner(t)
	})
	return t
}

// EngineFailure reports that the assigned engine didn't complete the request. Target is the
// engine's ID.
type EngineFailure struct {
	Target string
	// InputsGone is set if the engine found an input missing, so that all are computed again.
	InputsGone bool
	// Faulty is set if the failure counts against the engine's health.
	Faulty bool
	// CrashedAtStart is set if the engine broke off its answer before the first event.
	CrashedAtStart bool
}

// Reassign requests another engine, after the assigned one didn't run the request or aborted
// it.
func (t *Ticket) Reassign(failure EngineFailure) {
	s := t.scheduler
	s.post(func() {
		if s.tickets[t.job.ID] != t {
			return
		}
		t.waiting, t.waitingSince = true, s.Clock.Now()
		t.job.Assigned, t.job.AnswerStarted = "", false
		t.excluded[failure.Target] = true
		t.engineLoad, t.firstEvent, t.gap = nil, 0, 0
		if failure.InputsGone {
			t.job.Completed, t.running = nil, nil
		}
		if t.owner == s.Host && s.requests[t.job.ID] != nil {
			s.reassign(t.job.ID, failure)
			return
		}
		e := &clusterpb.Envelope{Kind: &clusterpb.Envelope_Again{Again: &clusterpb.Again{
			ID: t.job.ID, Failed: failure.Target, InputsGone: failure.InputsGone, Faulty: failure.Faulty, CrashedAtStart: failure.CrashedAtStart,
		}}}
		if t.owner != "" && t.owner != s.Host && s.ownerAlive(t) && s.Mesh.Send(t.owner, e) {
			return
		}
		t.owner = ""
		s.assignOwner(t)
	})
}

// AnswerStarted reports that the engine has started to answer, so that the inputs are no
// longer needed.
func (t *Ticket) AnswerStarted() {
	s := t.scheduler
	s.post(func() {
		t.job.AnswerStarted = true
		began := &clusterpb.Began{ID: t.job.ID, Load: t.engineLoad}
		s.notifyOwner(t, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Began{Began: began}}, func(string) { s.answerBegan(began) })
	})
}

// AnswerCompleted records that the engine completed its answer. Close, which must follow, reports
// it to the owner.
func (t *Ticket) AnswerCompleted() {
	t.scheduler.post(func() { t.answerCompleted = true })
}

// EngineCrashedAtStart records the last failure of a request that isn't reassigned; see
// EngineFailure.CrashedAtStart. Close, which must follow, reports it to the owner.
func (t *Ticket) EngineCrashedAtStart() {
	t.scheduler.post(func() { t.crashedAtStart = true })
}

// Close reports that the request is over, whatever its outcome.
func (t *Ticket) Close() {
	s := t.scheduler
	s.post(func() {
		end := &clusterpb.Ended{ID: t.job.ID, Answered: t.answerCompleted, CrashedAtStart: t.crashedAtStart,
			FirstEventMicros: t.firstEvent.Microseconds(), GapMicros: t.gap.Microseconds()}
		s.notifyOwner(t, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Ended{Ended: end}}, func(string) { s.endRequest(end) })
		if s.tickets[t.job.ID] == t {
			delete(s.tickets, t.job.ID)
		}
	})
}

// notifyOwner sends a message to the owner, or calls local if this daemon is the owner.
func (s *Scheduler) notifyOwner(t *Ticket, e *clusterpb.Envelope, local func(id string)) {
	switch t.owner {
	case "": // no daemon works on the request
	case s.Host:
		local(t.job.ID)
	default:
		s.Mesh.Send(t.owner, e)
	}
}

// ownerAlive reports whether the owner answers and hasn't restarted since it became the owner.
func (s *Scheduler) ownerAlive(t *Ticket) bool {
	return t.owner == s.Host || t.ownerIncarnation != "" && s.Mesh.Incarnation(t.owner) == t.ownerIncarnation
}

// assignOwner makes the leader the owner of a request. This daemon becomes the owner if the
// request has waited for an update for localWorkDelay and there is no leader, or it can't be
// reached.
func (s *Scheduler) assignOwner(t *Ticket) {
	leader := s.Mesh.Leader()
	waitedTooLong := t.waiting && s.Clock.Since(t.waitingSince) >= localWorkDelay
	switch {
	case leader == s.Host || leader == "" && waitedTooLong:
		s.workLocally(t)
	case leader != "" && s.submitTo(t, leader):
	case waitedTooLong:
		s.workLocally(t)
	}
}

// workLocally makes this daemon the owner.
func (s *Scheduler) workLocally(t *Ticket) {
	t.owner = s.Host
	s.submit(s.Host, t.resumableJob())
}

// submitTo submits the request to another daemon, which becomes the owner, and reports whether
// the message was sent.
func (s *Scheduler) submitTo(t *Ticket, leader string) bool {
	incarnation := s.Mesh.Incarnation(leader)
	if incarnation == "" || !s.Mesh.Send(leader, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Submit{Submit: encodeJob(s.Clock.Now(), s.withoutUnusedNames(t.resumableJob()))}}) {
		return false
	}
	t.owner, t.ownerIncarnation = leader, incarnation
	return true
}

// resumableJob returns the job with everything that a new owner needs to resume it.
func (t *Ticket) resumableJob() Job {
	job := t.job
	job.Generation.Exclude = t.excluded
	elapsed := t.scheduler.Clock.Since(t.runningAt)
	job.Running = nil
	for _, r := range t.running {
		r.Remaining = max(r.Remaining-elapsed, 0)
		job.Running = append(job.Running, r)
	}
	return job
}

// checkTickets assigns a new owner to requests whose owner no longer runs.
func (s *Scheduler) checkTickets() {
	for _, t := range s.tickets {
		if t.owner != "" && !s.ownerAlive(t) {
			t.owner, t.formerOwner, t.running = "", "", nil
		}
		if t.owner == "" {
			s.assignOwner(t)
		}
	}
}

// sendUpdate sends an update to the origin of a request.
func (s *Scheduler) sendUpdate(origin, id string, u Update) {
	if origin == s.Host {
		s.deliver(s.Host, id, u)
		return
	}
	switch u := u.(type) {
	case Assigned:
		s.Mesh.Send(origin, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Assigned{Assigned: &clusterpb.Assigned{
			ID: id, Target: u.Target, Address: u.Address, Inputs: u.Inputs,
		}}})
	case Rejected:
		s.Mesh.Send(origin, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Refused{Refused: &clusterpb.Refused{
			ID: id, Reason: u.Reason, RetryAfterMillis: u.RetryAfter.Milliseconds(),
		}}})
	}
}

// deliver passes an update to the ticket, unless the sender isn't the owner or no update is
// awaited.
func (s *Scheduler) deliver(from, id string, u Update) {
	t := s.tickets[id]
	if t == nil || !t.waiting || t.owner != from {
		return
	}
	t.waiting = false
	switch u := u.(type) {
	case Assigned:
		t.job.Assigned = u.Target
	case Rejected: // the owner has freed the results
		t.job.Completed, t.running = nil, nil
	}
	select {
	case t.Updates <- u:
	default:
	}
}

// Receive handles a message from another daemon.
func (s *Scheduler) Receive(from string, e *clusterpb.Envelope) {
	switch k := e.GetKind().(type) {
	case *clusterpb.Envelope_Submit:
		job := decodeJob(s.Clock.Now(), k.Submit)
		if dispatch.PieceCount(job.Stages) > dispatch.MaxPieces {
			s.post(func() { s.sendUpdate(from, job.ID, Rejected{Reason: string(dispatch.TooLate)}) })
			return
		}
		s.post(func() { s.submit(from, job) })
	case *clusterpb.Envelope_Again:
		f := EngineFailure{Target: k.Again.GetFailed(), InputsGone: k.Again.GetInputsGone(), Faulty: k.Again.GetFaulty(), CrashedAtStart: k.Again.GetCrashedAtStart()}
		s.post(func() {
			if f.Faulty && s.EngineFailed != nil {
				s.EngineFailed(f.Target)
			}
			s.reassign(k.Again.GetID(), f)
		})
	case *clusterpb.Envelope_EngineNotice:
		n := EngineNotice{
			Target: k.EngineNotice.GetTarget(), Incarnation: k.EngineNotice.GetIncarnation(), Leaving: k.EngineNotice.GetLeaving(),
			HeldFor: time.Duration(k.EngineNotice.GetHeldForMillis()) * time.Millisecond,
		}
		s.post(func() { s.applyEngineNotice(from, n) })
	case *clusterpb.Envelope_Began:
		s.post(func() { s.answerBegan(k.Began) })
	case *clusterpb.Envelope_Ended:
		s.post(func() {
			if r := s.requests[k.Ended.GetID()]; r != nil && r.assigned != nil && k.Ended.GetAnswered() && s.EngineSucceeded != nil {
				s.EngineSucceeded(r.assigned.Target)
			}
			s.endRequest(k.Ended)
		})
	case *clusterpb.Envelope_Progress:
		p := dispatch.Progress{Job: k.Progress.GetID(), Completed: decodeCompleted(s.Clock.Now(), k.Progress.GetDone()), Released: decodeReleased(k.Progress.GetReleased())}
		s.post(func() { s.handleProgress(from, p) })
	case *clusterpb.Envelope_Holdings:
		s.post(func() {
			s.leaderState.apply(s.Clock.Now(), from, k.Holdings)
			s.inheritSuspects(k.Holdings.GetSuspects())
		})
	case *clusterpb.Envelope_Moved:
		m := dispatch.HandedOver{Job: k.Moved.GetID(), Running: decodeRunning(k.Moved.GetRunning())}
		s.post(func() { s.handleReturnedRequest(from, m) })
	case *clusterpb.Envelope_Resync:
		ids := k.Resync.GetIDs()
		s.post(func() { s.removeUnlisted(from, ids) })
	case *clusterpb.Envelope_Assigned:
		u := Assigned{Target: k.Assigned.GetTarget(), Address: k.Assigned.GetAddress(), Inputs: k.Assigned.GetInputs()}
		s.post(func() { s.deliver(from, k.Assigned.GetID(), u) })
	case *clusterpb.Envelope_Refused:
		u := Rejected{Reason: k.Refused.GetReason(), RetryAfter: time.Duration(k.Refused.GetRetryAfterMillis()) * time.Millisecond}
		s.post(func() { s.deliver(from, k.Refused.GetID(), u) })
	}
}

// LinkOpened handles a new link to another daemon. Messages on the previous link may be lost,
// so the requests of this daemon that the other one owns are submitted again. The other daemon
// first receives their IDs and removes all others of this origin.
func (s *Scheduler) LinkOpened(host string) {
	s.post(func() {
		var ids []string
		for id, t := range s.tickets {
			if t.owner == host {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		s.Mesh.Send(host, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Resync{Resync: &clusterpb.Resync{IDs: ids}}})
		for _, id := range ids {
			if t := s.tickets[id]; !s.submitTo(t, host) {
				t.owner = "" // checkTickets assigns a new owner
			}
		}
	})
}

// removeUnlisted removes the requests of an origin whose IDs it didn't list.
func (s *Scheduler) removeUnlisted(origin string, ids []string) {
	listed := make(map[string]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
	}
	for id, r := range s.requests {
		if r.origin == origin && !listed[id] {
			s.removeRequest(id)
		}
	}
}
