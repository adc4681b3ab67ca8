package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of one server of the platform. It registers itself in the store.
type server struct {
	id      string
	service string
	zone    string
	kind    string // "stage" or "engine"
	world   *world
	net     listenerSet

	mu      sync.Mutex
	born    int64
	seq     int
	running int
	waiting int
	turn    chan struct{}
	// used is the memory of the results that a stage server holds.
	used    int64
	results map[string]int64
	// advertised is the address in the server's entry.
	advertised string
	// silent is set while the server doesn't renew its entry.
	silent bool
	// unframed makes the answers of an engine end with their connections.
	unframed bool
	// repeat decides for an answer to a stage call whether it is sent once more, late.
	repeat func(body []byte) bool
}

// world holds what the stand-ins share: the results of all stage servers, and the records.
type world struct {
	store  *store
	record *record

	mu sync.Mutex
	// owner tells of which request, stage and piece each result is.
	owner map[string]pieceOf
	// holder is the server that holds a result; it is missing once the result is freed.
	holder map[string]*server
}

type pieceOf struct {
	attempt string
	stage   int
	piece   int
}

const (
	heartbeat = 1200 * time.Millisecond
	// handleLife is handleS of the configuration.
	handleLife = 4 * time.Second
	stageSlots = 1
	stageQueue = 2
)

// startServer starts a server and registers it.
func (w *world) startServer(id, service, zone, kind string) (*server, error) {
	s := &server{id: id, service: service, zone: zone, kind: kind, world: w, born: time.Now().UnixMilli(), turn: make(chan struct{}, stageSlots), results: map[string]int64{}}
	s.net = listenerSet{address: freeAddress("127.4.0.1"), handle: s.handle}
	if err := s.net.start(); err != nil {
		return nil, err
	}
	s.advertised = s.net.address
	s.register()
	go s.beat()
	return s, nil
}

// startBehind starts an engine behind a relay. It answers without a length and without chunks.
func (w *world) startBehind(id, service, zone string, address string, r *relay) (*server, error) {
	s := &server{id: id, service: service, zone: zone, kind: "engine", world: w, born: time.Now().UnixMilli(), unframed: true}
	s.net = listenerSet{address: address, handle: s.handle}
	if err := s.net.start(); err != nil {
		return nil, err
	}
	s.advertised = r.address
	return s, nil
}

// beat registers the server and renews its entry.
func (s *server) beat() {
	for {
		time.Sleep(heartbeat)
		s.register()
	}
}

// register writes the server's entry unless it is silent.
func (s *server) register() {
	s.mu.Lock()
	if s.silent {
		s.mu.Unlock()
		return
	}
	s.seq++
	entry := map[string]any{"service": s.service, "address": s.advertised, "zone": s.zone, "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0, "seq": s.seq, "born": s.born}
	s.mu.Unlock()
	s.world.store.put("servers", s.id, entry)
}

func notExecuted(status int) answer {
	return answer{status: status, header: map[string]string{"X-Not-Executed": "1"}}
}

func (s *server) handle(ctx context.Context, r *http.Request, body []byte) answer {
	if expected := r.Header.Get("X-Target-Instance"); expected != "" && expected != s.id {
		return answer{status: http.StatusMisdirectedRequest, header: map[string]string{"X-Instance-Id": s.id}}
	}
	switch {
	case r.URL.Path == "/health":
		return answer{status: http.StatusOK, header: map[string]string{"X-Instance-Id": s.id}}
	case r.URL.Path == "/v1/stage-run":
		return s.runStage(ctx, body)
	case r.URL.Path == "/v1/stage-free":
		return s.freeResults(body)
	case s.kind == "engine":
		return s.runEngine(ctx, r)
	}
	return answer{status: http.StatusNotFound}
}

// stageConfig are the figures of the stage servers, as the configuration names them.
type stageConfig struct {
	call, item time.Duration
	room       int64
	// size returns the size of a result.
	size func() int64
}

var stages stageConfig

type item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	LeftMs int64    `json:"leftMs"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

type itemResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, stageSlots)
}

// runStage runs one call to a stage server: at its turn it fetches the inputs and works.
func (s *server) runStage(ctx context.Context, body []byte) answer {
	arrived := time.Now()
	var call struct {
		Items []item `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return answer{status: http.StatusBadRequest}
	}
	s.mu.Lock()
	if s.running+s.waiting >= stageSlots+stageQueue {
		s.mu.Unlock()
		return notExecuted(http.StatusServiceUnavailable)
	}
	s.waiting++
	s.mu.Unlock()
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-ctx.Done(): // a close drops a call that is waiting
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		return answer{status: http.StatusServiceUnavailable}
	}
	s.mu.Lock()
	s.waiting--
	s.running++
	results := make([]itemResult, len(call.Items))
	work := stages.call
	for i, p := range call.Items {
		results[i] = s.beginPiece(p, arrived)
		if results[i].Handle != "" {
			work += stages.item
		}
	}
	s.mu.Unlock()
	time.Sleep(work)
	encoded, _ := json.Marshal(map[string]any{"items": results})
	s.mu.Lock()
	s.running--
	load := s.load()
	repeat := s.repeat != nil && s.repeat(encoded)
	s.mu.Unlock()
	for _, p := range results {
		if p.Handle != "" {
			time.AfterFunc(handleLife, func() { s.free(p.Handle) })
		}
	}
	s.world.record.add("server %s answers a stage call for %s with %s%s", s.id, describe(call.Items), encoded, map[bool]string{true: ", and will send that answer again", false: ""}[repeat])
	return answer{status: http.StatusOK, header: map[string]string{"Content-Type": "application/json", "X-Server-Load": load}, body: encoded, repeat: repeat}
}

