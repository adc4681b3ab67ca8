// Package placement selects the engine for a generation. It does no I/O.
//
// An engine is a target that generates the answer to a request. It first reads the prompt (the
// prefill) and then generates tokens.
//
// Many generations share long parts of their prompts. An engine that has read a part needn't
// read it again while it is cached, engines evict the least recently used parts, and the
// inputs of a generation are cheap to fetch only inside their data centre. If requests are spread
// evenly, every engine reads every part. If they always go to the engine that has their part
// cached, a popular part overloads its engine. So the selection weighs the time to the first
// token, the repeated reading of parts that another engine has cached, and the bytes between data
// centres against each other.
//
// # Usage
//
//	s := placement.New()
//	s.SetServices(services)
//	s.SetEngines(now, engines)
//	e, ok := s.Choose(now, request)
//	s.Remove(request.ID)
package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/pace"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
	"github.com/sequoiapick/sequoiapick/internal/targetmemory"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Engine describes an engine.
type Engine struct {
	ID      string
	Service string
	// Address has the form IP:port.
	Address    string
	DataCentre string
	// Incarnation distinguishes two starts of an engine under one ID.
	Incarnation int64
	// Closed is set if the engine gets no new requests.
	Closed bool
	// Cold is set if the engine was started recently and is slower.
	Cold bool
	// ColdPerSecond is the rate of requests that the engine can handle while it is cold; 0
	// means unlimited.
	ColdPerSecond float64
	// Suspect is set if the engine failed recently. It is chosen only if the others are
	// overloaded.
	Suspect bool
	// Version is the version of the engine's software.
	Version string
	// Canary is set if the engine gets the granted requests of a rollout.
	Canary bool
}

// Part is one part of a prompt. Prompts share a part if its ID is equal. An engine can reuse a
// cached part only if it has cached all parts before it as well.
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
	// Parts are the parts at the start of the prompt, in their order. Their tokens are included
	// in PromptTokens.
	Parts []Part
	// InputBytes is the size of the inputs in bytes by data centre.
	InputBytes map[string]int64
	// DataCentre is that of the daemon that holds the client connection.
	DataCentre string
	// Exclude holds the IDs of the engines that the request was sent to before.
	Exclude map[string]bool
	// Host is the host of that daemon.
	Host string
	// FirstEventBy is the latency objective: until when the first event should arrive; zero if there is none.
	// MaxGap is the objective for the longest pause between two events; 0 if there is none. Both count only for
	// services whose engines report their pace.
	FirstEventBy time.Time
	MaxGap       time.Duration
	// Versions restricts the engines by their version.
	Versions Versions
}

// The parameters of the cost of an engine for a request. Costs are in milliseconds of time to the
// first token; those that aren't a delay are weighted as one.
const (
	// promptTokensPerMillisecond is the typical speed at which engines read prompts. It only
	// weighs reading against the other costs.
	promptTokensPerMillisecond = 60.0
	// perRunningRequestMillis is the delay that each running request adds to the first token
	// of another.
	perRunningRequestMillis = 4.0
	// rereadMillisPerToken is the cost of reading tokens that another engine has cached.
	rereadMillisPerToken = 0.04
	// crossDataCentreMillisPerByte is the cost of fetching inputs from other data centres.
	crossDataCentreMillisPerByte = 40.0 / 1e6
	// remoteMillis is the cost of an engine outside the data centre of the client's daemon.
	remoteMillis = 2.0
	// suspectMillis and coldMillis are the costs of an engine with Suspect or Cold set. They
	// are large enough to prefer any other engine unless that is overloaded.
	suspectMillis = 3000.0
	coldMillis    = 1500.0
	// perExcessRequestMillis is the cost of each request beyond the slots of an engine.
	perExcessRequestMillis = 400.0
)

// Selector holds the state of all engines as far as it is known. Use New to create one. It
// isn't safe for concurrent use.
type Selector struct {
	engines map[string]*engine
	// byService holds the engines of each service, sorted by ID.
	byService       map[string][]*engine
	engineByRequest map[string]*engine
	requests        map[string]Request
	services        map[string]service.Engine
	// lastUse holds the time of the last use of each part that any engine has read, by
	// partKey.
	lastUse map[string]time.Time
	holds   holds
	// Loads holds what engines report, nil if nothing is known.
	Loads *targetload.Table
	// CacheLifetime is the time after its last use for which a part counts as cached by some
	// engine. New sets 10 s.
	CacheLifetime time.Duration
	// Limits holds the rate limits that engines name, nil if none are heeded.
	Limits *targetlimit.Table
	// Memory counts the tokens that engines hold for requests; nil counts none.
	Memory *targetmemory.Tracker
}

