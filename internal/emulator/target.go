package emulator

import (
	"fmt"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// target is a stage target.
type target struct {
	dispatch.Target
	batch   service.Batch
	running bool
	waiting []func()
	results map[string]int64
	used    int64
	made    int
	down    bool
	start   int
}

// engine is a model engine: it reads one prompt at a time.
type engine struct {
	placement.Engine
	freeAt time.Duration
	known  map[string]bool
}

func (w *world) makeTargets() {
	for name, counts := range w.site.Targets {
		s := w.site.Services[name]
		for d, count := range counts {
			for i := range count {
				id := fmt.Sprintf("%s-%d-%d", name, d, i)
				if s.Batch == nil {
					w.engines[id] = &engine{
						Engine: placement.Engine{ID: id, Service: name, Address: id, DataCentre: w.site.DataCentres[d]},
						known:  map[string]bool{},
					}
					continue
				}
				t := &target{
					Target:  dispatch.Target{ID: id, Service: name, Address: id, DataCentre: w.site.DataCentres[d]},
					batch:   *s.Batch,
					results: map[string]int64{},
				}
				w.targets = append(w.targets, t)
				w.byID[id] = t
			}
		}
	}
}

// announce tells every planner and board which targets there are.
func (w *world) announce() {
	var targets []dispatch.Target
	for _, t := range w.targets {
		if !t.down {
			targets = append(targets, t.Target)
		}
	}
	var engines []placement.Engine
	for _, e := range w.engines {
		engines = append(engines, e.Engine)
	}
	for i, p := range w.planners {
		w.boards[i].SetEngines(w.time(), engines)
		w.perform(i, p.SetTargets(w.time(), targets))
	}
}

func (w *world) scheduleCrashes() {
	for _, c := range w.site.Crashes {
		w.at(c.At, func() { w.crash(c, true) })
		w.at(c.At+c.For, func() { w.crash(c, false) })
	}
}

// crash takes targets away or brings them back without their results.
func (w *world) crash(c Crash, down bool) {
	left := c.Targets
	for _, t := range w.targets {
		if t.Service != c.Service || left == 0 {
			continue
		}
		left--
		t.down, t.running, t.waiting = down, false, nil
		t.results, t.used = map[string]int64{}, 0
		t.start++
		t.Incarnation = int64(t.start)
	}
	w.announce()
}

// startCall takes a call at its target, where it may wait or find no place.
func (w *world) startCall(planner int, a dispatch.StartCall) {
	t := w.byID[a.Target.ID]
	p := w.planners[planner]
	w.report.Calls++
	if t.down || t.running && len(t.waiting) >= t.batch.MaxQueued {
		w.report.Full++
		w.at(w.now+time.Millisecond, func() { w.perform(planner, p.CallFailed(w.time(), a.Call, dispatch.Full)) })
		return
	}
	run := func() { w.runCall(planner, t, a) }
	if t.running {
		t.waiting = append(t.waiting, run)
		return
	}
	run()
}

func (w *world) runCall(planner int, t *target, a dispatch.StartCall) {
	t.running = true
	start := t.start
	results := make([]dispatch.Result, len(a.Pieces))
	took := t.batch.CallTime
	worked := false
	for i, piece := range a.Pieces {
		r := w.requests[piece.Job]
		bytes := r.class.Stages[piece.Stage].Bytes
		switch {
		case !w.inputsThere(piece):
			results[i].Failure = dispatch.InputGone
		case t.batch.ResultMemoryBytes > 0 && t.used+bytes > t.batch.ResultMemoryBytes:
			results[i].Failure = dispatch.NoRoom
			w.report.NoRoom++
		default:
			t.made++
			handle := fmt.Sprintf("%s/%d", t.ID, t.made)
			results[i].Handle = handle
			t.results[handle] = bytes
			w.byHandle[handle] = t
			t.used += bytes
			work := r.class.Stages[piece.Stage].Work
			if work == 0 {
				work = 1
			}
			took += time.Duration(work * float64(t.batch.PieceTime))
			w.countAcross(t, piece.Inputs)
			worked = true
		}
	}
	if !worked {
		took = 5 * time.Millisecond
	}
	w.report.Pieces += len(a.Pieces)
	w.report.StageTime += took
	for _, piece := range a.Pieces {
		w.requests[piece.Job].spent += took / time.Duration(len(a.Pieces))
	}
	w.at(w.now+took, func() {
		if t.start != start {
			w.perform(planner, w.planners[planner].CallFailed(w.time(), a.Call, dispatch.Lost))
			return
		}
		t.running = false
		w.keep(t, results)
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			next()
		}
		w.perform(planner, w.planners[planner].CallEnded(w.time(), a.Call, results))
	})
}

// keep makes results vanish at the end of their life.
func (w *world) keep(t *target, results []dispatch.Result) {
	for _, r := range results {
		if r.Handle != "" && t.batch.ResultLifetime > 0 {
			w.at(w.now+t.batch.ResultLifetime, func() { t.drop(r.Handle) })
		}
	}
}

func (t *target) drop(handle string) {
	t.used -= t.results[handle]
	delete(t.results, handle)
}

// countAcross counts the inputs that a target fetches from other data centres.
func (w *world) countAcross(t *target, inputs []string) {
	for _, handle := range inputs {
		if from := w.byHandle[handle]; from != nil && from.DataCentre != t.DataCentre {
			w.report.BytesAcross += from.results[handle]
		}
	}
}

func (w *world) inputsThere(p dispatch.Piece) bool {
	for _, handle := range p.Inputs {
		if !w.resultThere(handle) {
			return false
		}
	}
	return true
}

func (w *world) resultThere(handle string) bool {
	t := w.byHandle[handle]
	if t == nil {
		return false
	}
	_, ok := t.results[handle]
	return ok
}

func (w *world) free(a dispatch.FreeResults) {
	t := w.byID[a.Target.ID]
	for _, handle := range a.Handles {
		t.drop(handle)
	}
}

func (w *world) generation(r *request, bytesIn map[string]int64) placement.Request {
	return placement.Request{
		ID:           r.id,
		Service:      r.class.Engine,
		PromptTokens: r.tokens,
		Parts:        r.parts,
		InputBytes:   bytesIn,
		DataCentre:   r.home,
	}
}

// generate runs the request at an engine, up to its first token.
func (w *world) generate(planner int, a dispatch.Finish) {
	r := w.requests[a.Job]
	chosen, ok := w.boards[planner].Choose(w.time(), w.generation(r, a.InputBytes))
	if !ok {
		w.end(r, false)
		return
	}
	for dataCentre, bytes := range a.InputBytes {
		if dataCentre != chosen.DataCentre {
			w.report.BytesAcross += bytes
		}
	}
	e := w.engines[chosen.ID]
	unread := r.tokens
	for _, part := range r.parts {
		if e.known[part.ID] {
			unread -= part.Tokens
		}
		e.known[part.ID] = true
	}
	w.report.TokensRead += unread
	reading := time.Duration(float64(unread) / w.site.ReadTokensPerMillisecond * float64(time.Millisecond))
	e.freeAt = max(e.freeAt, w.now) + reading
	w.at(e.freeAt+w.site.FirstToken, func() {
		w.boards[planner].Remove(r.id)
		w.perform(planner, w.planners[planner].Withdraw(w.time(), r.id))
		w.end(r, w.now-r.arrived <= r.class.Deadline)
	})
}
