package dispatch

import (
	"slices"
	"time"
)

const (
	// minCrossBytes is the number of bytes that would cross data centres from which the data
	// centre of a task matters.
	minCrossBytes = 100_000
	// localityMargin is the spare time before its due time that a task must have to be held
	// for a target in its preferred data centre.
	localityMargin = 60 * time.Millisecond
)

// preferredDataCentre returns the data centre in which the task's pieces should run. It is the first of
// these for which at least minCrossBytes would cross data centres otherwise:
//
//   - the one with most of the inputs;
//   - for large results, the one to which pieces of the same stage were sent already, since the
//     next stage needs all their results;
//   - for large results of a final stage, Job.DataCentre.
//
// It is empty if there is none.
func (t *task) preferredDataCentre() string {
	s := t.stage
	j := s.job
	if dataCentre, bytes := mostBytes(j, s.spec.After); bytes*int64(max(len(t.waiting), 1)) >= minCrossBytes {
		return dataCentre
	}
	consumers := int64(0)
	for _, other := range j.stages {
		if slices.Contains(other.spec.After, s.index) {
			consumers += int64(len(other.results))
		}
	}
	if s.spec.ResultBytes*max(consumers, 1)*int64(len(t.waiting)) >= minCrossBytes {
		if s.lastDataCentre != "" {
			return s.lastDataCentre
		}
		if consumers == 0 {
			return j.DataCentre
		}
	}
	return ""
}

// mostBytes returns the data centre that stores most of the stages' results, and their size in
// bytes.
func mostBytes(j *job, stages []int) (dataCentre string, most int64) {
	if len(stages) == 0 {
		return "", 0
	}
	bytes := map[string]int64{}
	for _, index := range stages {
		for i := range j.stages[index].results {
			r := &j.stages[index].results[i]
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

// dataCentreSchedule holds, by data centre, when its first target is free, how many pieces are
// held for it, and how many targets it has. Closed and slow targets don't count.
type dataCentreSchedule struct {
	now         time.Time
	pool        *pool
	freeAt      map[string]time.Time
	held        map[string]int
	targetCount map[string]int
}

func newDataCentreSchedule(now time.Time, pl *pool) *dataCentreSchedule {
	return &dataCentreSchedule{now: now, pool: pl}
}

// fill computes the schedule on its first use: most tasks may run at any target.
func (s *dataCentreSchedule) fill() {
	if s.freeAt != nil {
		return
	}
	now := s.now
	s.freeAt, s.held, s.targetCount = map[string]time.Time{}, map[string]int{}, map[string]int{}
	for _, t := range s.pool.targets {
		if t.Closed || t.slowness >= slowThreshold {
			continue
		}
		at := t.freeAt(now)
		s.targetCount[t.DataCentre]++
		if first, ok := s.freeAt[t.DataCentre]; !ok || at.Before(first) {
			s.freeAt[t.DataCentre] = at
		}
	}
}

// freeAt returns when the target can run its next call.
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
	if t.heldUntil.After(at) {
		at = t.heldUntil
	}
	return t.allowedAt(now, at)
}

// mayRunAnywhere reports whether the task may run now outside of its preferred data centre. It may not
// if it can wait for a target there, behind the pieces that are held for it already, and still
// be done localityMargin before its due time. Deferred tasks run at any target.
func (s *dataCentreSchedule) mayRunAnywhere(t *task, preferred string) bool {
	if preferred == "" || t.deferred {
		return true
	}
	s.fill()
	at, ok := s.freeAt[preferred]
	if !ok {
		return true
	}
	batch := &s.pool.batch
	fullCallTime := batch.CallTime + batch.PieceTime*time.Duration(batch.MaxPieces)
	waits := time.Duration(s.held[preferred]/(batch.MaxPieces*max(s.targetCount[preferred], 1))) * fullCallTime
	return at.Add(waits + fullCallTime + localityMargin).After(t.due)
}

// addHeld counts the pieces of a task that waits for a target in its preferred data centre.
func (s *dataCentreSchedule) addHeld(t *task) {
	s.fill()
	s.held[t.preferredDataCentre()] += len(t.waiting)
}
