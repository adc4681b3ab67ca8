package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// EngineSite is a service of engines of different speeds, whose machines are those of NeighbourMachine.
type EngineSite struct {
	// Speeds are the speeds of the engines. An engine of speed 1 reads 60 tokens of a prompt per millisecond, one prompt
	// at a time, and sends an event of each of its answers every 20 ms.
	Speeds []float64
	// Interval is the mean time between two requests.
	Interval time.Duration
	// FirstEventIn and MaxGap are the objectives of all requests.
	FirstEventIn, MaxGap time.Duration
	// Paced is set if engines report their pace with the start of an answer.
	Paced bool
	// Duration is the simulated time.
	Duration time.Duration
}

// EngineReport is the outcome of the simulation of an EngineSite.
type EngineReport struct {
	// Chosen are the engines of the requests, in the order of their arrival.
	Chosen []string
	// FirstEvents are the times to the first event, sorted.
	FirstEvents []time.Duration
	// Met is the share of answers that met both objectives.
	Met float64
}

// engineSlots is the number of requests that an engine of an EngineSite runs at a time, eventsPerAnswer the number of
// events of an answer.
const (
	engineSlots     = 8
	eventsPerAnswer = 50
	eventInterval   = 20 * time.Millisecond
	engineStep      = 5 * time.Millisecond
)

// pacedEngine is a simulated engine.
type pacedEngine struct {
	placement.Engine
	speed   float64
	machine *Machine
	prompts []*generation
	streams []*generation
}

// generation is a request at an engine.
type generation struct {
	id             string
	sentAt, lastAt time.Time
	// unread is the number of tokens to read, progress the part of the next event that is done, from 0 to 1.
	unread, progress float64
	firstEvent       time.Duration
	gaps             []time.Duration
}

// RunEngines simulates the site from the time on with the reports of a table, which may be nil if the site isn't paced.
func RunEngines(site EngineSite, loads *targetload.Table, start time.Time, seed uint64) EngineReport {
	random := rand.New(rand.NewPCG(seed, 2))
	s := placement.New()
	s.Loads = loads
	s.SetServices(map[string]service.Service{"llm": {Name: "llm", Engine: &service.Engine{Slots: engineSlots}}})
	var engines []*pacedEngine
	var list []placement.Engine
	for i, speed := range site.Speeds {
		e := placement.Engine{ID: fmt.Sprintf("e-%d", i), Service: "llm", Incarnation: 1}
		list = append(list, e)
		engines = append(engines, &pacedEngine{Engine: e, speed: speed, machine: NeighbourMachine(rand.New(rand.NewPCG(seed, uint64(10+i))))})
	}
	s.SetEngines(start, list)
	var report EngineReport
	met, next := 0, start
	for now := start; now.Sub(start) < site.Duration; now = now.Add(engineStep) {
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() * float64(site.Interval))) {
			r := placement.Request{ID: fmt.Sprint(len(report.Chosen)), Service: "llm", PromptTokens: 4000 + random.IntN(12000), FirstEventBy: now.Add(site.FirstEventIn), MaxGap: site.MaxGap}
			chosen, _ := s.Choose(now, r)
			report.Chosen = append(report.Chosen, chosen.ID)
			e := engines[slices.IndexFunc(engines, func(e *pacedEngine) bool { return e.ID == chosen.ID })]
			e.prompts = append(e.prompts, &generation{id: r.ID, sentAt: now, unread: float64(r.PromptTokens)})
		}
		for _, e := range engines {
			pace := e.machine.Pace(now)
			if g := e.read(now, pace); g != nil {
				if site.Paced {
					loads.Record(targetload.Report{Target: e.ID, Incarnation: 1, Service: "llm", ObservedAt: now, Load: targetload.Load{Pace: pace}})
				}
				s.PromptRead(g.id)
			}
			for _, g := range e.stream(now, pace) {
				report.FirstEvents = append(report.FirstEvents, g.firstEvent)
				if slices.Sort(g.gaps); g.firstEvent <= site.FirstEventIn && g.gaps[len(g.gaps)-1] <= site.MaxGap {
					met++
				}
				s.Learn(g.id, g.firstEvent, g.gaps[len(g.gaps)/2])
				s.Remove(g.id)
			}
		}
	}
	slices.Sort(report.FirstEvents)
	report.Met = float64(met) / float64(len(report.FirstEvents))
	return report
}

// read reads the first prompt for a step, and returns its request if that is done.
func (e *pacedEngine) read(now time.Time, pace float64) *generation {
	if len(e.prompts) == 0 {
		return nil
	}
	g := e.prompts[0]
	if g.unread -= 60 * e.speed / pace * float64(engineStep.Milliseconds()); g.unread > 0 {
		return nil
	}
	e.prompts = e.prompts[1:]
	e.streams = append(e.streams, g)
	g.firstEvent, g.lastAt = now.Sub(g.sentAt), now
	return g
}

// stream advances the answers by a step and returns those that are complete.
func (e *pacedEngine) stream(now time.Time, pace float64) (complete []*generation) {
	e.streams = slices.DeleteFunc(e.streams, func(g *generation) bool {
		if g.progress += e.speed / pace * float64(engineStep) / float64(eventInterval); g.progress < 1 {
			return false
		}
		g.progress--
		g.gaps = append(g.gaps, now.Sub(g.lastAt))
		g.lastAt = now
		if len(g.gaps) < eventsPerAnswer {
			return false
		}
		complete = append(complete, g)
		return true
	})
	return complete
}
