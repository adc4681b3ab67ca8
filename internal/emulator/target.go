package emulator

import (
	"fmt"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// target is a simulated stage target.
type target struct {
	dispatch.Target
	batch service.Batch
	// running is set while a call runs.
	running bool
	// waiting holds the functions that run the queued calls.
	waiting []func()
	// results maps the handles of the stored results to their sizes in bytes.
	results   map[string]int64
	usedBytes int64
	// resultCount counts all results so far. It makes handles unique.
	resultCount int
	down        bool
	// transitions counts the crashes and the restarts. A call that began before the latest one
	// is lost.
	transitions int
}

// engine is a simulated model engine. It reads one prompt at a time.
type engine struct {
	placement.Engine
	// freeAt is the simulated time at which the engine has read all prompts assigned to it.
	freeAt time.Duration
	// slots holds the times at which the slots that answers with OutputTokens occupy are free
	// again; it is empty if they aren't limited.
	slots []time.Duration
	// cachedParts holds the IDs of the prompt parts that the engine has read. The simulation
	// evicts none.
	cachedParts map[string]bool
}

// makeTargets creates the stage targets and the engines of the site.
func (s *simulation) makeTargets() {
	for name, counts := range s.site.Targets {
		svc := s.site.Services[name]
		for d, count := range counts {
			for i := range count {
				id := fmt.Sprintf("%s-%d-%d", name, d, i)
				if svc.Batch == nil {
					s.engines[id] = &engine{
						Engine:      placement.Engine{ID: id, Service: name, Address: id, DataCentre: s.site.DataCentres[d]},
						cachedParts: map[string]bool{},
						slots:       make([]time.Duration, slotCount(svc)),
					}
					continue
				}
				t := &target{
					Target:  dispatch.Target{ID: id, Service: name, Address: id, DataCentre: s.site.DataCentres[d]},
					batch:   *svc.Batch,
					results: map[string]int64{},
				}
				s.targets = append(s.targets, t)
				s.targetByID[id] = t
			}
		}
	}
}

// slotCount returns the number of slots of an engine of the service, 0 if they aren't limited.
func slotCount(svc service.Service) int {
	if svc.Engine == nil {
		return 0
	}
	return svc.Engine.Slots
}

// occupySlot returns the time, from start on, at which the engine can begin a prompt, and occupies a slot
// from then on for the given time. Answers without OutputTokens need no slot.
func (e *engine) occupySlot(start, reading, answering time.Duration) time.Duration {
	if len(e.slots) == 0 || answering == 0 {
		return start
	}
	first := 0
	for i := range e.slots {
		if e.slots[i] < e.slots[first] {
			first = i
		}
	}
	start = max(start, e.slots[first])
	e.slots[first] = start + reading + answering
	return start
}

// publishTargets passes the running targets and the engines to every planner and selector.
func (s *simulation) publishTargets() {
	var targets []dispatch.Target
	for _, t := range s.targets {
		if !t.down {
			targets = append(targets, t.Target)
		}
	}
	var engines []placement.Engine
	for _, e := range s.engines {
		engines = append(engines, e.Engine)
	}
	for i, p := range s.planners {
		s.selectors[i].SetEngines(s.time(), engines)
		s.perform(i, p.SetTargets(s.time(), targets))
	}
}

// scheduleCrashes schedules the start and the end of each crash.
func (s *simulation) scheduleCrashes() {
	for _, c := range s.site.Crashes {
		s.schedule(c.Start, func() { s.setCrashed(c, true) })
		s.schedule(c.Start+c.Duration, func() { s.setCrashed(c, false) })
	}
}

// setCrashed stops the targets of a crash, or starts them again, without results and under a new
// incarnation. An incarnation identifies one start of a target.
func (s *simulation) setCrashed(c Crash, down bool) {
	remaining := c.Targets
	for _, t := range s.targets {
		if t.Service != c.Service || remaining == 0 {
			continue
		}
		remaining--
		t.down, t.running, t.waiting = down, false, nil
		t.results, t.usedBytes = map[string]int64{}, 0
		t.transitions++
		t.Incarnation = int64(t.transitions)
	}
	s.publishTargets()
}

// startCall runs a call at its target or queues it there. If the target is down or its queue is
// full, the call fails with dispatch.Full after a millisecond.
func (s *simulation) startCall(planner int, a dispatch.StartCall) {
	t := s.targetByID[a.Target.ID]
	p := s.planners[planner]
	s.report.Calls++
	if t.down || t.running && len(t.waiting) >= t.batch.MaxQueued {
		s.report.FullCalls++
		s.schedule(s.now+time.Millisecond, func() { s.perform(planner, p.CallFailed(s.time(), a.Call, dispatch.Full)) })
		return
	}
	run := func() { s.runCall(planner, t, a) }
	if t.running {
		t.waiting = append(t.waiting, run)
		return
	}
	run()
}

// runCall runs a call. Its results occupy memory from the start of the call, and their lifetime
// begins at its end. The call is lost if the target crashes meanwhile.
func (s *simulation) runCall(planner int, t *target, a dispatch.StartCall) {
	t.running = true
	transitions := t.transitions
	results := make([]dispatch.Result, len(a.Pieces))
	duration := t.batch.CallTime
	anyComputed := false
	for i, piece := range a.Pieces {
		r := s.requests[piece.Job]
		bytes := r.class.Stages[piece.Stage].ResultBytes
		switch {
		case !s.inputsExist(piece):
			results[i].Failure = dispatch.InputGone
		case t.batch.ResultMemoryBytes > 0 && t.usedBytes+bytes > t.batch.ResultMemoryBytes:
			results[i].Failure = dispatch.NoRoom
			s.report.NoMemoryPieces++
		default:
			t.resultCount++
			handle := fmt.Sprintf("%s/%d", t.ID, t.resultCount)
			results[i].Handle = handle
			t.results[handle] = bytes
			s.producerByHandle[handle] = t
			t.usedBytes += bytes
			work := r.class.Stages[piece.Stage].WorkFactor
			if work == 0 {
				work = 1
			}
			duration += time.Duration(work * float64(t.batch.PieceTime))
			s.countTransfers(t, piece.Inputs)
			anyComputed = true
		}
	}
	if !anyComputed {
		duration = 5 * time.Millisecond // the target returns early without work
	}
	s.report.Pieces += len(a.Pieces)
	s.report.StageTime += duration
	for _, piece := range a.Pieces {
		s.requests[piece.Job].stageTime += duration / time.Duration(len(a.Pieces))
	}
	s.schedule(s.now+duration, func() {
		if t.transitions != transitions {
			s.perform(planner, s.planners[planner].CallFailed(s.time(), a.Call, dispatch.Lost))
			return
		}
		t.running = false
		s.scheduleExpiry(t, results)
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			next()
		}
		s.perform(planner, s.planners[planner].CallEnded(s.time(), a.Call, results))
	})
}