// engine is the state of one engine.
type engine struct {
	Engine
	// running holds the IDs of the requests that were sent to the engine and aren't over.
	running map[string]bool
	// unreadTokens holds the number of prompt tokens that the engine must still read, by the
	// request's ID.
	unreadTokens map[string]int
	// unreadSum is the sum of unreadTokens.
	unreadSum int
	// cache is the assumed content of the engine's cache; the engine doesn't report it.
	cache cache
	// prompts holds the prompts whose first event is awaited, by the request's ID.
	prompts map[string]prompt
	// coldLimiter limits the rate of requests while the engine is cold.
	coldLimiter pace.Limiter
}

// coldRate returns the present rate limit in requests per second; 0 means unlimited.
func (e *engine) coldRate() float64 {
	if !e.Cold {
		return 0
	}
	return e.ColdPerSecond
}

// New returns a selector without services and engines.
func New() *Selector {
	return &Selector{
		engines:         map[string]*engine{},
		byService:       map[string][]*engine{},
		engineByRequest: map[string]*engine{},
		requests:        map[string]Request{},
		services:        map[string]service.Engine{},
		lastUse:         map[string]time.Time{},
		CacheLifetime:   10 * time.Second,
	}
}

// SetServices sets the engine parameters of each service. SetEngines, which sets the sizes of the
// engines' caches from them, must follow.
func (s *Selector) SetServices(services map[string]service.Service) {
	for name, sv := range services {
		if sv.Engine != nil {
			s.services[name] = *sv.Engine
		}
	}
}

// SetEngines sets the engines. Engines that are missing from the list are removed.
func (s *Selector) SetEngines(now time.Time, engines []Engine) {
	present := map[string]bool{}
	for _, e := range engines {
		present[e.ID] = true
		state := s.engines[e.ID]
		if state == nil || state.Incarnation != e.Incarnation {
			state = &engine{running: map[string]bool{}, unreadTokens: map[string]int{}, prompts: map[string]prompt{}}
			s.engines[e.ID] = state
		}
		state.Engine = e
		state.cache.maxTokens = s.services[e.Service].CacheTokens
		state.coldLimiter.SetRate(now, state.coldRate(), 0)
	}
	for id := range s.engines {
		if !present[id] {
			delete(s.engines, id)
		}
	}
	s.groupEngines()
	s.listEngines(now)
}

// groupEngines sets byService.
func (s *Selector) groupEngines() {
	clear(s.byService)
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[id]
		s.byService[e.Service] = append(s.byService[e.Service], e)
	}
}

// Choose returns the engine with the lowest cost and records that the request is sent there.
// It returns false if no engine accepts the request, or the rate limits of engines hold it.
func (s *Selector) Choose(now time.Time, r Request) (Engine, bool) {
	s.removeRequest(r.ID)
	cheapest := s.cheapest(now, r)
	if cheapest == nil {
		return Engine{}, false
	}
	s.record(now, r, cheapest)
	s.recordSend(now, cheapest)
	return cheapest.Engine, true
}

// accepts reports whether the request may be sent to the engine, apart from its rate limits.
func (s *Selector) accepts(now time.Time, e *engine, r Request) bool {
	return e.serves(r) && !now.Before(s.holds.until(r.Host, e)) && s.Memory.Fits(now, e.Service, e.ID, heldTokens(r))
}

// serves reports whether the request may be sent to the engine, apart from its rate limits and holds.
func (e *engine) serves(r Request) bool {
	return e.Service == r.Service && !e.Closed && !r.Exclude[e.ID] && r.Versions.allow(e.Engine)
}

// record records that the request is sent to the engine.
func (s *Selector) record(now time.Time, r Request, e *engine) {
	keys := partKeys(r)
	s.Memory.Add(now, e.ID, heldTokens(r))
	unread := r.PromptTokens - e.cache.cachedTokens(keys, r.Parts)
	e.prompts[r.ID] = prompt{tokens: promptWork(unread+e.unreadSum, len(e.running))}
	e.running[r.ID] = true
	e.unreadTokens[r.ID] = unread
	e.unreadSum += unread
	e.cache.add(keys, r.Parts)
	s.engineByRequest[r.ID] = e
	s.requests[r.ID] = r
	for _, key := range keys {
		s.lastUse[key] = now
	}
	s.trimLastUse(now)
}

// RecordAssignment records that a request was sent to the engine with this ID, which another
// selector chose. An unknown engine is ignored.
// Started is whether the engine has started to answer.
func (s *Selector) RecordAssignment(now time.Time, r Request, id string, started bool) {
	s.removeRequest(r.ID)
	e := s.engines[id]
	if e == nil {
		return
	}
	s.record(now, r, e)
	if started {
		s.PromptRead(r.ID)
	}
}

