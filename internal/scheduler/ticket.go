package scheduler

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/placement"
)

// Ticket follows one submitted request at the daemon that holds its client.
type Ticket struct {
	// Updates carries one answer to Submit and one to each Again.
	Updates chan Update

	scheduler *Scheduler
	job       Job
	// owner is the daemon that works on the request, empty while there is none.
	owner string
	// waiting says that an answer is awaited, since when in asked.
	waiting  bool
	asked    time.Time
	excluded map[string]bool
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

// Again asks for another engine because the one before didn't run the request, or broke
// it off. InputsGone says that the inputs must be made anew.
func (t *Ticket) Again(failed string, inputsGone bool) {
	s := t.scheduler
	s.post(func() {
		if s.tickets[t.job.ID] != t {
			return
		}
		t.waiting, t.asked = true, s.Clock.Now()
		t.excluded[failed] = true
		if inputsGone {
			t.job.Done = nil
		}
		if t.owner == s.Host && s.owned[t.job.ID] != nil {
			s.again(t.job.ID, failed, inputsGone)
			return
		}
		e := &clusterpb.Envelope{Kind: &clusterpb.Envelope_Again{Again: &clusterpb.Again{ID: t.job.ID, Failed: failed, InputsGone: inputsGone}}}
		if t.owner != "" && t.owner != s.Host && s.Mesh.IsAlive(t.owner) && s.Mesh.Send(t.owner, e) {
			return
		}
		t.owner = ""
		s.place(t)
	})
}

// Began says that the engine answers, so that the inputs aren't needed any more.
func (t *Ticket) Began() {
	t.tell(&clusterpb.Envelope{Kind: &clusterpb.Envelope_Began{Began: &clusterpb.Began{ID: t.job.ID}}}, func() { t.scheduler.began(t.job.ID) })
}

// Ended says that the request is over, however it ended.
func (t *Ticket) Ended() {
	t.tell(&clusterpb.Envelope{Kind: &clusterpb.Envelope_Ended{Ended: &clusterpb.Ended{ID: t.job.ID}}}, func() { t.scheduler.end(t.job.ID) })
	s := t.scheduler
	s.post(func() {
		if s.tickets[t.job.ID] == t {
			delete(s.tickets, t.job.ID)
		}
	})
}

// tell passes a message to the owner, which may be this daemon.
func (t *Ticket) tell(e *clusterpb.Envelope, local func()) {
	s := t.scheduler
	s.post(func() {
		switch t.owner {
		case "":
		case s.Host:
			local()
		default:
			s.Mesh.Send(t.owner, e)
		}
	})
}

// place hands a waiting request to the leader, or to this daemon if there is none.
func (s *Scheduler) place(t *Ticket) {
	leader := s.Mesh.Leader()
	if leader == "" && s.Clock.Since(t.asked) < ownWorkAfter {
		return // looked at again by checkTickets
	}
	job := t.job
	job.Generation.Exclude = t.excluded
	if leader == "" || leader == s.Host {
		t.owner = s.Host
		s.submit(s.Host, job)
		return
	}
	if s.Mesh.Send(leader, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Submit{Submit: encodeJob(s.Clock.Now(), job)}}) {
		t.owner = leader
		return
	}
	if s.Clock.Since(t.asked) >= ownWorkAfter {
		t.owner = s.Host
		s.submit(s.Host, job)
	}
}

// checkTickets moves waiting requests whose owner is gone.
func (s *Scheduler) checkTickets() {
	for _, t := range s.tickets {
		if !t.waiting {
			continue
		}
		if t.owner != "" && t.owner != s.Host && !s.Mesh.IsAlive(t.owner) {
			t.owner = ""
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
	case Refused:
		s.Mesh.Send(origin, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Refused{Refused: &clusterpb.Refused{
			ID: id, Reason: u.Reason, RetryAfterMillis: u.RetryAfter.Milliseconds(),
		}}})
	}
}

// report tells the daemon that holds the client of results that were made.
func (s *Scheduler) report(origin string, p dispatch.Progress) {
	if origin == s.Host {
		s.progress(s.Host, p.Job, p.Done)
		return
	}
	s.Mesh.Send(origin, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Progress{Progress: &clusterpb.Progress{
		ID: p.Job, Done: encodeDone(s.Clock.Now(), p.Done),
	}}})
}

// progress keeps results for the case that another daemon must go on from them.
func (s *Scheduler) progress(from, id string, done []dispatch.Done) {
	if t := s.tickets[id]; t != nil && t.owner == from {
		t.job.Done = append(t.job.Done, done...)
	}
}

