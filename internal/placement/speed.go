package placement

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/targetload"
)

// Engines that report their pace are compared by predicted times instead of the constants
// promptTokensPerMillisecond and perRunningRequestMillis.

const (
	// lateMillis is the cost of an engine at which the first event is predicted to miss the latency objective, in
	// addition to the time by which it misses it. An answer in time is worth more than repeated reading of a prompt.
	lateMillis = 200.0
	// gapMillis is the cost of an engine whose pauses are predicted to miss their objective.
	gapMillis = 200.0
	// gapRiskMillis is the cost of an engine whose pauses would miss it if its machine became slow. It is the part of
	// gapMillis with which the most answers met both objectives in the replay without a later first event.
	gapRiskMillis = 40.0
)

// prompt is the work of an engine up to the first event of a request.
type prompt struct {
	// tokens is the work in prompt tokens, see promptWork.
	tokens float64
	// pace is the engine's pace when it began to answer, 0 if unknown.
	pace float64
}

// promptWork returns the work up to the first event, in tokens to read: the pending ones and those that take as
// long as the delay by the running requests does at the typical speed.
func promptWork(pending, running int) float64 {
	return float64(pending) + float64(running)*perRunningRequestMillis*promptTokensPerMillisecond
}

// recordPace stores the pace that the engine has reported when it began to answer a request.
func (s *Selector) recordPace(e *engine, id string) {
	p, ok := e.prompts[id]
	if !ok {
		return
	}
	if r, ok := s.Loads.Latest(e.ID, e.Incarnation); ok {
		p.pace = r.Load.Pace
		e.prompts[id] = p
	}
}

// EngineOf returns the engine that the request was sent to, and false if there is none.
func (s *Selector) EngineOf(id string) (Engine, bool) {
	e := s.engineByRequest[id]
	if e == nil {
		return Engine{}, false
	}
	return e.Engine, true
}

// Learn records the time from the send of a request to the first event of its answer, and the typical time between
// two events; each is 0 if unknown. It must precede Remove.
func (s *Selector) Learn(id string, firstEvent, gap time.Duration) {
	e := s.engineByRequest[id]
	if e == nil {
		return
	}
	if p := e.prompts[id]; p.pace > 0 {
		s.Loads.LearnPrompt(e.ID, e.Incarnation, p.tokens, firstEvent, p.pace)
		s.Loads.LearnGap(e.ID, e.Incarnation, gap)
	}
}

// speeds predicts the times of the engines of one service.
type speeds struct {
	now   time.Time
	loads *targetload.Table
	// tokensPerMillisecond is the mean speed of the engines that are known, which is assumed of the others.
	tokensPerMillisecond float64
}

// speedsOf returns the predictions for a request, nil if the engines of its service don't report their pace.
func (s *Selector) speedsOf(now time.Time, r Request) *speeds {
	if !s.Loads.Paced(now, r.Service) {
		return nil
	}
	return &speeds{now: now, loads: s.Loads, tokensPerMillisecond: s.ReadSpeed(now, r.Service)}
}

// ReadSpeed returns the mean speed at which the engines of the service read prompts, in tokens per millisecond: of
// those whose speed is known, or else the typical one.
func (s *Selector) ReadSpeed(now time.Time, service string) float64 {
	sum, known := 0.0, 0
	for _, e := range s.byService[service] {
		if speed, ok := s.Loads.Engine(now, service, e.ID, e.Incarnation); ok && speed.TokensPerMillisecond > 0 {
			sum += speed.TokensPerMillisecond
			known++
		}
	}
	if known == 0 {
		return promptTokensPerMillisecond
	}
	return sum / float64(known)
}

// cost returns the predicted time to the first event in milliseconds, plus the costs of missed objectives. Pending is
// the number of tokens that the engine has to read before.
func (sp *speeds) cost(e *engine, r *Request, pending int) float64 {
	speed, _ := sp.loads.Engine(sp.now, e.Service, e.ID, e.Incarnation)
	if speed.TokensPerMillisecond <= 0 {
		speed.TokensPerMillisecond = sp.tokensPerMillisecond
	}
	first := promptWork(pending, len(e.running)) / speed.TokensPerMillisecond * max(speed.Pace, minPace)
	cost := first
	if left := float64(r.FirstEventBy.Sub(sp.now)) / float64(time.Millisecond); !r.FirstEventBy.IsZero() && first > left {
		cost += lateMillis + first - max(left, 0)
	}
	switch gap, limit := float64(speed.Gap), float64(r.MaxGap); {
	case limit <= 0:
	case gap*speed.Pace > limit:
		cost += gapMillis
	case gap*speed.HighPace > limit:
		cost += gapRiskMillis
	}
	return cost
}

// minPace bounds the pace that is predicted with, so that a faulty report of a tiny one doesn't draw all requests.
const minPace = 0.25
