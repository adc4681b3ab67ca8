package targetload

import (
	"time"
)

const (
	// speedWeight is the least weight of a new sample in the learned speed of an engine. The first samples have
	// the weight 1/n, so that a few of them suffice.
	speedWeight = 0.1
	// maxSpeedStep bounds a sample relative to the learned speed, in both directions: a request that waited at
	// its engine for another reason says nothing about its speed.
	maxSpeedStep = 3.0
)

// Engine is the speed of an engine, with its momentary pace apart.
type Engine struct {
	// TokensPerMillisecond is the speed of reading prompts at the usual pace, in tokens per millisecond; 0 if unknown.
	TokensPerMillisecond float64
	// Gap is the time between two events of a stream at the usual pace; 0 if unknown.
	Gap time.Duration
	// Pace is the expected pace, see Table.Pace; 1 if unknown. HighPace is the pace of the machine when it is slow.
	Pace, HighPace float64
}

// engine holds moving averages of the time for a prompt token and between two events, in milliseconds at the
// usual pace.
type engine struct {
	perToken, gap average
}

// average is a moving average of positive values; the zero value has none.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample float64) {
	if a.samples == 0 {
		a.value = sample
	} else {
		sample = min(max(sample, a.value/maxSpeedStep), a.value*maxSpeedStep)
	}
	a.samples++
	a.value += max(1/float64(a.samples), speedWeight) * (sample - a.value)
}

// LearnPrompt records that a start of an engine has sent the first event after took, in which it has read the
// tokens, while its pace was as given. It is dropped if the start hasn't reported a pace.
func (t *Table) LearnPrompt(target string, incarnation int64, tokens float64, took time.Duration, pace float64) {
	if tokens <= 0 || took <= 0 || pace <= 0 {
		return
	}
	t.learn(target, incarnation, func(e *engine) { e.perToken.add(milliseconds(took) / pace / tokens) })
}

// LearnGap records the typical time between two events of one answer of a start of an engine. Machines are slow
// for a small part of the time, so that the typical gap of an answer is one at the usual pace.
func (t *Table) LearnGap(target string, incarnation int64, gap time.Duration) {
	if gap <= 0 {
		return
	}
	t.learn(target, incarnation, func(e *engine) { e.gap.add(milliseconds(gap)) })
}

func (t *Table) learn(target string, incarnation int64, f func(*engine)) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.find(target, incarnation); s != nil && s.meanPace > 0 {
		f(&s.engine)
	}
}

// Engine returns what is known of a start of an engine, and false unless the service is paced.
func (t *Table) Engine(now time.Time, service, target string, incarnation int64) (Engine, bool) {
	if !t.Paced(now, service) {
		return Engine{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Engine{Pace: 1, HighPace: 1}
	s := t.find(target, incarnation)
	if s == nil {
		return e, true
	}
	if pace, ok := s.pace(now); ok {
		e.Pace, e.HighPace = pace, s.highPace
	}
	if s.engine.perToken.samples > 0 {
		e.TokensPerMillisecond = 1 / s.engine.perToken.value
	}
	e.Gap = time.Duration(s.engine.gap.value * float64(time.Millisecond))
	return e, true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