// deliver gives an update to the request that waits for it.
func (s *Scheduler) deliver(from, id string, u Update) {
	t := s.tickets[id]
	if t == nil || !t.waiting || t.owner != from {
		return
	}
	t.waiting = false
	if _, refused := u.(Refused); refused {
		t.job.Done = nil
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
		s.post(func() { s.again(k.Again.GetID(), k.Again.GetFailed(), k.Again.GetInputsGone()) })
	case *clusterpb.Envelope_Began:
		s.post(func() { s.began(k.Began.GetID()) })
	case *clusterpb.Envelope_Ended:
		s.post(func() { s.end(k.Ended.GetID()) })
	case *clusterpb.Envelope_Progress:
		done := decodeDone(s.Clock.Now(), k.Progress.GetDone())
		s.post(func() { s.progress(from, k.Progress.GetID(), done) })
	case *clusterpb.Envelope_Assigned:
		u := Assigned{Target: k.Assigned.GetTarget(), Address: k.Assigned.GetAddress(), Inputs: k.Assigned.GetInputs()}
		s.post(func() { s.deliver(from, k.Assigned.GetID(), u) })
	case *clusterpb.Envelope_Refused:
		u := Refused{Reason: k.Refused.GetReason(), RetryAfter: time.Duration(k.Refused.GetRetryAfterMillis()) * time.Millisecond}
		s.post(func() { s.deliver(from, k.Refused.GetID(), u) })
	}
}

func encodeDone(now time.Time, done []dispatch.Done) []*clusterpb.Done {
	list := make([]*clusterpb.Done, 0, len(done))
	for _, d := range done {
		list = append(list, &clusterpb.Done{
			Stage: int32(d.Stage), Index: int32(d.Index), Handle: d.Handle, Target: d.Target, AgeMillis: now.Sub(d.Made).Milliseconds(),
		})
	}
	return list
}

func decodeDone(now time.Time, done []*clusterpb.Done) []dispatch.Done {
	list := make([]dispatch.Done, 0, len(done))
	for _, d := range done {
		list = append(list, dispatch.Done{
			Stage:  int(d.GetStage()),
			Index:  int(d.GetIndex()),
			Handle: d.GetHandle(),
			Target: d.GetTarget(),
			Made:   now.Add(-time.Duration(d.GetAgeMillis()) * time.Millisecond),
		})
	}
	return list
}

func encodeJob(now time.Time, j Job) *clusterpb.Submit {
	m := &clusterpb.Submit{
		ID:             j.ID,
		DataCentre:     j.DataCentre,
		Key:            j.Key,
		AimMillis:      j.Aim.Sub(now).Milliseconds(),
		DeadlineMillis: j.Deadline.Sub(now).Milliseconds(),
		Priority:       int64(j.Priority),
		Worth:          j.Worth,
		Generation: &clusterpb.Generation{
			Service:      j.Generation.Service,
			Model:        j.Generation.Model,
			PromptTokens: int64(j.Generation.PromptTokens),
			OutputTokens: int64(j.Generation.OutputTokens),
		},
	}
	for _, st := range j.Stages {
		stage := &clusterpb.Stage{Service: st.Service, Kind: st.Kind, Pieces: int32(st.Pieces), ResultBytes: st.ResultBytes}
		for _, before := range st.After {
			stage.After = append(stage.After, int32(before))
		}
		m.Stages = append(m.Stages, stage)
	}
	for _, part := range j.Generation.Parts {
		m.Generation.Parts = append(m.Generation.Parts, &clusterpb.Part{ID: part.ID, Tokens: int64(part.Tokens)})
	}
	m.Done = encodeDone(now, j.Done)
	for id := range j.Generation.Exclude {
		m.Generation.Excluded = append(m.Generation.Excluded, id)
	}
	return m
}

func decodeJob(now time.Time, m *clusterpb.Submit) Job {
	g := m.GetGeneration()
	j := Job{
		ID:         m.GetID(),
		DataCentre: m.GetDataCentre(),
		Key:        m.GetKey(),
		Aim:        now.Add(time.Duration(m.GetAimMillis()) * time.Millisecond),
		Deadline:   now.Add(time.Duration(m.GetDeadlineMillis()) * time.Millisecond),
		Priority:   int(m.GetPriority()),
		Worth:      m.GetWorth(),
		Generation: placement.Request{
			ID:           m.GetID(),
			Service:      g.GetService(),
			Model:        g.GetModel(),
			PromptTokens: int(g.GetPromptTokens()),
			OutputTokens: int(g.GetOutputTokens()),
			DataCentre:   m.GetDataCentre(),
			Exclude:      map[string]bool{},
		},
	}
	for i, st := range m.GetStages() {
		stage := dispatch.Stage{Service: st.GetService(), Kind: st.GetKind(), Pieces: int(st.GetPieces()), ResultBytes: st.GetResultBytes()}
		for _, before := range st.GetAfter() {
			if before >= 0 && int(before) < i {
				stage.After = append(stage.After, int(before))
			}
		}
		j.Stages = append(j.Stages, stage)
	}
	for _, part := range g.GetParts() {
		j.Generation.Parts = append(j.Generation.Parts, placement.Part{ID: part.GetID(), Tokens: int(part.GetTokens())})
	}
	j.Done = decodeDone(now, m.GetDone())
	for _, id := range g.GetExcluded() {
		j.Generation.Exclude[id] = true
	}
	return j
}
