// Package service is a stand-in for the platform's servers, for tests: plain services, stage targets
// and model engines over the published HTTP protocol. It records the requests that it ran in a
// journal, checks that inputs exist and belong to the same request, and injects faults.
//
// A stage target runs calls, which consist of pieces, and stores a result for each piece under a
// handle. Handles are the inputs of pieces of later stages and of requests to engines.
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
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is the kind of server that the stand-in replaces.
type Kind string

// The kinds of stand-ins.
const (
	// Plain answers each request with Text.
	Plain Kind = "Plain"
	// Stage runs the pieces of stages.
	Stage Kind = "Stage"
	// Engine answers each request with a stream of events.
	Engine Kind = "Engine"
)

// Profile determines how the stand-in behaves.
type Profile struct {
	Kind Kind
	// Slots is the number of requests that run concurrently; further ones are rejected as not run.
	// 0 means no limit. A stage target runs one call at a time regardless.
	Slots int
	// Work is the time of a request, or of a call to a stage target.
	Work time.Duration
	// Piece is the time that each piece adds to a call.
	Piece time.Duration
	// Events is the number of events of a stream, Gap the time before each.
	Events int
	Gap    time.Duration
	// NeedsInputs makes an engine reject requests without inputs, the handles in the X-Inputs
	// header.
	NeedsInputs bool
	// FatalPart is the ID of a part of prompts; an engine crashes when it begins to answer a request
	// with it. It closes all connections, and accepts none for crashTime. Empty means no part.
	FatalPart string
	// FatalQuery and FatalBody are the query and the body of the requests that crash the stand-in when it begins to run
	// them; an empty query means none.
	FatalQuery, FatalBody string
	// Flaw is what is wrong with the version that the stand-in runs.
	Flaw Flaw
}

// Server is one stand-in. Set ID and Profile before Start.
type Server struct {
	// ID is the instance ID. A request for another ID (X-Target-Instance header) is answered with
	// status 421.
	ID      string
	Profile Profile

	mu         sync.Mutex
	fault      Fault
	running    int
	journal    []Execution
	arrivals   []Arrival
	violations []string
	// storedHandles holds the handles of the results that this server stores; resultCount counts
	// all that it ever computed.
	storedHandles map[string]bool
	resultCount   int
	// leaving is the Server-Leaving header of all answers, empty for none.
	leaving string
	// limit is the Server-Limit header of all answers, empty for none; limitedAt is when it was first sent to each
	// host, by IP.
	limit     string
	limitedAt map[string]time.Time
	// untied holds the addresses of the callers' ends of connections on which no call that runs pieces may
	// follow, since a copy of the last answer can't be told from the answer to that call.
	untied map[string]bool
	// lastCallAnswer is the body of the last answer to a call.
	lastCallAnswer []byte
	address        string
	http           *http.Server
	startedAt      time.Time
	// bornAt is when the server started, or started again after a crash.
	bornAt time.Time
	// crashed is set while the server is down after a crash, stopped once Stop was called.
	crashed, stopped bool
}

// resultByHandle holds the results of all stage targets in the process, so that each server can
// check its inputs. resultsMu guards it.
var (
	resultsMu      sync.Mutex
	resultByHandle = map[string]result{}
)

// result identifies the piece whose result is stored: the ID of the attempt of its request, the index
// of its stage and its index in the stage.
type result struct {
	attempt string
	stage   int
	piece   int
}

// Hash returns the hash of a body as it is recorded in the journal.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// Start listens on an address (IP:port; port 0 selects a free one) and serves in the background until
// Stop. It returns the address with the actual port, or the error of listening.
func (s *Server) Start(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.address, s.startedAt, s.bornAt = listener.Addr().String(), time.Now(), time.Now()
	s.storedHandles = map[string]bool{}
	s.untied = map[string]bool{}
	s.serve(listener)
	return s.address, nil
}

// serve serves in the background.
func (s *Server) serve(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(s.handle)}
	s.http = server
	go func() { _ = server.Serve(listener) }()
}

// BornAt returns when the server started, or started again after a crash.
func (s *Server) BornAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bornAt
}

// Stop closes the server and its connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	_ = s.http.Close()
}

// SetFault replaces the faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetLeaving sets the Server-Leaving header of all answers; an empty value removes it.
func (s *Server) SetLeaving(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = value
}

// Violations returns descriptions of the requests that broke the protocol, such as pieces with the
// inputs of another request.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// Running returns the number of requests and calls in progress.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// ComputedResults returns the number of results that were ever computed.
func (s *Server) ComputedResults() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resultCount
}

// Held returns the number of results that are stored now.
func (s *Server) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.storedHandles)
}

// recordViolation adds a violation. The caller holds the lock.
func (s *Server) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	host := senderOf(r)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{At: time.Now(), Host: host, Path: r.URL.Path})
	if s.leaving != "" {
		w.Header().Set("Server-Leaving", s.leaving)
	}
	s.mu.Unlock()
	if expected := r.Header.Get("X-Target-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.nameLimit(w, host)
	switch r.URL.Path {
	case "/v1/stage-run":
		s.runStage(w, r)
	case "/v1/stage-free":
		s.freeResults(r)
	case healthPath:
		w.Header().Set("X-Instance-Id", s.ID)
	default:
		s.runRequest(w, r)
	}
}

// healthPath is the path of health checks.
const healthPath = "/health"