// scheduleExpiry frees results at the end of their lifetime.
func (s *simulation) scheduleExpiry(t *target, results []dispatch.Result) {
	for _, r := range results {
		if r.Handle != "" && t.batch.ResultLifetime > 0 {
			s.schedule(s.now+t.batch.ResultLifetime, func() { t.freeResult(r.Handle) })
		}
	}
}

// freeResult removes a result from memory. It does nothing if the target has no such result.
func (t *target) freeResult(handle string) {
	t.usedBytes -= t.results[handle]
	delete(t.results, handle)
}

// countTransfers adds the inputs that a target fetches from other data centres to the report.
func (s *simulation) countTransfers(t *target, inputs []string) {
	for _, handle := range inputs {
		if from := s.producerByHandle[handle]; from != nil && from.DataCentre != t.DataCentre {
			s.report.TransferredBytes += from.results[handle]
		}
	}
}

// inputsExist reports whether the results that are the inputs of a piece are still stored.
func (s *simulation) inputsExist(p dispatch.Piece) bool {
	for _, handle := range p.Inputs {
		if !s.resultExists(handle) {
			return false
		}
	}
	return true
}

func (s *simulation) resultExists(handle string) bool {
	t := s.producerByHandle[handle]
	if t == nil {
		return false
	}
	_, ok := t.results[handle]
	return ok
}

func (s *simulation) freeResults(a dispatch.FreeResults) {
	t := s.targetByID[a.Target.ID]
	for _, handle := range a.Handles {
		t.freeResult(handle)
	}
}

// placementRequest returns the request to a selector for the generation of r. inputBytes holds the
// sizes of the generation's inputs by data centre, nil if they aren't known yet.
func (s *simulation) placementRequest(r *request, inputBytes map[string]int64) placement.Request {
	return placement.Request{
		ID:           r.id,
		Service:      r.class.Engine,
		PromptTokens: r.promptTokens,
		Parts:        r.parts,
		InputBytes:   inputBytes,
		DataCentre:   r.dataCentre,
	}
}

// runEngine runs the generation of a request at the engine that the planner's selector chooses,
// up to its first token. Without an engine the request ends without an answer.
func (s *simulation) runEngine(planner int, a dispatch.Finish) {
	r := s.requests[a.Job]
	chosen, ok := s.selectors[planner].Choose(s.time(), s.placementRequest(r, a.InputBytes))
	if !ok {
		s.finish(r, false)
		return
	}
	for dataCentre, bytes := range a.InputBytes {
		if dataCentre != chosen.DataCentre {
			s.report.TransferredBytes += bytes
		}
	}
	e := s.engines[chosen.ID]
	unread := r.promptTokens
	for _, part := range r.parts {
		if e.cachedParts[part.ID] {
			unread -= part.Tokens
		}
		e.cachedParts[part.ID] = true
	}
	s.report.PromptTokensRead += unread
	reading := time.Duration(float64(unread) / s.site.ReadTokensPerMillisecond * float64(time.Millisecond))
	e.freeAt = e.occupySlot(max(e.freeAt, s.now), reading, time.Duration(r.class.OutputTokens)*s.site.OutputTokenTime) + reading
	s.schedule(e.freeAt+s.site.FirstTokenTime, func() {
		s.selectors[planner].Remove(r.id)
		s.perform(planner, s.planners[planner].Withdraw(s.time(), r.id))
		s.finish(r, s.now-r.arrived <= r.class.Deadline)
	})
}