func describe(items []item) string {
	var list []string
	for _, p := range items {
		list = append(list, fmt.Sprintf("%s/%d/%d", p.ID, p.Stage, p.Piece))
	}
	return strings.Join(list, " ")
}

// beginPiece takes up the space of a piece at the turn of its call. The caller holds mu.
func (s *server) beginPiece(p item, arrived time.Time) itemResult {
	if p.LeftMs > 0 && time.Since(arrived).Milliseconds() > p.LeftMs {
		return itemResult{Reason: "late"}
	}
	s.world.checkPiece(s, p)
	for _, handle := range p.Inputs {
		if !s.world.exists(handle) {
			return itemResult{Reason: "gone"}
		}
	}
	size := stages.size()
	if s.used+size > stages.room {
		return itemResult{Reason: "room"}
	}
	handle := fmt.Sprintf("%s/%011x", s.net.address, rand.Uint64()>>20)
	s.used += size
	s.results[handle] = size
	s.world.mu.Lock()
	s.world.owner[handle] = pieceOf{p.ID, p.Stage, p.Piece}
	s.world.holder[handle] = s
	s.world.mu.Unlock()
	return itemResult{Handle: handle}
}

func (s *server) free(handle string) {
	s.mu.Lock()
	s.used -= s.results[handle]
	delete(s.results, handle)
	s.mu.Unlock()
	s.world.mu.Lock()
	delete(s.world.holder, handle)
	s.world.mu.Unlock()
}

func (s *server) freeResults(body []byte) answer {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return answer{status: http.StatusBadRequest}
	}
	for _, handle := range call.Handles {
		s.free(handle)
	}
	return answer{status: http.StatusOK}
}

func (w *world) exists(handle string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder[handle] != nil
}

// checkPiece notes a piece with a wrong key or with inputs of another request or stage.
func (w *world) checkPiece(s *server, p item) {
	if p.Key != "" && p.Key != keyOf(p.ID) {
		w.record.broken("UNASKED: server %s is asked for piece %d of stage %d of request %s with the key %s", s.id, p.Piece, p.Stage, p.ID, p.Key)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, handle := range p.Inputs {
		if of, ok := w.owner[handle]; ok && (of.attempt != p.ID || of.stage >= p.Stage) {
			w.record.broken("MIXED: piece %d of stage %d of request %s is given the input %s, which is piece %d of stage %d of request %s", p.Piece, p.Stage, p.ID, handle, of.piece, of.stage, of.attempt)
		}
	}
}

// keyOf is the X-Piece-Key of a request.
func keyOf(attempt string) string { return "key" + attempt }

// engineConfig are the figures of the model servers.
type engineConfig struct {
	first, gap time.Duration
	events     int
	// pieces is the number of results that each request needs.
	pieces int
}

var engines engineConfig

// runEngine runs one request at a model server: it fetches the inputs, then streams events.
func (s *server) runEngine(ctx context.Context, r *http.Request) answer {
	attempt := r.Header.Get("X-Attempt-Id")
	inputs := r.Header.Get("X-Inputs")
	if inputs == "" && engines.pieces > 0 {
		return notExecuted(http.StatusBadRequest)
	}
	if engines.pieces > 0 {
		if !s.world.checkInputs(s, attempt, strings.Split(inputs, ",")) {
			return notExecuted(http.StatusConflict)
		}
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.world.record.add("server %s runs request %s", s.id, attempt)
	return answer{
		status:   http.StatusOK,
		unframed: s.unframed,
		header:   map[string]string{"X-Attempt-Id": attempt, "X-Response-Signature": s.id + "." + attempt, "Content-Type": "text/event-stream"},
		stream: func(write func([]byte) error) bool {
			wait := engines.first
			for n := last + 1; n <= engines.events; n++ {
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					return false
				}
				wait = engines.gap
				if write(fmt.Appendf(nil, "id: %d\ndata: %s-%d\n\n", n, attempt, n)) != nil {
					return false
				}
				s.world.record.wrote(attempt, n)
			}
			return true
		},
	}
}

// checkInputs reports whether all inputs exist. It notes inputs of another request, an input that is
// given twice, and missing ones.
func (w *world) checkInputs(s *server, attempt string, handles []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, handle := range handles {
		if w.holder[handle] == nil {
			return false
		}
	}
	seen := map[pieceOf]bool{}
	for _, handle := range handles {
		of := w.owner[handle]
		if of.attempt != attempt {
			w.record.broken("MIXED: server %s runs request %s with the input %s, which is piece %d of stage %d of request %s", s.id, attempt, handle, of.piece, of.stage, of.attempt)
		} else if seen[of] {
			w.record.broken("MIXED: server %s runs request %s with the input %s twice", s.id, attempt, handle)
		}
		seen[of] = true
	}
	if len(handles) != engines.pieces {
		w.record.broken("MIXED: server %s runs request %s with %d of %d inputs", s.id, attempt, len(handles), engines.pieces)
	}
	return true
}