// runRequest runs a plain request or a generation.
func (s *Server) runRequest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	cutUpload := takeFault(&s.fault.CutUpload)
	if cutUpload {
		s.recordExecution(r, nil)
	}
	s.mu.Unlock()
	if attempt := r.Header.Get("X-Attempt-Id"); cutUpload {
		sendAndClose(w, s.plainHead(attempt)+Text(attempt)[:PartBytes])
		return
	}
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
	if takeFault(&s.fault.Shed) || s.Profile.Slots > 0 && s.running >= s.Profile.Slots {
		setRetryAfter(w, s.fault.RetryAfter)
		s.mu.Unlock()
		rejectNotRun(w, http.StatusServiceUnavailable)
		return
	}
	s.running++
	flawed := s.Profile.Flaw.applies(s.ID, attempt, r.URL.Path, time.Since(s.startedAt), s.running)
	s.recordExecution(r, body)
	s.journal[len(s.journal)-1].Flawed = flawed
	lose, cut, truncate, extra, hang := takeFault(&s.fault.Lose), takeFault(&s.fault.CutEvent), takeFault(&s.fault.Truncate), takeFault(&s.fault.Extra), takeFault(&s.fault.Hang)
	endlessHead, endlessBody, cutPlain := takeFault(&s.fault.EndlessHead), takeFault(&s.fault.EndlessBody), takeFault(&s.fault.CutPlain)
	broken, brokenAnswer := takeFault(&s.fault.Broken), s.fault.BrokenAnswer
	endless, endlessStart, endlessRepeat := takeFault(&s.fault.Endless), s.fault.EndlessStart, s.fault.EndlessRepeat
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(s.Profile.work(flawed)):
	case <-r.Context().Done():
		return
	}
	if s.Profile.FatalQuery != "" && r.URL.RawQuery == s.Profile.FatalQuery && string(body) == s.Profile.FatalBody {
		s.crash()
		return
	}
	switch {
	case flawed && s.Profile.Flaw.Slow == 0:
		w.Header().Set("X-Response-Signature", s.ID+"."+attempt)
		w.WriteHeader(http.StatusInternalServerError)
	case hang:
		<-r.Context().Done()
	case lose:
		closeConnection(w)
	case endlessHead:
		sendEndless(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+attempt+"\r\nX-Filler: ", "x")
	case endlessBody:
		sendEndless(w, s.plainHead(attempt), "x")
	case endless:
		sendEndless(w, strings.ReplaceAll(endlessStart, AttemptMark, attempt), endlessRepeat)
	case cutPlain:
		sendAndClose(w, s.plainHead(attempt)+Event(attempt, 1)+Event(attempt, 2)[:5])
	case broken:
		sendAndClose(w, strings.ReplaceAll(brokenAnswer, AttemptMark, attempt))
	case s.Profile.Kind == Engine:
		s.writeStream(w, r, attempt, cut)
	default:
		s.writeAnswer(w, attempt, truncate, extra)
	}
}

// setRetryAfter sets the Retry-After header unless the value is empty.
func setRetryAfter(w http.ResponseWriter, value string) {
	if value != "" {
		w.Header().Set("Retry-After", value)
	}
}

// rejectNotRun answers with a status and states that the request was not run.
func rejectNotRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// checkInputs reports whether a request has inputs and all of them exist. If not, it rejects the
// request. It records a violation for inputs that belong to another request. The caller holds the
// lock.
func (s *Server) checkInputs(w http.ResponseWriter, r *http.Request, attempt string) bool {
	text := r.Header.Get("X-Inputs")
	if text == "" {
		rejectNotRun(w, http.StatusBadRequest)
		return false
	}
	for _, handle := range strings.Split(text, ",") {
		resultsMu.Lock()
		got, ok := resultByHandle[handle]
		resultsMu.Unlock()
		if !ok {
			rejectNotRun(w, http.StatusConflict)
			return false
		}
		if got.attempt != attempt {
			s.recordViolation("request %s has the result of %s as an input", attempt, got.attempt)
		}
	}
	return true
}

// PartBytes is the size of the part of an answer that the fault CutUpload sends.
const PartBytes = 6

// Text returns the body of a plain stand-in's answer to the attempt with an ID.
func Text(attempt string) string { return "answer to " + attempt }

// writeAnswer answers a plain request, with the fault Truncate or Extra if its argument is true.
func (s *Server) writeAnswer(w http.ResponseWriter, attempt string, truncate, extra bool) {
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
	go s.serveAfterExtraAnswer(conn, buffered, head+body)
}

// serveAfterExtraAnswer serves the next request of a connection: it sends the extra answer first,
// then the right one, and closes the connection.
func (s *Server) serveAfterExtraAnswer(conn net.Conn, buffered *bufio.ReadWriter, extraAnswer string) {
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
	s.recordExecution(r, body)
	s.mu.Unlock()
	text := Text(attempt)
	_, _ = fmt.Fprintf(buffered, "%sHTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		extraAnswer, attempt, s.ID, attempt, len(text), text)
	_ = buffered.Flush()
}

// Event returns the nth event of the answer to an attempt, in the format of server-sent events. The
// first event is 1.
func Event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, attempt, n)
}

// writeStream streams the events after the one that the Last-Event-Id header names, or all events
// without that header. cut is true for the fault CutEvent.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, attempt string, cut bool) {
	w.Header().Set("X-Response-Signature", s.ID+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if s.Profile.FatalPart != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), s.Profile.FatalPart+":") {
		_ = http.NewResponseController(w).Flush()
		s.crash()
		return
	}
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
