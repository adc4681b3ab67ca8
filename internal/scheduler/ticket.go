package scheduler

import (
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
)

// Ticket follows one submitted request at the daemon that holds its client.
type Ticket struct {
	// Updates carries one answer to Submit and one to each Again.
	Updates chan Update

	scheduler *Scheduler
	job       Job
	// owner is the daemon that works on the request, empty while there is none, incarnation
	// its start; former is the one that handed the request over.
	owner, incarnation, former string
	// waiting says that an answer is awaited, since when in asked.
	waiting  bool
	asked    time.Time
	excluded map[string]bool
	answered bool
	// running are the pieces that calls of the former owner make, as of runningAt.
	running   []dispatch.RunningPiece
	runningAt time.Time
}

// updatesLength is more than the answers that a ticket can have outstanding.
const updatesLength = 4

// Submit asks for the stages of a request and for an engine.
func (s *Scheduler) Submit(job Job) *Ticket {
	t := &Ticket{Updates: make(chan Update, updatesLength), scheduler: s, job: job, excluded: map[string]bool{}}
	s.post(func() {
		s.tickets[job.ID] = t
		t.waiting, t.asked = true, s.Clock.Now()
		s.place(t)
	})
	return t
}

// EngineFailure says why the engine that was assigned didn't answer the request.
type EngineFailure struct {
	Target string
	// InputsGone says that the inputs must be made anew.
	InputsGone bool
	// Faulty says that the engine failed in a way that speaks against it.
	Faulty bool
}

// Reassign asks for another engine because the one before didn't run the request, or broke
// it off.
func (t *Ticket) Reassign(failure EngineFailure) {
	s := t.scheduler
	s.post(func() {
		if s.tickets[t.job.ID] != t {
			return
		}
		t.waiting, t.asked = true, s.Clock.Now()
		t.job.Assigned, t.job.AnswerStarted = "", false
		t.excluded[failure.Target] = true
		if failure.InputsGone {
			t.job.Completed, t.running = nil, nil
		}
		if t.owner == s.Host && s.owned[t.job.ID] != nil {
			s.again(t.job.ID, failure)
			return
		}
		e := &clusterpb.Envelope{Kind: &clusterpb.Envelope_Again{Again: &clusterpb.Again{
			ID: t.job.ID, Failed: failure.Target, InputsGone: failure.InputsGone, Faulty: failure.Faulty,
		}}}
		if t.owner != "" && t.owner != s.Host && s.ownerLives(t) && s.Mesh.Send(t.owner, e) {
			return
		}
		t.owner = ""
		s.place(t)
	})
}

// AnswerStarted says that the engine answers, so that the inputs aren't needed any more.
func (t *Ticket) AnswerStarted() {
	s := t.scheduler
	s.post(func() {
		t.job.AnswerStarted = true
		s.tell(t, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Began{Began: &clusterpb.Began{ID: t.job.ID}}}, s.began)
	})
}

// AnswerCompleted says that the engine gave its whole answer; Ended must follow.
func (t *Ticket) AnswerCompleted() {
	t.scheduler.post(func() { t.answered = true })
}

// Close says that the request is over, however it ended.
func (t *Ticket) Close() {
	s := t.scheduler
	s.post(func() {
		s.tell(t, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Ended{Ended: &clusterpb.Ended{ID: t.job.ID, Answered: t.answered}}}, s.end)
		if s.tickets[t.job.ID] == t {
			delete(s.tickets, t.job.ID)
		}
	})
}

// tell passes a message to the owner, which may be this daemon.
func (s *Scheduler) tell(t *Ticket, e *clusterpb.Envelope, local func(id string)) {
	switch t.owner {
	case "":
	case s.Host:
		local(t.job.ID)
	default:
		s.Mesh.Send(t.owner, e)
	}
}

// ownerLives reports whether the daemon that works on the request is still the same one
// and answers.
func (s *Scheduler) ownerLives(t *Ticket) bool {
	return t.owner == s.Host || t.incarnation != "" && s.Mesh.Incarnation(t.owner) == t.incarnation
}

// place hands a request to the leader. One that waits for an answer is worked on by this
// daemon when there is no leader for long.
func (s *Scheduler) place(t *Ticket) {
	leader := s.Mesh.Leader()
	alone := t.waiting && s.Clock.Since(t.asked) >= ownWorkAfter
	switch {
	case leader == s.Host || leader == "" && alone:
		s.own(t)
	case leader != "" && s.send(t, leader):
	case alone:
		s.own(t)
	}
}

// own makes this daemon work on the request.
func (s *Scheduler) own(t *Ticket) {
	t.owner = s.Host
	s.submit(s.Host, t.current())
}

