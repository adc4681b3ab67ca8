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

const (
	// hedgeQuantile is the quantile, from 0 to 1, of stage durations from which the hedge
	// delay is derived.
	hedgeQuantile = 0.95
	// hedgeDelayFactor multiplies that quantile.
	hedgeDelayFactor = 2
	// minHedgeDelay is the shortest hedge delay.
	minHedgeDelay = 20 * time.Millisecond
)

// attemptRun is one attempt of a hedged send.
type attemptRun struct {
	// index is 0 for the first attempt and 1 for the second.
	index     int
	candidate router.Candidate
	// output holds the texts received so far.
	output []byte
	result link.Result
	err    error
	cancel context.CancelFunc
	// answerStarted is set when the first text of the answer arrives, which shows that the
	// connection works.
	answerStarted atomic.Bool
}

// hedgedSend is one attempt and, if that is slow, a second one. The winner is the first one
// to produce text or, if the stage isn't streamed, the first one to end successfully. The
// other attempt ends with an error of kind Cancelled.
type hedgedSend struct {
	stage *stageRun
	// ended receives each attempt when it has ended. Its capacity is 2, so that an attempt
	// which loses doesn't block.
	ended chan *attemptRun
	mu    sync.Mutex
	// winner is the index of the winning attempt or noWinner.
	winner int
}

// noWinner is the value of hedgedSend.winner until an attempt has won.
const noWinner = -1

// sendHedged sends the stage to the target of the slot, and once more if that is slow, and
// returns the whole output. If every attempt fails, it returns the error of an attempt that
// may have been sent, if there is one.
func (s *stageRun) sendHedged(ctx context.Context, sl slot) ([]byte, error) {
	s.runner.RetryBudget.Deposit()
	h := &hedgedSend{stage: s, ended: make(chan *attemptRun, 2), winner: noWinner}
	first := h.start(ctx, 0, sl)
	defer first.cancel()
	running := map[*attemptRun]bool{first: true}
	timer := s.newHedgeTimer()
	defer timer.stop()
	var failure error
	for len(running) > 0 {
		select {
		case a := <-h.ended:
			delete(running, a)
			s.recordEnd(a)
			if a.err == nil {
				s.chargeAll(running)
				return a.output, nil
			}
			failure = preferSent(failure, a.err)
		case <-timer.fired():
			if second := s.startHedge(ctx, h, first); second != nil {
				defer second.cancel()
				running[second] = true
			}
		}
	}
	return nil, failure
}

// preferSent returns the error a if its attempt may have been sent, and b otherwise. a may be
// nil.
func preferSent(a, b error) error {
	if a == nil || link.NotSent(a) {
		return b
	}
	return a
}

// recordEnd records the failure and the cost of an attempt that has ended.
func (s *stageRun) recordEnd(a *attemptRun) {
	name := a.candidate.Target.Name
	if a.err != nil {
		s.tried[name] = true
		s.recordDecision(event.AttemptFailed, "Failed", name, a.err.Error(), nil)
	}
	if !link.NotSent(a.err) {
		s.addCost(a.candidate.Target)
		s.cost.Tokens += a.result.Tokens
	}
}

// chargeAll adds the cost of the attempts that are still running when another one has won,
// because they may have reached their targets.
func (s *stageRun) chargeAll(running map[*attemptRun]bool) {
	for a := range running {
		s.addCost(a.candidate.Target)
	}
}

// start starts an attempt and sends it to the ended channel when it has ended.
func (h *hedgedSend) start(ctx context.Context, index int, sl slot) *attemptRun {
	ctx, cancel := context.WithCancel(ctx)
	a := &attemptRun{index: index, candidate: sl.candidate, cancel: cancel}
	attempt := h.stage.newAttempt()
	go func() {
		a.result, a.err = h.stage.send(ctx, sl, attempt, func(text []byte) error {
			return h.handleText(a, text)
		})
		if a.err == nil {
			a.err = h.handleEnd(a)
		}
		h.ended <- a
	}()
	return a
}

// newAttempt returns the next attempt of the stage, with a new ID.
func (s *stageRun) newAttempt() link.Attempt {
	return link.Attempt{
		ID:        s.newAttemptID(),
		RequestID: s.job.Request.ID,
		Stage:     s.stage.Name,
		Kind:      s.stage.Kind,
		Input:     s.input,
		Priority:  s.priorityMillis(),
	}
}

