package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Target is a stage target as the planner sees it.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Incarnation tells two starts under one ID apart.
	Incarnation int64
	// Closed says that no new call may go to the target.
	Closed bool
}

// pool is one service.
type pool struct {
	name    string
	batch   service.Batch
	targets []*targetState
	tasks   []*task
	// wait is the typical wait of a task that is on time.
	wait time.Duration
	// pieceTimes are the measured times of a piece by the kind of its stage.
	pieceTimes map[string]time.Duration
}

type targetState struct {
	Target
	pool        *pool
	running     map[uint64]*call
	pausedUntil time.Time
	// slowness is the measured duration of calls over the expected one.
	slowness float64
	// results maps the handles that live at the target to their sizes.
	results map[string]int64
	// used is the room that results and running calls take.
	used int64
	// foreign is what calls of a former planner still make.
	foreign *call
	// orphans are the results of lost calls, which nobody can give up.
	orphans []orphan
	gone    bool
}

// orphan is the room that the results of a lost call take.
type orphan struct {
	bytes int64
	until time.Time
}

// SetServices sets how the targets of each service run calls.
func (p *Planner) SetServices(services map[string]service.Service) {
	for name, s := range services {
		if s.Batch == nil {
			continue
		}
		pl := p.pool(name)
		pl.batch = *s.Batch
	}
}

func (p *Planner) pool(name string) *pool {
	pl := p.services[name]
	if pl == nil {
		pl = &pool{name: name, batch: service.Batch{Slots: 1, MaxPieces: 1}}
		p.services[name] = pl
		p.pools = append(p.pools, pl)
		slices.SortFunc(p.pools, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
	}
	return pl
}

// SetTargets sets the targets of all services; those that are missing are gone together
// with their results.
func (p *Planner) SetTargets(now time.Time, targets []Target) []Action {
	p.now = now
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		state := p.targets[t.ID]
		if state != nil && state.Incarnation != t.Incarnation {
			p.lose(state)
			state = nil
		}
		if state == nil {
			pl := p.pool(t.Service)
			state = &targetState{pool: pl, running: map[uint64]*call{}, results: map[string]int64{}, slowness: 1}
			pl.targets = append(pl.targets, state)
			p.targets[t.ID] = state
		}
		state.Target = t
	}
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		if !present[id] {
			p.lose(p.targets[id])
		}
	}
	p.plan(now)
	return p.take()
}

// lose forgets a target; pieces whose results were there are made again if still needed.
func (p *Planner) lose(t *targetState) {
	t.gone = true
	delete(p.targets, t.ID)
	t.pool.targets = slices.DeleteFunc(t.pool.targets, func(other *targetState) bool { return other == t })
	for _, id := range slices.Sorted(maps.Keys(t.running)) {
		p.requeueCall(t.running[id])
	}
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		for _, s := range j.stages {
			p.loseResults(s, t)
		}
		if !j.finished {
			p.repair(j)
			p.advance(j)
		}
	}
}

func (t *targetState) forget(handle string) {
	t.used -= t.results[handle]
	delete(t.results, handle)
}

// short reports whether a target of the service may lack the room for a whole call.
func (pl *pool) short() bool {
	for _, t := range pl.targets {
		if pl.batch.ResultMemoryBytes > 0 && float64(t.used) > shortRoom*float64(pl.batch.ResultMemoryBytes) {
			return true
		}
	}
	return false
}

// whole reports whether all pieces of a call were made; others make it shorter.
func whole(results []Result) bool {
	for _, r := range results {
		if r.Failure != "" {
			return false
		}
	}
	return true
}

// measure keeps how long the target takes compared with what was expected, and how long
// the pieces of each kind take.
func (c *call) measure(now time.Time) {
	took := now.Sub(c.started)
	plain := c.target.pool.batch.CallTime
	counts := map[string]int{}
	squares := 0
	for _, ref := range c.pieces {
		plain += c.target.pool.pieceTime(ref.stage.plan.Kind)
		counts[ref.stage.plan.Kind]++
	}
	for _, n := range counts {
		squares += n * n
	}
	if plain <= 0 || squares == 0 {
		return
	}
	ratio := float64(took) / float64(plain)
	c.target.slowness += speedWeight * (ratio - c.target.slowness)
	if c.target.slowness >= tooSlow {
		return // a slow target says nothing about the pieces
	}
	// The error is divided among the kinds by their part in the call.
	for kind, n := range counts {
		step := learnWeight * float64(took-plain) * float64(n) / float64(squares)
		c.target.pool.learn(kind, time.Duration(step))
	}
}

// pieceTime is the time that a piece of the kind adds to a call.
func (pl *pool) pieceTime(kind string) time.Duration {
	if measured, ok := pl.pieceTimes[kind]; ok {
		return measured
	}
	return pl.batch.PieceTime
}

// learn moves the time of a kind by a step, inside what is plausible.
func (pl *pool) learn(kind string, step time.Duration) {
	if pl.pieceTimes == nil {
		pl.pieceTimes = map[string]time.Duration{}
	}
	least, most := pl.batch.PieceTime/maxPieceRatio, pl.batch.PieceTime*maxPieceRatio
	pl.pieceTimes[kind] = min(max(pl.pieceTime(kind)+step, least), most)
}

// abandon holds the target until it has ended a lost call, and the room of its results
// until they vanish by themselves.
func (t *targetState) abandon(now time.Time, c *call) {
	ends := c.started.Add(c.expected)
	if ends.Before(now) {
		ends = now.Add(lostPause)
	}
	t.await(now, ends, c.bytes)
}

// await holds the target until the end of a call whose answer is lost, and the room of its
// results until they vanish by themselves.
func (t *targetState) await(now, ends time.Time, bytes int64) {
	if ends.After(now) && ends.After(t.pausedUntil) {
		t.pausedUntil = ends
	}
	if life := t.pool.batch.ResultLifetime; life > 0 {
		t.orphans = append(t.orphans, orphan{bytes: bytes, until: ends.Add(life)})
		t.used += bytes
	}
}

// expire takes the room back of orphans that have vanished.
func (t *targetState) expire(now time.Time) {
	t.orphans = slices.DeleteFunc(t.orphans, func(o orphan) bool {
		if now.Before(o.until) {
			return false
		}
		t.used -= o.bytes
		return true
	})
}
