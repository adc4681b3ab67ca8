// Package placement chooses the engine for a generation. It does no I/O.
//
// The load that it answers: many generations share long parts of their prompts, an engine
// that has read a part needn't read it again, engines forget the parts used least lately,
// and the inputs of a generation are cheap to fetch only inside their data centre. Spread
// evenly, every engine reads every part; sent always to the engine that knows the part, a
// popular part overloads its engine. The choice weighs the time to the first token, the
// reading that others have done already, and the bytes between data centres against each
// other.
//
// # Usage
//
//	b := placement.New()
//	b.SetEngines(now, engines)
//	e, ok := b.Choose(now, request)
//	b.Ended(request.ID)
package placement

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/pace"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Engine is an engine as the board sees it.
type Engine struct {
	ID          string
	Service     string
	Address     string
	DataCentre  string
	Incarnation int64
	// Closed says that no new request may go to the engine.
	Closed bool
	// Cold says that the engine has started lately and is slower.
	Cold bool
	// ColdPerSecond is the rate of requests that the engine bears while it is cold; 0 means
	// without bound.
	ColdPerSecond float64
	// Suspect says that the engine failed lately.
	Suspect bool
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Request is a generation that needs an engine.
type Request struct {
	ID           string
	Service      string
	Model        string
	PromptTokens int
	OutputTokens int
	Parts        []Part
	// InputBytes is the size of the inputs by data centre.
	InputBytes map[string]int64
	// DataCentre is where the daemon is that holds the client.
	DataCentre string
	// Exclude are the engines that the request was sent to before.
	Exclude map[string]bool
}

const (
	// readTokensPerMillisecond is the speed at which engines read prompts, a typical one; it
	// only weighs reading against the other costs.
	readTokensPerMillisecond = 60.0
	// runningMillis is the delay that each running request adds to another's first token.
	runningMillis = 4.0
	// againMillisPerToken weighs reading what another engine has read already.
	againMillisPerToken = 0.04
	// crossingMillisPerByte weighs the bytes of inputs from other data centres.
	crossingMillisPerByte = 40.0 / 1e6
	// awayMillis weighs an engine in another data centre than the client's daemon.
	awayMillis = 2.0
	// suspectMillis and coldMillis keep requests away from such engines while others live.
	suspectMillis = 3000.0
	coldMillis    = 1500.0
	// fullMillis is added for each request beyond the slots of an engine.
	fullMillis = 400.0
)

// Selector is what is known of all engines; New makes one.
type Selector struct {
	engines  map[string]*engine
	running  map[string]*engine
	requests map[string]Request
	services map[string]service.Engine
	// seen holds the parts that any engine has read, with the time of their last use.
	seen map[string]time.Time
	// CacheLifetime is the time for which a part counts as read after its last use.
	CacheLifetime time.Duration
}

type engine struct {
	Engine
	running map[string]bool
	// reading is the number of prompt tokens of requests that haven't begun to answer.
	reading map[string]int
	cache   cache
	// cold bounds the requests while the engine is cold.
	cold pace.Limiter
}

// coldRate is the rate that bounds the requests to the engine now; 0 means none does.
func (e *engine) coldRate() float64 {
	if !e.Cold {
		return 0
	}
	return e.ColdPerSecond
}

// New returns an empty board.
func New() *Selector {
	return &Selector{
		engines:       map[string]*engine{},
		running:       map[string]*engine{},
		requests:      map[string]Request{},
		services:      map[string]service.Engine{},
		seen:          map[string]time.Time{},
		CacheLifetime: 10 * time.Second,
	}
}

// SetServices sets what the engines of each service can take.
func (b *Selector) SetServices(services map[string]service.Service) {
	for name, s := range services {
		if s.Engine != nil {
			b.services[name] = *s.Engine
		}
	}
}

// SetEngines sets the engines; those that are missing are gone.
func (b *Selector) SetEngines(now time.Time, engines []Engine) {
	present := map[string]bool{}
	for _, e := range engines {
		present[e.ID] = true
		state := b.engines[e.ID]
		if state == nil || state.Incarnation != e.Incarnation {
			state = &engine{running: map[string]bool{}, reading: map[string]int{}}
			b.engines[e.ID] = state
		}
		state.Engine = e
		state.cache.limit = b.services[e.Service].CacheTokens
		state.cold.SetRate(now, state.coldRate(), 0)
	}
	for id := range b.engines {
		if !present[id] {
			delete(b.engines, id)
		}
	}
}

// Choose returns the engine for the request and counts it as sent there.
func (b *Selector) Choose(now time.Time, r Request) (Engine, bool) {
	b.forget(r.ID)
	best := b.best(now, r)
	if best == nil {
		return Engine{}, false
	}
	b.put(now, r, best)
	best.cold.RecordSend(now)
	return best.Engine, true
}

// HeldByColdRate reports whether the request has an engine that only the rate of cold
// engines holds back.
func (b *Selector) HeldByColdRate(now time.Time, r Request) bool {
	for _, e := range b.engines {
		if e.takes(r) && !e.cold.Allows(now) {
			return true
		}
	}
	return false
}

// takes reports whether the request may go to the engine at all.
func (e *engine) takes(r Request) bool {
	return e.Service == r.Service && !e.Closed && !r.Exclude[e.ID]
}

// put counts the request as sent to the engine.
func (b *Selector) put(now time.Time, r Request, e *engine) {
	e.running[r.ID] = true
	e.reading[r.ID] = r.PromptTokens - e.cache.known(r.Model, r.Parts)
	e.cache.add(r.Model, r.Parts)
	b.running[r.ID] = e
	b.requests[r.ID] = r
	for _, part := range r.Parts {
		b.seen[partKey(r.Model, part.ID)] = now
	}
	b.trimSeen(now)
}

// RecordAssignment counts a request as sent to an engine that was chosen elsewhere.
func (b *Selector) RecordAssignment(now time.Time, r Request, id string, began bool) {
	b.forget(r.ID)
	e := b.engines[id]
	if e == nil {
		return
	}
	b.put(now, r, e)
	if began {
		b.PromptRead(r.ID)
	}
}

// PreferredDataCentre returns the data centre of the engine that the request would go to now.
func (b *Selector) PreferredDataCentre(now time.Time, r Request) (string, bool) {
	best := b.best(now, r)
	if best == nil {
		return "", false
	}
	return best.DataCentre, true
}

func (b *Selector) best(now time.Time, r Request) *engine {
	var best *engine
	var lowest float64
	for _, e := range b.engines {
		if !e.takes(r) || !e.cold.Allows(now) {
			continue
		}
		cost := b.cost(now, e, r)
		if best == nil || cost < lowest || cost == lowest && e.ID < best.ID {
			best, lowest = e, cost
		}
	}
	return best
}

// cost is the weight against an engine in milliseconds of the time to the first token.
func (b *Selector) cost(now time.Time, e *engine, r Request) float64 {
	known := e.cache.known(r.Model, r.Parts)
	unread := r.PromptTokens - known
	pending := unread
	for _, tokens := range e.reading {
		pending += tokens
	}
	cost := float64(pending)/readTokensPerMillisecond + float64(len(e.running))*runningMillis
	cost += float64(b.readElsewhere(now, r)-known) * againMillisPerToken
	for dataCentre, bytes := range r.InputBytes {
		if dataCentre != e.DataCentre {
			cost += float64(bytes) * crossingMillisPerByte
		}
	}
	if r.DataCentre != e.DataCentre {
		cost += awayMillis
	}
	if e.Suspect {
		cost += suspectMillis
	}
	if e.Cold {
		cost += coldMillis
	}
	if over := len(e.running) + 1 - b.services[e.Service].Slots; over > 0 {
		cost += float64(over) * fullMillis
	}
	return cost
}

// readElsewhere is the number of tokens at the start of the prompt that some engine has
// read lately.
func (b *Selector) readElsewhere(now time.Time, r Request) int {
	tokens := 0
	for _, part := range r.Parts {
		last, ok := b.seen[partKey(r.Model, part.ID)]
		if !ok || now.Sub(last) > b.CacheLifetime {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// maxSeen bounds the parts that are remembered.
const maxSeen = 20000

func (b *Selector) trimSeen(now time.Time) {
	if len(b.seen) < maxSeen {
		return
	}
	for key, last := range b.seen {
		if now.Sub(last) > b.CacheLifetime {
			delete(b.seen, key)
		}
	}
}

// PromptRead says that the engine has read the prompt of the request.
func (b *Selector) PromptRead(id string) {
	if e := b.running[id]; e != nil {
		delete(e.reading, id)
	}
}

// Remove says that the request is over.
func (b *Selector) Remove(id string) {
	b.forget(id)
}

func (b *Selector) forget(id string) {
	e := b.running[id]
	if e == nil {
		return
	}
	delete(e.running, id)
	delete(e.reading, id)
	delete(b.running, id)
	delete(b.requests, id)
}

func partKey(model, id string) string { return model + "/" + id }

// cache is a model of the parts that an engine keeps, the least recently used go first.
type cache struct {
	limit  int
	tokens int
	// order holds the keys from the least to the most recently used.
	order []string
	parts map[string]int
}

// known is the number of tokens at the start of the prompt that the engine keeps.
func (c *cache) known(model string, parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if _, ok := c.parts[partKey(model, part.ID)]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

func (c *cache) add(model string, parts []Part) {
	if c.parts == nil {
		c.parts = map[string]int{}
	}
	for _, part := range parts {
		c.use(partKey(model, part.ID), part.Tokens)
	}
	for c.limit > 0 && c.tokens > c.limit && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.tokens -= c.parts[oldest]
		delete(c.parts, oldest)
	}
}

func (c *cache) use(key string, tokens int) {
	if old, ok := c.parts[key]; ok {
		c.tokens -= old
		for i, k := range c.order {
			if k == key {
				c.order = append(c.order[:i], c.order[i+1:]...)
				break
			}
		}
	}
	c.parts[key] = tokens
	c.tokens += tokens
	c.order = append(c.order, key)
}