// send hands the request to another daemon and reports whether it could.
func (s *Scheduler) send(t *Ticket, leader string) bool {
	incarnation := s.Mesh.Incarnation(leader)
	if incarnation == "" || !s.Mesh.Send(leader, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Submit{Submit: encodeJob(s.Clock.Now(), t.current())}}) {
		return false
	}
	t.owner, t.incarnation = leader, incarnation
	return true
}

// current is the request as another daemon must go on with it.
func (t *Ticket) current() Job {
	job := t.job
	job.Generation.Exclude = t.excluded
	passed := t.scheduler.Clock.Since(t.runningAt)
	job.Running = nil
	for _, r := range t.running {
		r.Remaining = max(r.Remaining-passed, 0)
		job.Running = append(job.Running, r)
	}
	return job
}

// checkTickets moves requests whose owner is gone.
func (s *Scheduler) checkTickets() {
	for _, t := range s.tickets {
		if t.owner != "" && !s.ownerLives(t) {
			t.owner, t.former, t.running = "", "", nil
		}
		if t.owner == "" {
			s.place(t)
		}
	}
}

// answer passes an update to the daemon that holds the client.
func (s *Scheduler) answer(origin, id string, u Update) {
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

// deliver gives an update to the request that waits for it.
func (s *Scheduler) deliver(from, id string, u Update) {
	t := s.tickets[id]
	if t == nil || !t.waiting || t.owner != from {
		return
	}
	t.waiting = false
	switch u := u.(type) {
	case Assigned:
		t.job.Assigned = u.Target
	case Rejected:
		t.job.Completed, t.running = nil, nil
	}
	select {
	case t.Updates <- u:
	default:
	}
}

// Receive takes an envelope of another daemon.
func (s *Scheduler) Receive(from string, e *clusterpb.Envelope) {
	switch k := e.GetKind().(type) {
	case *clusterpb.Envelope_Submit:
		job := decodeJob(s.Clock.Now(), k.Submit)
		s.post(func() { s.submit(from, job) })
	case *clusterpb.Envelope_Again:
		f := EngineFailure{Target: k.Again.GetFailed(), InputsGone: k.Again.GetInputsGone(), Faulty: k.Again.GetFaulty()}
		s.post(func() {
			if f.Faulty && s.EngineFailed != nil {
				s.EngineFailed(f.Target)
			}
			s.again(k.Again.GetID(), f)
		})
	case *clusterpb.Envelope_Began:
		s.post(func() { s.began(k.Began.GetID()) })
	case *clusterpb.Envelope_Ended:
		s.post(func() {
			if o := s.owned[k.Ended.GetID()]; o != nil && o.assigned != nil && k.Ended.GetAnswered() && s.EngineSucceeded != nil {
				s.EngineSucceeded(o.assigned.Target)
			}
			s.end(k.Ended.GetID())
		})
	case *clusterpb.Envelope_Progress:
		p := dispatch.Progress{Job: k.Progress.GetID(), Completed: decodeDone(s.Clock.Now(), k.Progress.GetDone()), Released: decodeReleased(k.Progress.GetReleased())}
		s.post(func() { s.progress(from, p) })
	case *clusterpb.Envelope_Holdings:
		s.post(func() { s.ledger.take(s.Clock.Now(), from, k.Holdings) })
	case *clusterpb.Envelope_Moved:
		m := dispatch.HandedOver{Job: k.Moved.GetID(), Running: decodeRunning(k.Moved.GetRunning())}
		s.post(func() { s.takeMoved(from, m) })
	case *clusterpb.Envelope_Resync:
		ids := k.Resync.GetIDs()
		s.post(func() { s.endOthers(from, ids) })
	case *clusterpb.Envelope_Assigned:
		u := Assigned{Target: k.Assigned.GetTarget(), Address: k.Assigned.GetAddress(), Inputs: k.Assigned.GetInputs()}
		s.post(func() { s.deliver(from, k.Assigned.GetID(), u) })
	case *clusterpb.Envelope_Refused:
		u := Rejected{Reason: k.Refused.GetReason(), RetryAfter: time.Duration(k.Refused.GetRetryAfterMillis()) * time.Millisecond}
		s.post(func() { s.deliver(from, k.Refused.GetID(), u) })
	}
}

// LinkOpened says that a link to another daemon was opened. What was under way on the former
// one is lost, so that the requests it works on are told again.
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
			if t := s.tickets[id]; !s.send(t, host) {
				t.owner = "" // placed again by checkTickets
			}
		}
	})
}

// endOthers ends the requests of a daemon that it no longer has.
func (s *Scheduler) endOthers(origin string, ids []string) {
	present := make(map[string]bool, len(ids))
	for _, id := range ids {
		present[id] = true
	}
	for id, o := range s.owned {
		if o.origin == origin && !present[id] {
			s.end(id)
		}
	}
}
