package run

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/fleet"
	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/router"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Settings of hedging.
const (
	// hedgeQuantile is the share of stages that end before a second attempt is considered.
	hedgeQuantile = 0.95
	hedgeFactor   = 2
	minHedgeDelay = 20 * time.Millisecond
)

// entrant is one attempt of a race.
type entrant struct {
	index  int
	target router.Candidate
	output []byte
	result link.Result
	err    error
	cancel context.CancelFunc
	// begun says that some of the answer has arrived, so the connection isn't silent.
	begun atomic.Bool
}

// race is one attempt and, if that is slow, a second one on another target. The first
// one to produce text, or to end if nothing is streamed, goes on alone.
type race struct {
	stage  *stageRun
	ended  chan *entrant
	mu     sync.Mutex
	winner int
}

const nobody = -1

// race sends the stage to the target of the place and returns the whole output.
func (s *stageRun) race(ctx context.Context, p place) ([]byte, error) {
	s.runner.RetryBudget.Deposit()
	rc := &race{stage: s, ended: make(chan *entrant, 2), winner: nobody}
	first := rc.start(ctx, 0, p)
	defer first.cancel()
	running := map[*entrant]bool{first: true}
	timer := s.hedgeTimer()
	defer timer.stop()
	var failure error
	for len(running) > 0 {
		select {
		case e := <-rc.ended:
			delete(running, e)
			s.settle(e)
			if e.err == nil {
				s.abandon(running)
				return e.output, nil
			}
			failure = worse(failure, e.err)
		case <-timer.fired():
			if second := s.hedge(ctx, rc, first); second != nil {
				defer second.cancel()
				running[second] = true
			}
		}
	}
	return nil, failure
}

// worse returns the error that says more was sent.
func worse(a, b error) error {
	if a == nil || link.NotSent(a) {
		return b
	}
	return a
}

// settle books an attempt that has ended.
func (s *stageRun) settle(e *entrant) {
	name := e.target.Target.Name
	if e.err != nil {
		s.tried[name] = true
		s.note(event.AttemptFailed, "Failed", name, e.err.Error(), nil)
	}
	if !link.NotSent(e.err) {
		s.charge(e.target.Target)
		s.cost.Tokens += e.result.Tokens
	}
}

// abandon books the attempts that lost and are still running.
func (s *stageRun) abandon(running map[*entrant]bool) {
	for e := range running {
		s.charge(e.target.Target)
	}
}

// start begins an attempt, whose end arrives on the race's channel.
func (rc *race) start(ctx context.Context, index int, p place) *entrant {
	ctx, cancel := context.WithCancel(ctx)
	e := &entrant{index: index, target: p.candidate, cancel: cancel}
	attempt := rc.stage.attempt()
	go func() {
		e.result, e.err = rc.stage.send(ctx, p, attempt, func(text []byte) error {
			return rc.text(e, text)
		})
		if e.err == nil {
			e.err = rc.finish(e)
		}
		rc.ended <- e
	}()
	return e
}

func (s *stageRun) attempt() link.Attempt {
	return link.Attempt{
		ID:        s.attemptID(),
		RequestID: s.job.Request.ID,
		Stage:     s.stage.Name,
		Kind:      s.stage.Kind,
		Input:     s.input,
		Priority:  s.priority(),
	}
}

// priority returns the time left in milliseconds: the least is the most urgent.
func (s *stageRun) priority() int {
	return int(s.job.Request.Deadline.Sub(s.runner.Clock.Now()).Milliseconds())
}

// text takes one piece of an attempt's answer.
func (rc *race) text(e *entrant, text []byte) error {
	e.begun.Store(true)
	e.output = append(e.output, text...)
	if rc.stage.sink == nil {
		return nil
	}
	if !rc.claim(e.index) {
		return problem.New(problem.Cancelled, "another attempt was faster")
	}
	rc.stage.streamed.Store(true)
	return rc.stage.sink(text)
}

func (rc *race) finish(e *entrant) error {
	if rc.claim(e.index) {
		return nil
	}
	rc.stage.runner.Log.Emit(event.LateAnswerDropped, "Request", rc.stage.job.Request.ID, "Stage", rc.stage.stage.Name, "Target", e.target.Target.Name)
	return problem.New(problem.Cancelled, "another attempt was faster")
}

func (rc *race) claim(index int) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.winner == nobody {
		rc.winner = index
	}
	return rc.winner == index
}

func (rc *race) decided() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.winner != nobody
}

// hedge starts a second attempt on another warm target if the budget allows it. If there
// is none and nothing has arrived, the connection may have gone silent, and the second
// attempt goes to the same target over a new one.
func (s *stageRun) hedge(ctx context.Context, rc *race, first *entrant) *entrant {
	if rc.decided() {
		return nil
	}
	slow := first.target.Target
	candidates := s.runner.Fleet.Candidates(s.job.Document, s.stage.Kind, s.runner.Cluster.DataCentreOut)
	others, same := s.hedgeCandidates(candidates, slow.Name)
	decision, ok := router.Choose(router.Query{Policy: s.runner.Policy, Candidates: others, Turn: s.runner.Fleet.NextTurn()}).(router.Send)
	if !ok && (same == nil || first.begun.Load()) {
		return nil
	}
	if !ok {
		s.runner.Links.CloseIdle(slow.Address)
		decision.Candidate = *same
	}
	contract := decision.Candidate.Target
	reservation, direct := s.runner.Fleet.Reserve(contract, decision.Candidate.Local, s.runner.Cluster.View(contract.DataCentre)).(fleet.Direct)
	if !direct {
		return nil
	}
	if !s.runner.RetryBudget.TryWithdraw() {
		s.runner.Fleet.Release(contract.Name, reservation.Cold)
		return nil
	}
	s.note(event.AttemptHedged, "Hedge", contract.Name, "no answer yet from "+slow.Name, names(candidates))
	return rc.start(ctx, 1, place{candidate: decision.Candidate, reservation: reservation})
}

// hedgeCandidates returns the warm targets beside the slow one, and the slow one itself
// if it still takes work.
func (s *stageRun) hedgeCandidates(candidates []router.Candidate, slow string) (others []router.Candidate, same *router.Candidate) {
	for _, c := range candidates {
		switch {
		case !c.Warm || c.Leaving || c.DataCentreOut:
		case c.Target.Name == slow:
			same = &c
		case !s.tried[c.Target.Name]:
			others = append(others, c)
		}
	}
	return others, same
}

// hedgeTimer fires when the stage is slower than almost all others of its kind.
func (s *stageRun) hedgeTimer() hedgeTimer {
	typical, ok := s.runner.Fleet.DurationQuantile(s.stage.Kind, hedgeQuantile)
	if !ok || !s.stage.Idempotent {
		return hedgeTimer{}
	}
	delay := max(minHedgeDelay, hedgeFactor*typical)
	return hedgeTimer{timer: s.runner.Clock.NewTimer(delay)}
}
