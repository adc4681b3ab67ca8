package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Target describes a stage target.
type Target struct {
	ID      string
	Service string
	// Address has the form IP:port.
	Address    string
	DataCentre string
	// Incarnation distinguishes two starts of a target under one ID.
	Incarnation int64
	// Closed is set if the target gets no new calls.
	Closed bool
}

// pool holds the targets and the queue of one service.
type pool struct {
	name    string
	batch   service.Batch
	limits  *targetlimit.Table
	targets []*targetState
	tasks   []*task
	// typicalWait is the moving average of the queue wait of tasks that aren't deferred.
	typicalWait time.Duration
	// kinds are the kinds of the stages that the service has run.
	kinds map[string]*pieceKind
	// forecast is that of the last admission of all jobs, nil before the first.
	forecast *capacityForecast
	// changed is set if pieces were queued, or targets or their memory have become free, since calls
	// were last started.
	changed bool
	// wasShort is whether memoryShort held at the last tick.
	wasShort bool
	// simulated is a buffer for the targets in the simulation of firstLateTask.
	simulated []simulatedTarget
}

// pieceKind holds the measured time that a piece of a kind adds to a call; it is 0 without a
// measurement, and batch.PieceTime is used.
type pieceKind struct{ time time.Duration }

// targetState is the state of one target.
type targetState struct {
	Target
	pool *pool
	// running are the running calls, in the order of their starts.
	running []*call
	// pausedUntil is when the next call may be sent, heldUntil when the target wants calls again.
	pausedUntil, heldUntil time.Time
	// slowness is the moving average of measured divided by expected call durations; 1 is as
	// expected, 2 takes twice the time. For a target that reports its pace, it is what is expected of the
	// next call, see expectPace, and steady is the moving average of the ratio with the pace taken out.
	slowness, steady float64
	// paced is set while slowness follows from a report.
	paced bool
	// results maps the handles of the results at the target to their sizes in bytes, also those
	// that were inherited.
	results map[string]int64
	// usedBytes is the memory of the stored results, of the lost results, and of those that the
	// running calls will produce.
	usedBytes int64
	// externalCall holds the pieces that calls of a former planner still compute.
	externalCall *call
	// lostResults are the results of lost calls. Their handles are unknown, so they can't be
	// freed.
	lostResults []lostResult
	// removed is set once the target is gone; pieces and calls may still refer to it.
	removed bool
}

// lostResult is the memory that the results of a lost call use until they expire.
type lostResult struct {
	bytes int64
	until time.Time
}

// SetServices sets the batch parameters of each service. Services without Batch are ignored.
func (p *Planner) SetServices(services map[string]service.Service) {
	for name, s := range services {
		if s.Batch == nil {
			continue
		}
		pl := p.pool(name)
		pl.batch = *s.Batch
	}
}

// pool returns the pool of a service, which is created on first use.
func (p *Planner) pool(name string) *pool {
	pl := p.poolByService[name]
	if pl == nil {
		pl = &pool{name: name, limits: p.Limits, batch: service.Batch{Slots: 1, MaxPieces: 1}}
		p.poolByService[name] = pl
		p.pools = append(p.pools, pl)
		slices.SortFunc(p.pools, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
	}
	return pl
}

// SetTargets sets the targets of all services. Targets that are missing from the list are
// removed together with their results.
func (p *Planner) SetTargets(now time.Time, targets []Target) []Action {
	p.now = now
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		state := p.targets[t.ID]
		if state != nil && state.Incarnation != t.Incarnation {
			p.removeTarget(state)
			state = nil
		}
		if state == nil {
			pl := p.pool(t.Service)
			state = &targetState{pool: pl, results: map[string]int64{}, slowness: 1, steady: 1}
			pl.targets = append(pl.targets, state)
			p.targets[t.ID] = state
		}
		state.Target = t
		state.pool.changed = true
	}
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		if !present[id] {
			p.removeTarget(p.targets[id])
		}
	}
	p.startCalls(now)
	return p.takeActions()
}

// HoldTarget sends no calls to a start of a target for a time, since it wants none.
func (p *Planner) HoldTarget(now time.Time, id string, incarnation int64, wait time.Duration) {
	if t := p.targets[id]; t != nil && t.Incarnation == incarnation && now.Add(wait).After(t.heldUntil) {
		t.heldUntil = now.Add(wait)
	}
}

// CloseTarget sends no more calls to a start of a target, see Target.Closed.
func (p *Planner) CloseTarget(id string, incarnation int64) {
	if t := p.targets[id]; t != nil && t.Incarnation == incarnation {
		t.Closed = true
	}
}

// Held reports whether the target wants no calls yet.
func (p *Planner) Held(now time.Time, id string) bool {
	t := p.targets[id]
	return t != nil && now.Before(t.heldUntil)
}

