package dispatch

import (
	"slices"
	"time"
)

const (
	// crossBytes is the size of inputs below which it doesn't matter where a piece runs.
	crossBytes = 100_000
	// nearMargin is the time that a task must have to spare to be held for a target near
	// its inputs.
	nearMargin = 60 * time.Millisecond
)

// near returns the data centre where the pieces of the task are best run, and how many
// bytes cross to another one: that of its inputs, or else that of the pieces of the same
// stage that were sent already, since the next stage needs them all. It is empty if it
// doesn't matter.
func (t *task) near() (dataCentre string, bytes int64) {
	s := t.stage
	j := s.job
	if dataCentre, bytes = mostBytes(j, s.plan.After); bytes*int64(max(len(t.waiting), 1)) >= crossBytes {
		return dataCentre, bytes * int64(max(len(t.waiting), 1))
	}
	consumers := int64(0)
	for _, other := range j.stages {
		if slices.Contains(other.plan.After, s.index) {
			consumers += int64(len(other.results))
		}
	}
	if across := s.plan.ResultBytes * max(consumers, 1) * int64(len(t.waiting)); across >= crossBytes {
		if s.sentTo != "" {
			return s.sentTo, across
		}
		if consumers == 0 {
			return j.DataCentre, across
		}
	}
	return "", 0
}

// mostBytes returns the data centre that has most of the results of the stages.
func mostBytes(j *job, stages []int) (dataCentre string, most int64) {
	bytes := map[string]int64{}
	for _, index := range stages {
		for _, r := range j.stages[index].results {
			if r.target == nil {
				continue
			}
			bytes[r.target.DataCentre] += r.bytes
			if n := bytes[r.target.DataCentre]; n > most || n == most && r.target.DataCentre < dataCentre {
				dataCentre, most = r.target.DataCentre, n
			}
		}
	}
	return dataCentre, most
}

// places says when the targets of each data centre are free, with the tasks that are held
// for them.
type places struct {
	now    time.Time
	pool   *pool
	freeAt map[string]time.Time
	held   map[string]int
	count  map[string]int
}

func newPlaces(now time.Time, pl *pool) *places {
	p := &places{now: now, pool: pl, freeAt: map[string]time.Time{}, held: map[string]int{}, count: map[string]int{}}
	for _, t := range pl.targets {
		if t.Closed || t.slowness >= tooSlow {
			continue
		}
		at := t.freeAt(now)
		p.count[t.DataCentre]++
		if first, ok := p.freeAt[t.DataCentre]; !ok || at.Before(first) {
			p.freeAt[t.DataCentre] = at
		}
	}
	return p
}

// freeAt is when the target can take its next call.
func (t *targetState) freeAt(now time.Time) time.Time {
	at := now
	for _, c := range t.running {
		if end := c.started.Add(c.expected); end.After(at) {
			at = end
		}
	}
	if t.pausedUntil.After(at) {
		at = t.pausedUntil
	}
	return at
}

// takes reports whether the target should take the task, or whether the task has the time
// to wait for one near its inputs.
func (p *places) takes(f *targetState, t *task, near string, bytes int64) bool {
	if near == "" || f.DataCentre == near || t.late {
		return true
	}
	at, ok := p.freeAt[near]
	if !ok {
		return true
	}
	each := p.pool.batch.CallTime + p.pool.batch.PieceTime*time.Duration(p.pool.batch.MaxPieces)
	waits := time.Duration(p.held[near]/(p.pool.batch.MaxPieces*max(p.count[near], 1))) * each
	end := at.Add(waits + p.pool.batch.CallTime + p.pool.batch.PieceTime*time.Duration(p.pool.batch.MaxPieces))
	return end.Add(nearMargin).After(t.due)
}

// hold counts a task that waits for a target near its inputs.
func (p *places) hold(t *task) {
	near, _ := t.near()
	p.held[near] += len(t.waiting)
}