// PreferredDataCentre returns the data centre of the engine that Choose would return now, and
// false if there is none.
func (s *Selector) PreferredDataCentre(now time.Time, r Request) (string, bool) {
	cheapest := s.cheapest(now, r)
	if cheapest == nil {
		return "", false
	}
	return cheapest.DataCentre, true
}

// cheapest returns the engine with the lowest cost that may get the request now, or nil.
func (s *Selector) cheapest(now time.Time, r Request) *engine {
	var cheapest *engine
	var lowest float64
	c := s.costOf(now, r)
	for _, e := range s.byService[r.Service] {
		if !s.accepts(now, e, r) || !s.allowsRate(now, e) {
			continue
		}
		cost := c.at(e)
		if cheapest == nil || cost < lowest {
			cheapest, lowest = e, cost
		}
	}
	return cheapest
}

// requestCost holds what the costs of all engines for a request have in common.
type requestCost struct {
	request Request
	// keys are the keys of the parts of the prompt.
	keys []string
	// cachedAnywhere is the number of tokens at the start of the prompt that some engine has cached.
	cachedAnywhere int
	// inputBytes is the size of all inputs.
	inputBytes int64
	// slots is the number of requests that an engine runs at a time.
	slots int
	// speeds predicts the times of engines that report their pace, nil if those of the service don't.
	speeds *speeds
}

func (s *Selector) costOf(now time.Time, r Request) requestCost {
	c := requestCost{request: r, keys: partKeys(r), slots: s.services[r.Service].Slots}
	c.cachedAnywhere = s.tokensCachedAnywhere(now, c.keys, r.Parts)
	for _, bytes := range r.InputBytes {
		c.inputBytes += bytes
	}
	c.speeds = s.speedsOf(now, r)
	return c
}

// at returns the cost of sending the request to the engine, in milliseconds of time to the first token.
func (c *requestCost) at(e *engine) float64 {
	r := &c.request
	cached := e.cache.cachedTokens(c.keys, r.Parts)
	pending := r.PromptTokens - cached + e.unreadSum
	cost := float64(pending)/promptTokensPerMillisecond + float64(len(e.running))*perRunningRequestMillis
	if c.speeds != nil {
		cost = c.speeds.cost(e, r, pending)
	}
	cost += float64(c.cachedAnywhere-cached) * rereadMillisPerToken
	cost += float64(c.inputBytes-r.InputBytes[e.DataCentre]) * crossDataCentreMillisPerByte
	if r.DataCentre != e.DataCentre {
		cost += remoteMillis
	}
	if e.Suspect {
		cost += suspectMillis
	}
	if e.Cold {
		cost += coldMillis
	}
	if excess := len(e.running) + 1 - c.slots; excess > 0 {
		cost += float64(excess) * perExcessRequestMillis
	}
	return cost
}

// tokensCachedAnywhere returns the number of tokens at the start of the prompt that some
// engine has read within CacheLifetime.
func (s *Selector) tokensCachedAnywhere(now time.Time, keys []string, parts []Part) int {
	tokens := 0
	for i, key := range keys {
		last, ok := s.lastUse[key]
		if !ok || now.Sub(last) > s.CacheLifetime {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// maxTrackedParts is the number of entries of lastUse from which expired ones are removed.
const maxTrackedParts = 20000

// trimLastUse removes the expired entries of lastUse if there are many.
func (s *Selector) trimLastUse(now time.Time) {
	if len(s.lastUse) < maxTrackedParts {
		return
	}
	for key, last := range s.lastUse {
		if now.Sub(last) > s.CacheLifetime {
			delete(s.lastUse, key)
		}
	}
}

// PromptRead records that the engine has read the prompt of the request with this ID.
func (s *Selector) PromptRead(id string) {
	if e := s.engineByRequest[id]; e != nil {
		e.removeUnread(id)
		s.recordPace(e, id)
	}
}

// removeUnread removes the tokens that the engine must still read for a request.
func (e *engine) removeUnread(id string) {
	e.unreadSum -= e.unreadTokens[id]
	delete(e.unreadTokens, id)
}

// Remove removes a request that is over or will be sent to another engine.
func (s *Selector) Remove(id string) {
	s.removeRequest(id)
}

// removeRequest removes a request from the engine that it was sent to.
func (s *Selector) removeRequest(id string) {
	e := s.engineByRequest[id]
	if e == nil {
		return
	}
	delete(e.running, id)
	delete(e.prompts, id)
	s.Memory.Remove(e.ID, heldTokens(s.requests[id]))
	e.removeUnread(id)
	delete(s.engineByRequest, id)
	delete(s.requests, id)
}
