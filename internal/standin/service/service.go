// Package service is a small stand-in of the platform's servers for tests: plain services,
// stage targets and model engines over the published protocol. It keeps a journal of what
// it ran, checks that inputs are whole and of the right request, and misbehaves on demand.
//
// # Usage
//
//	server := &service.Server{ID: "i-1", Profile: service.Profile{Kind: service.Plain, Slots: 6}}
//	address, err := server.Start("127.0.0.1:0")
package service

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is what the stand-in is.
type Kind string

// The kinds of stand-ins.
const (
	Plain  Kind = "Plain"
	Stage  Kind = "Stage"
	Engine Kind = "Engine"
)

// Profile is how the stand-in behaves.
type Profile struct {
	Kind Kind
	// Slots is the number of requests that run at a time; 0 means no bound.
	Slots int
	// Work is the time of a request, or of a call to a stage target.
	Work time.Duration
	// Piece is the time that each piece adds to a call.
	Piece time.Duration
	// Events is the number of events of a stream, Gap the pause before each.
	Events int
	Gap    time.Duration
	// NeedsInputs makes an engine refuse requests without inputs.
	NeedsInputs bool
}

// Fault is a number of next requests that go wrong in a way.
type Fault struct {
	// Lose runs the request and closes the connection without an answer.
	Lose int
	// CutEvent breaks streams off in the middle of their third event.
	CutEvent int
	// Truncate breaks answers off in the middle of their body.
	Truncate int
	// Extra answers a second time behind the answer.
	Extra int
	// Shed refuses requests, truly not run.
	Shed int
	// Hang runs the request and never answers.
	Hang int
}

// Execution is one line of the journal.
type Execution struct {
	AttemptID string
	Method    string
	URI       string
	// Body is the hash of the body.
	Body     string
	Account  string
	Key      string
	Deadline int
	At       time.Time
}

// Server is one stand-in.
type Server struct {
	ID      string
	Profile Profile

	mu         sync.Mutex
	fault      Fault
	running    int
	journal    []Execution
	arrivals   []time.Time
	violations []string
	results    map[string]bool
	made       int
	address    string
	listener   net.Listener
	http       *http.Server
}

// The results of all stage targets by handle, so that engines can check them.
var (
	resultsMu sync.Mutex
	results   = map[string]result{}
)

type result struct {
	attempt string
	stage   int
	piece   int
}

// Hash is the form in which the journal keeps bodies.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// Start serves on an address and returns the real one.
func (s *Server) Start(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.listener = listener
	s.address = listener.Addr().String()
	s.results = map[string]bool{}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = s.http.Serve(listener) }()
	return s.address, nil
}

// Stop closes the server and its connections.
func (s *Server) Stop() {
	_ = s.http.Close()
}

// SetFault replaces the faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Journal returns what was run.
func (s *Server) Journal() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.journal...)
}

// Arrivals returns when requests arrived, refused ones included.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

// Violations returns what was asked for that must not be.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// Running returns the number of requests and calls that are worked on.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Made returns the number of results that were made.
func (s *Server) Made() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.made
}

// Held returns the number of results that are kept.
func (s *Server) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results)
}

// take uses one of a number of faults up.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Server) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	if meant := r.Header.Get("X-Target-Instance"); meant != "" && meant != s.ID {
		w.Header().Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/stage-run":
		s.runStage(w, r)
	case "/v1/stage-free":
		s.freeResults(r)
	default:
		s.request(w, r)
	}
}

// request runs a plain request or a generation.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	s.mu.Lock()
	if s.Profile.NeedsInputs && !s.checkInputs(w, r, attempt) {
		s.mu.Unlock()
		return
	}
	if take(&s.fault.Shed) || s.Profile.Slots > 0 && s.running >= s.Profile.Slots {
		s.mu.Unlock()
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.note(r, body)
	lose, cut, truncate, extra, hang := take(&s.fault.Lose), take(&s.fault.CutEvent), take(&s.fault.Truncate), take(&s.fault.Extra), take(&s.fault.Hang)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(s.Profile.Work):
	case <-r.Context().Done():
		return
	}
	switch {
	case hang:
		<-r.Context().Done()
	case lose:
		closeConnection(w)
	case s.Profile.Kind == Engine:
		s.stream(w, r, attempt, cut)
	default:
		s.answer(w, attempt, truncate, extra)
	}
}