// removeTarget removes a target. Pieces whose results were there are computed again if they
// are still needed.
func (p *Planner) removeTarget(t *targetState) {
	t.removed = true
	delete(p.targets, t.ID)
	t.pool.targets = slices.DeleteFunc(t.pool.targets, func(other *targetState) bool { return other == t })
	for _, c := range slices.Clone(t.running) {
		p.requeueCall(c)
	}
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		for _, s := range j.stages {
			p.loseResultsAt(s, t)
		}
		if !j.finished {
			p.recomputeFreedInputs(j)
			p.advance(j)
		}
	}
}

// removeResult forgets a result and its memory.
func (t *targetState) removeResult(handle string) {
	t.usedBytes -= t.results[handle]
	delete(t.results, handle)
	t.pool.changed = true
}

// memoryShort reports whether a target of the service may lack the memory for the results of a
// whole call.
func (pl *pool) memoryShort() bool {
	for _, t := range pl.targets {
		if pl.batch.ResultMemoryBytes > 0 && float64(t.usedBytes) > memoryShortShare*float64(pl.batch.ResultMemoryBytes) {
			return true
		}
	}
	return false
}

// allSucceeded reports whether no piece of a call failed. A call with failed pieces is shorter
// and no sample for measure.
func allSucceeded(results []Result) bool {
	for _, r := range results {
		if r.Failure != "" {
			return false
		}
	}
	return true
}

// measure updates the slowness of the target and the piece times of the kinds in the call from
// the duration of an ended call.
func (p *Planner) measure(now time.Time, c *call) {
	took := now.Sub(c.started)
	expected := c.target.pool.batch.CallTime
	counts := map[*pieceKind]int{}
	sumOfSquares := 0
	for _, ref := range c.pieces {
		expected += ref.stage.pieceTime()
		counts[ref.stage.kind]++
	}
	for _, n := range counts {
		sumOfSquares += n * n
	}
	if expected <= 0 || sumOfSquares == 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	if pace, ok := p.paceOfCall(now, c); ok {
		c.target.steady += slownessWeight * (ratio/pace - c.target.steady)
		p.expectPace(now, c.target)
	} else {
		c.target.slowness += slownessWeight * (ratio - c.target.slowness)
	}
	if c.target.slowness >= slowThreshold {
		return // the duration depends on the target rather than on the pieces
	}
	// The prediction error is divided among the kinds in proportion to their pieces in the call.
	// The division by the sum of the squares makes the predicted duration of the same call
	// change by pieceTimeWeight of the error.
	for kind, n := range counts {
		step := pieceTimeWeight * float64(took-expected) * float64(n) / float64(sumOfSquares)
		c.target.pool.adjustPieceTime(kind, time.Duration(step))
	}
}

// kind returns the kind with this name, which is created on first use.
func (pl *pool) kind(name string) *pieceKind {
	if pl.kinds == nil {
		pl.kinds = map[string]*pieceKind{}
	}
	k := pl.kinds[name]
	if k == nil {
		k = &pieceKind{}
		pl.kinds[name] = k
	}
	return k
}

// pieceTime returns the time that a piece of the stage adds to a call.
func (s *stageState) pieceTime() time.Duration { return s.pool.pieceTime(s.kind) }

// pieceTime returns the time that a piece of the kind adds to a call.
func (pl *pool) pieceTime(k *pieceKind) time.Duration {
	if k.time > 0 {
		return k.time
	}
	return pl.batch.PieceTime
}

// adjustPieceTime changes the time of a kind by a step, within maxPieceTimeRatio.
func (pl *pool) adjustPieceTime(k *pieceKind, step time.Duration) {
	least, most := pl.batch.PieceTime/maxPieceTimeRatio, pl.batch.PieceTime*maxPieceTimeRatio
	k.time = min(max(pl.pieceTime(k)+step, least), most)
}

// addLostCall pauses the target until a lost call should have ended, or for unreachedPause
// if that time has passed.
func (t *targetState) addLostCall(now time.Time, c *call) {
	ends := c.started.Add(c.expected)
	if ends.Before(now) {
		ends = now.Add(unreachedPause)
	}
	t.addUnansweredCall(now, ends, c.bytes)
}

// addUnansweredCall pauses the target until the end of a call whose answer won't arrive, and counts
// the memory of its results as used until they expire.
func (t *targetState) addUnansweredCall(now, ends time.Time, bytes int64) {
	if ends.After(now) && ends.After(t.pausedUntil) {
		t.pausedUntil = ends
	}
	if lifetime := t.pool.batch.ResultLifetime; lifetime > 0 {
		t.lostResults = append(t.lostResults, lostResult{bytes: bytes, until: ends.Add(lifetime)})
		t.usedBytes += bytes
	}
}

// expireLostResults frees the memory of lost results that have expired.
func (t *targetState) expireLostResults(now time.Time) {
	t.lostResults = slices.DeleteFunc(t.lostResults, func(l lostResult) bool {
		if now.Before(l.until) {
			return false
		}
		t.usedBytes -= l.bytes
		return true
	})
}
