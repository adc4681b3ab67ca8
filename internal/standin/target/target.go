// Package target is a stand-in for back ends (targets), for tests and demonstrations: model engines
// with a cold start, batching and streamed answers, and plain services whose calls must not be
// repeated. It serves the HTTP interface of targets that package link calls, and records the calls
// and orders that it ran in a journal. Faults can be injected over a control interface under
// /control/.
//
// # Usage
//
//	server := &target.Server{Profile: target.Profile{Kind: "llm", Tokens: 20, TokenMillis: 2}}
//	err := server.Serve(ctx, listener)
package target

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/frame"
	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// Paths of the control interface. FaultPath takes a Fault, JournalPath answers with a Journal, both in
// JSON.
const (
	FaultPath   = "/control/fault"
	JournalPath = "/control/journal"
)

// Profile determines how the stand-in behaves.
type Profile struct {
	// Kind is the kind of stages of the target, see pkg/target.Target. It doesn't change how the
	// stand-in behaves.
	Kind string
	// FirstMillis is the time in milliseconds to the first token if the target is warm and not
	// overloaded. All times are doubled while the target is cold.
	FirstMillis int
	// Tokens is the number of tokens of an answer, at least 1; TokenMillis is the time of each in
	// milliseconds.
	Tokens      int
	TokenMillis int
	// Batch is the number of requests that run at full speed; each further one slows all. 0
	// means no limit.
	Batch int
	// ColdLimit is the number of concurrent requests that the target allows while it is cold.
	// Requests above it run, but are counted in Journal.OverColdLimit.
	ColdLimit int
	// WarmAfter is the number of answers after which a cold target is warm.
	WarmAfter int
	// StartCold makes the target cold when Serve starts.
	StartCold bool
	// ReportLagMillis is the age in milliseconds of the number of running requests in reports.
	ReportLagMillis int
	// ChecksFencing makes the target reject orders with a lower fencing number than that of an
	// earlier order.
	ChecksFencing bool
	// HidesAttempt makes answers omit the ID of the attempt.
	HidesAttempt bool
}

// Fault is a change of behaviour that is posted to FaultPath. Each Fault replaces the previous one.
type Fault struct {
	// Cold makes the target cold without a restart.
	Cold bool
	// Restart makes the target cold under a new incarnation, as after a start of its process, and
	// closes all other connections.
	Restart bool
	// Leaving makes reports state that the target is leaving.
	Leaving bool
	// SlowFactor multiplies all times of the profile; 0 keeps the previous factor.
	SlowFactor int
	// Each of these is the number of next answers that have the fault: CutShort closes the
	// connection after the first token, Twice sends one more frame after the end, Crossed sends
	// the attempt and the input of the previous request, and Silent waits for a minute before
	// the first token. An answer has at most one of these faults.
	CutShort int
	Twice    int
	Crossed  int
	Silent   int
}

// Execution is the journal entry of one call.
type Execution struct {
	// Attempt, Request and Stage are the IDs of the attempt and of the request and the name of
	// the stage, from the headers of the call.
	Attempt string
	Request string
	Stage   string
	// Input is the start of the input, up to 48 bytes.
	Input string
	// At is the time of arrival.
	At time.Time
	// Cold is true if the target was cold when the call arrived.
	Cold bool
	// Running is the number of requests in progress, this one included.
	Running int
}

// Order is the journal entry of one order that the target accepted.
type Order struct {
	Action   string
	Argument string
	// Fencing is the fencing number; later orders of operators have higher ones.
	Fencing uint64
	At      time.Time
}

// Journal is the body of answers at JournalPath.
type Journal struct {
	Executions []Execution
	Orders     []Order
	// OverColdLimit counts calls that arrived at a cold target above its cold limit.
	OverColdLimit int
	// FencingRefused counts orders that were rejected for their fencing number.
	FencingRefused int
}

// Server is the stand-in. Set the profile before Serve.
type Server struct {
	Profile Profile

	mu sync.Mutex
	// incarnation identifies one start of the target.
	incarnation string
	cold        bool
	// coldAnswers counts the answers since the cold start.
	coldAnswers int
	running     int
	// loadHistory holds the samples that reports still need, the oldest first.
	loadHistory []loadSample
	// fault is the current fault. Its numbers of answers are those that are left.
	fault Fault
	// slowFactor is the last Fault.SlowFactor that wasn't 0.
	slowFactor     int
	journal        Journal
	highestFencing uint64
	// lastAttempt and lastInput are those of the previous call, for Fault.Crossed.
	lastAttempt string
	lastInput   string
	// conns holds the open connections of the current incarnation.
	conns map[net.Conn]bool
}