// note writes a run into the journal.
func (s *Server) note(r *http.Request, body []byte) {
	deadline, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		deadline = 0 // which no request may have
	}
	s.journal = append(s.journal, Execution{
		AttemptID: r.Header.Get("X-Attempt-Id"),
		Method:    r.Method,
		URI:       r.RequestURI,
		Body:      Hash(body),
		Account:   r.Header.Get("X-Tenant"),
		Key:       r.Header.Get("Authorization"),
		Deadline:  deadline,
		At:        time.Now(),
	})
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func closeConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

// checkInputs refuses a request whose inputs are missing, and notes those that belong to
// another request.
func (s *Server) checkInputs(w http.ResponseWriter, r *http.Request, attempt string) bool {
	text := r.Header.Get("X-Inputs")
	if text == "" {
		notRun(w, http.StatusBadRequest)
		return false
	}
	for _, handle := range strings.Split(text, ",") {
		resultsMu.Lock()
		got, ok := results[handle]
		resultsMu.Unlock()
		if !ok {
			notRun(w, http.StatusConflict)
			return false
		}
		if got.attempt != attempt {
			s.violate("request %s is given the result of %s", attempt, got.attempt)
		}
	}
	return true
}

// Text is the body that a plain stand-in answers an attempt with.
func Text(attempt string) string { return "answer to " + attempt }

func (s *Server) answer(w http.ResponseWriter, attempt string, truncate, extra bool) {
	body := Text(attempt)
	w.Header().Set("X-Response-Signature", s.ID+"."+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !truncate && !extra {
		_, _ = io.WriteString(w, body)
		return
	}
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, buffered, err := h.Hijack()
	if err != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n", attempt, s.ID, attempt, len(body))
	if truncate {
		_, _ = buffered.WriteString(head + body[:len(body)/2])
		_ = buffered.Flush()
		_ = conn.Close()
		return
	}
	_, _ = buffered.WriteString(head + body)
	_ = buffered.Flush()
	go s.serveOn(conn, buffered, head+body)
}

// serveOn goes on with a connection whose next answer comes behind an extra one.
func (s *Server) serveOn(conn net.Conn, buffered *bufio.ReadWriter, again string) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Time{})
	r, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	s.note(r, body)
	s.mu.Unlock()
	text := Text(attempt)
	_, _ = fmt.Fprintf(buffered, "%sHTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		again, attempt, s.ID, attempt, len(text), text)
	_ = buffered.Flush()
}

// Event is the text of one event of a stream.
func Event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, attempt, n)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, attempt string, cut bool) {
	w.Header().Set("X-Response-Signature", s.ID+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= s.Profile.Events; n++ {
		select {
		case <-time.After(s.Profile.Gap):
		case <-r.Context().Done():
			return
		}
		event := Event(attempt, n)
		if cut && n == last+3 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = http.NewResponseController(w).Flush()
			closeConnection(w)
			return
		}
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
	}
}

// piece is one piece of a call.
type piece struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	LeftMs int      `json:"leftMs"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

func (s *Server) runStage(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []piece `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if take(&s.fault.Shed) || s.running > 0 {
		s.mu.Unlock()
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mu.Unlock()
	time.Sleep(s.Profile.Work + time.Duration(len(call.Items))*s.Profile.Piece)
	type item struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	answer := struct {
		Items []item `json:"items"`
	}{}
	s.mu.Lock()
	for _, p := range call.Items {
		if !s.checkPiece(p) {
			answer.Items = append(answer.Items, item{Reason: "gone"})
			continue
		}
		s.made++
		handle := fmt.Sprintf("%s/%s-%d", s.address, s.ID, s.made)
		s.results[handle] = true
		resultsMu.Lock()
		results[handle] = result{p.ID, p.Stage, p.Piece}
		resultsMu.Unlock()
		answer.Items = append(answer.Items, item{Handle: handle})
	}
	s.running--
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// checkPiece reports whether the inputs exist, and notes those that are wrong.
func (s *Server) checkPiece(p piece) bool {
	if (p.Key == "") == (len(p.Inputs) == 0) {
		s.violate("piece %+v must have a key or inputs", p)
	}
	if p.Key != "" && p.Key != "key-"+p.ID {
		s.violate("piece %+v has the key of another request", p)
	}
	seen := map[result]bool{}
	for _, handle := range p.Inputs {
		resultsMu.Lock()
		got, ok := results[handle]
		resultsMu.Unlock()
		if !ok {
			return false
		}
		if got.attempt != p.ID || got.stage >= p.Stage || seen[got] {
			s.violate("piece %+v is given %+v", p, got)
		}
		seen[got] = true
	}
	return true
}

func (s *Server) freeResults(r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, handle := range call.Handles {
		delete(s.results, handle)
		resultsMu.Lock()
		delete(results, handle)
		resultsMu.Unlock()
	}
}