// priorityMillis returns the time left in milliseconds. Targets treat the lowest number as
// the most urgent.
func (s *stageRun) priorityMillis() int {
	return int(s.job.Request.Deadline.Sub(s.runner.Clock.Now()).Milliseconds())
}

// handleText appends one text of an attempt's answer to its output and, if the stage is
// streamed, makes the attempt the winner and passes the text to the sink. It fails with kind
// Cancelled if another attempt has won.
func (h *hedgedSend) handleText(a *attemptRun, text []byte) error {
	a.answerStarted.Store(true)
	a.output = append(a.output, text...)
	if h.stage.sink == nil {
		return nil
	}
	if !h.tryWin(a.index) {
		return problem.New(problem.Cancelled, "another attempt was faster")
	}
	h.stage.streamed.Store(true)
	return h.stage.sink(text)
}

// handleEnd makes an attempt with a complete answer the winner. If another attempt has won, it
// drops the answer and fails with kind Cancelled.
func (h *hedgedSend) handleEnd(a *attemptRun) error {
	if h.tryWin(a.index) {
		return nil
	}
	h.stage.runner.Log.Emit(event.LateAnswerDropped, "Request", h.stage.job.Request.ID, "Stage", h.stage.stage.Name, "Target", a.candidate.Target.Name)
	return problem.New(problem.Cancelled, "another attempt was faster")
}

// tryWin makes the attempt the winner if there is none, and reports whether it is the winner.
func (h *hedgedSend) tryWin(index int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == noWinner {
		h.winner = index
	}
	return h.winner == index
}

func (h *hedgedSend) hasWinner() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.winner != noWinner
}

// startHedge starts a second attempt on another warm target if the retry budget allows it.
// If there is no other target and no text has arrived, the connection may have failed
// silently, and the second attempt goes to the same target over a new connection. It
// returns nil if it starts none.
func (s *stageRun) startHedge(ctx context.Context, h *hedgedSend, first *attemptRun) *attemptRun {
	if h.hasWinner() {
		return nil
	}
	slow := first.candidate.Target
	candidates := s.runner.Fleet.Candidates(s.job.Document, s.stage.Kind, s.runner.Cluster.DataCentreOut)
	others, slowAgain := s.hedgeCandidates(candidates, slow.Name)
	decision, ok := router.Choose(router.Query{Policy: s.runner.Policy, Candidates: others, Turn: s.runner.Fleet.NextTurn()}).(router.Send)
	if !ok && (slowAgain == nil || first.answerStarted.Load()) {
		return nil
	}
	if !ok {
		s.runner.Links.CloseIdle(slow.Address)
		decision.Candidate = *slowAgain
	}
	t := decision.Candidate.Target
	reservation, direct := s.runner.Fleet.Reserve(t, decision.Candidate.Local, s.runner.Cluster.View(t.DataCentre)).(fleet.Direct)
	if !direct {
		return nil
	}
	if !s.runner.RetryBudget.TryWithdraw() {
		s.runner.Fleet.Release(t.Name, reservation.Cold)
		return nil
	}
	s.recordDecision(event.AttemptHedged, "Hedge", t.Name, "no answer yet from "+slow.Name, candidateNames(candidates))
	return h.start(ctx, 1, slot{candidate: decision.Candidate, reservation: reservation})
}

// hedgeCandidates returns the other warm targets on which this stage hasn't failed, and, as
// slowAgain, the slow target itself. It leaves out targets that accept no new work; slowAgain
// is nil if the slow target is cold or accepts none.
func (s *stageRun) hedgeCandidates(candidates []router.Candidate, slow string) (others []router.Candidate, slowAgain *router.Candidate) {
	for _, c := range candidates {
		switch {
		case !c.Warm || c.Leaving || c.DataCentreOut:
		case c.Target.Name == slow:
			slowAgain = &c
		case !s.tried[c.Target.Name]:
			others = append(others, c)
		}
	}
	return others, slowAgain
}

// newHedgeTimer returns a timer that fires when the stage has taken hedgeDelayFactor times the
// hedgeQuantile of the durations of its kind, but not before minHedgeDelay. Stages that aren't
// idempotent, or of a kind without known durations, get a timer that never fires.
func (s *stageRun) newHedgeTimer() hedgeTimer {
	quantile, ok := s.runner.Fleet.DurationQuantile(s.stage.Kind, hedgeQuantile)
	if !ok || !s.stage.Idempotent {
		return hedgeTimer{}
	}
	delay := max(minHedgeDelay, hedgeDelayFactor*quantile)
	return hedgeTimer{timer: s.runner.Clock.NewTimer(delay)}
}