// loadSample is the number of running requests after a change.
type loadSample struct {
	at      time.Time
	running int
}

// Serve serves calls until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mu.Lock()
	s.incarnation = uuid.NewString()[:8]
	s.cold = s.Profile.StartCold
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	server := &fasthttp.Server{Handler: s.handle, ConnState: s.trackConnection, NoDefaultServerHeader: true}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	return server.Serve(listener)
}

// trackConnection keeps conns up to date.
func (s *Server) trackConnection(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[conn] = true
	case fasthttp.StateClosed:
		delete(s.conns, conn)
	}
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch {
	case path == link.ReportPath:
		s.mu.Lock()
		report := s.report()
		s.mu.Unlock()
		reply(c, report)
	case strings.HasPrefix(path, link.StagePath):
		s.handleStage(c)
	case path == link.OrderPath:
		s.handleOrder(c)
	case path == FaultPath:
		s.handleFault(c)
	case path == JournalPath:
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(c, s.journal)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleFault replaces the fault and restarts the target if the fault says so.
func (s *Server) handleFault(c *fasthttp.RequestCtx) {
	var f Fault
	_ = json.Unmarshal(c.PostBody(), &f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Cold || f.Restart {
		s.cold = true
		s.coldAnswers = 0
	}
	if f.SlowFactor > 0 {
		s.slowFactor = f.SlowFactor
	}
	s.fault = f
	if !f.Restart {
		return
	}
	s.incarnation = uuid.NewString()[:8]
	s.running = 0
	for conn := range s.conns {
		if conn != c.Conn() {
			_ = conn.Close()
			delete(s.conns, conn)
		}
	}
}

// handleOrder accepts an order, or rejects it with status 409 for a lower fencing number.
func (s *Server) handleOrder(c *fasthttp.RequestCtx) {
	var o link.Order
	_ = json.Unmarshal(c.PostBody(), &o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Profile.ChecksFencing && o.Fencing < s.highestFencing {
		s.journal.FencingRefused++
		c.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	s.highestFencing = max(s.highestFencing, o.Fencing)
	s.journal.Orders = append(s.journal.Orders, Order{Action: o.Action, Argument: o.Argument, Fencing: o.Fencing, At: time.Now()})
}

// report returns the target's report, with the load as of ReportLagMillis ago. The caller holds the
// lock.
func (s *Server) report() target.Report {
	cutoff := time.Now().Add(-time.Duration(s.Profile.ReportLagMillis) * time.Millisecond)
	running := 0
	for len(s.loadHistory) > 1 && s.loadHistory[1].at.Before(cutoff) {
		s.loadHistory = s.loadHistory[1:]
	}
	if len(s.loadHistory) > 0 && s.loadHistory[0].at.Before(cutoff) {
		running = s.loadHistory[0].running
	}
	return target.Report{Incarnation: s.incarnation, Cold: s.cold, Leaving: s.fault.Leaving, Running: running}
}

// handleStage runs a call of a stage and streams its answer.
func (s *Server) handleStage(c *fasthttp.RequestCtx) {
	attempt := string(c.Request.Header.Peek(link.AttemptHeader))
	input := string(c.PostBody())
	s.mu.Lock()
	if !s.conns[c.Conn()] {
		// The connection belongs to an earlier incarnation, which ended with all its work.
		s.mu.Unlock()
		_ = c.Conn().Close()
		return
	}
	s.recordArrival(c, attempt)
	incarnation := s.incarnation
	answer := s.nextAnswer(attempt, input)
	report, _ := json.Marshal(s.report())
	s.mu.Unlock()
	c.Response.Header.Set(link.ReportHeader, string(report))
	if answer.attempt != "" {
		c.Response.Header.Set(link.AttemptHeader, answer.attempt)
	}
	stage := string(c.Request.Header.Peek(link.StageHeader))
	conn := c.Conn()
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.recordEnd(incarnation)
		s.writeAnswer(conn, w, answer, stage)
	})
}

// recordArrival adds a call to the load and to the journal. The caller holds the lock.
func (s *Server) recordArrival(c *fasthttp.RequestCtx, attempt string) {
	s.running++
	s.loadHistory = append(s.loadHistory, loadSample{at: time.Now(), running: s.running})
	if s.cold && s.running > s.Profile.ColdLimit {
		s.journal.OverColdLimit++
	}
	s.journal.Executions = append(s.journal.Executions, Execution{
		Attempt: attempt,
		Request: string(c.Request.Header.Peek(link.RequestHeader)),
		Stage:   string(c.Request.Header.Peek(link.StageHeader)),
		Input:   inputPrefix(string(c.PostBody())),
		At:      time.Now(),
		Cold:    s.cold,
		Running: s.running,
	})
}

// recordEnd removes a call from the load, unless the target has restarted since, and counts its
// answer towards the end of a cold start.
func (s *Server) recordEnd(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != s.incarnation {
		return
	}
	s.running--
	s.loadHistory = append(s.loadHistory, loadSample{at: time.Now(), running: s.running})
	if !s.cold {
		return
	}
	s.coldAnswers++
	if s.coldAnswers >= s.Profile.WarmAfter {
		s.cold = false
	}
}

// plannedAnswer describes an answer and the faults to apply to it.
type plannedAnswer struct {
	// attempt is the ID of the attempt in the answer, empty if it is omitted.
	attempt  string
	input    string
	cutShort bool
	twice    bool
	silent   bool
}

// nextAnswer returns the answer to a call. If answers with a fault are left, it applies one of these
// faults and decrements its number. The caller holds the lock.
func (s *Server) nextAnswer(attempt, input string) plannedAnswer {
	answer := plannedAnswer{attempt: attempt, input: input}
	switch {
	case s.fault.CutShort > 0:
		s.fault.CutShort--
		answer.cutShort = true
	case s.fault.Twice > 0:
		s.fault.Twice--
		answer.twice = true
	case s.fault.Silent > 0:
		s.fault.Silent--
		answer.silent = true
	case s.fault.Crossed > 0 && s.lastAttempt != "":
		s.fault.Crossed--
		answer.attempt, answer.input = s.lastAttempt, s.lastInput
	}
	s.lastAttempt, s.lastInput = attempt, input
	if s.Profile.HidesAttempt {
		answer.attempt = ""
	}
	return answer
}

// writeAnswer streams the tokens of an answer, which consist of the name of the stage and a number.
// The first token is preceded by the start of the input.
func (s *Server) writeAnswer(conn net.Conn, w *bufio.Writer, answer plannedAnswer, stage string) {
	if answer.silent {
		time.Sleep(time.Minute)
	}
	writer := frame.NewWriter(w)
	s.sleep(s.Profile.FirstMillis)
	tokens := max(s.Profile.Tokens, 1)
	for i := range tokens {
		text := fmt.Sprintf("%s%d ", stage, i)
		if i == 0 {
			text = "[" + inputPrefix(answer.input) + "] " + text
		}
		if writer.Text([]byte(text)) != nil || w.Flush() != nil {
			return
		}
		if answer.cutShort {
			_ = conn.Close()
			return
		}
		s.sleep(s.Profile.TokenMillis)
	}
	end := frame.End{Attempt: answer.attempt, Tokens: int64(tokens)}
	_ = writer.End(end)
	if answer.twice {
		_ = frame.NewWriter(w).Text([]byte("again"))
	}
}

// inputPrefix returns the start of an input, up to 48 bytes. Answers contain it, so that tests can see
// which input they belong to.
func inputPrefix(input string) string {
	if len(input) > 48 {
		return input[:48]
	}
	return input
}

// sleep waits for a time of the profile, in milliseconds, multiplied by the factors for load above
// Batch, for a cold target and for Fault.SlowFactor.
func (s *Server) sleep(millis int) {
	s.mu.Lock()
	factor := 1.0
	if s.Profile.Batch > 0 && s.running > s.Profile.Batch {
		factor = float64(s.running) / float64(s.Profile.Batch)
	}
	if s.cold {
		factor *= 2
	}
	if s.slowFactor > 0 {
		factor *= float64(s.slowFactor)
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(float64(millis) * factor * float64(time.Millisecond)))
}

// reply answers a call with a value in JSON.
func reply(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetBody(body)
}
