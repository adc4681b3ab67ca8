// Package caller is the HTTP server for callers, the clients that run pipelines.
//
//	POST /v1/pipelines/{name}/runs   runs a pipeline with a tier
//	POST /v1/tickets                 issues a ticket, an idempotency key for one request
//	GET  /v1/requests/{id}           returns the state of a request
//	GET  /healthz, /readyz           liveness and readiness for the load balancer
//
// # Usage
//
//	server := &caller.Server{Service: service, MaxBodyBytes: 4 << 20}
//	err := server.Serve(ctx, listener)
package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/frame"
	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/pkg/account"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// HTTP headers of the interface. A caller sends KeyHeader and AccountHeader; the server answers
// with RequestHeader, which contains the request ID.
const (
	KeyHeader     = "Idempotency-Key"
	AccountHeader = "Account"
	RequestHeader = "Request-Id"
)

const (
	runsPrefix     = "/v1/pipelines/"
	runsSuffix     = "/runs"
	ticketsPath    = "/v1/tickets"
	requestsPrefix = "/v1/requests/"
)

// maxKeyBytes limits the length of an idempotency key.
const maxKeyBytes = 200

// RunBody is the JSON body of a request to run a pipeline.
type RunBody struct {
	Tier  string
	Input string
	// Stream requests the answer in frames as it is produced.
	Stream bool
	// Async requests a Draft: the reply contains the request ID at once, and the answer is
	// fetched later.
	Async bool
}

// Call is one authenticated call to run a pipeline.
type Call struct {
	Account  account.Account
	Pipeline string
	// Key is the idempotency key; empty means none.
	Key  string
	Body RunBody
	// ID is the ID of the request.
	ID string
}

// Failure is the JSON body of every reply that is not a success.
type Failure struct {
	Kind   problem.Kind
	Detail string
	// Retriable is true if the same request can succeed later. It follows from Kind and is
	// set by the server.
	Retriable bool
	// NotRun states that no stage was or will be sent.
	NotRun    request.NotRun
	RequestID string `json:",omitempty"`
}

// Service handles the calls. Its errors have kinds of package problem.
type Service interface {
	// Authenticate returns the account of a bearer token or of the account header.
	Authenticate(token, header string) (account.Account, error)
	// NewRequestID returns an ID for the next request.
	NewRequestID() string
	// Run runs the pipeline and returns the answer as JSON. If sink is not nil, it receives
	// the parts of the answer's text as they arrive.
	Run(ctx context.Context, call Call, sink func([]byte) error) (body []byte, failure *Failure)
	// Accept stores an asynchronous request durably and returns its ID.
	Accept(ctx context.Context, call Call) (id string, failure *Failure)
	// Ticket issues a ticket.
	Ticket() (string, error)
	// Lookup returns the state of a request of the account as JSON, or an error of kind
	// NotFound if the account has no such request.
	Lookup(ctx context.Context, account, id string) ([]byte, error)
	// Ready reports whether the load balancer may send requests.
	Ready() bool
}

// Server is the HTTP server for callers.
type Server struct {
	Service Service
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int
}

// Serve handles calls until ctx ends, then waits for those in flight.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          rejectMalformed,
		StreamRequestBody:     true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ReadTimeout:           time.Minute,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return server.Shutdown()
	}
}

// rejectMalformed replies to a request that isn't valid HTTP. No stage of it was run.
func rejectMalformed(c *fasthttp.RequestCtx, err error) {
	var record request.SendRecord
	writeFailure(c, Failure{Kind: problem.Invalid, Detail: err.Error(), NotRun: record.Seal()})
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	if !s.Service.Ready() {
		c.SetConnectionClose() // so that no request is in transit when the listener closes
	}
	switch {
	case path == "/healthz":
		c.SetBodyString("ok")
	case path == "/readyz":
		s.ready(c)
	case path == ticketsPath && c.IsPost():
		s.ticket(c)
	case strings.HasPrefix(path, runsPrefix) && strings.HasSuffix(path, runsSuffix) && c.IsPost():
		s.run(c, strings.TrimSuffix(strings.TrimPrefix(path, runsPrefix), runsSuffix))
	case strings.HasPrefix(path, requestsPrefix) && c.IsGet():
		s.lookup(c, strings.TrimPrefix(path, requestsPrefix))
	default:
		writeError(c, problem.New(problem.NotFound, "%s %s is not an endpoint", c.Method(), path))
	}
}

func (s *Server) ready(c *fasthttp.RequestCtx) {
	if s.Service.Ready() {
		c.SetBodyString("ready")
		return
	}
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	c.SetBodyString("not ready")
}

func (s *Server) authenticate(c *fasthttp.RequestCtx) (account.Account, error) {
	token := strings.TrimPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	return s.Service.Authenticate(token, string(c.Request.Header.Peek(AccountHeader)))
}

func (s *Server) ticket(c *fasthttp.RequestCtx) {
	if _, err := s.authenticate(c); err != nil {
		writeError(c, err)
		return
	}
	ticket, err := s.Service.Ticket()
	if err != nil {
		writeError(c, err)
		return
	}
	writeJSON(c, fasthttp.StatusOK, struct{ Ticket string }{ticket})
}

func (s *Server) lookup(c *fasthttp.RequestCtx, id string) {
	owner, err := s.authenticate(c)
	if err != nil {
		writeError(c, err)
		return
	}
	body, err := s.Service.Lookup(context.Background(), owner.Name, id)
	if err != nil {
		writeError(c, err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

func (s *Server) run(c *fasthttp.RequestCtx, pipeline string) {
	call, err := s.parseCall(c, pipeline)
	if err != nil {
		s.rejectBeforeRun(c, call, err)
		return
	}
	c.Response.Header.Set(RequestHeader, call.ID)
	switch {
	case call.Body.Async:
		s.accept(c, call)
	case call.Body.Stream:
		s.stream(c, call)
	default:
		body, failure := s.Service.Run(context.Background(), call, nil)
		if failure != nil {
			writeFailure(c, *failure)
			return
		}
		c.SetContentType("application/json")
		c.SetBody(body)
	}
}

// rejectBeforeRun rejects a call before the service handles it. Without a key the reply states
// that no stage was run; with a key an earlier call may have run stages.
func (s *Server) rejectBeforeRun(c *fasthttp.RequestCtx, call Call, err error) {
	failure := Failure{Kind: problem.Of(err), Detail: problem.Detail(err), RequestID: call.ID}
	if call.Key == "" {
		var record request.SendRecord
		failure.NotRun = record.Seal()
	}
	writeFailure(c, failure)
}

// parseCall authenticates and validates a call. After an error the call is incomplete.
func (s *Server) parseCall(c *fasthttp.RequestCtx, pipeline string) (Call, error) {
	call := Call{Pipeline: pipeline, Key: string(c.Request.Header.Peek(KeyHeader))}
	owner, err := s.authenticate(c)
	if err != nil {
		return call, err
	}
	call.Account = owner
	if len(call.Key) > maxKeyBytes || strings.Contains(call.Key, "/") {
		return call, problem.New(problem.Invalid, "header %s must have at most %d bytes and no slashes", KeyHeader, maxKeyBytes)
	}
	body, err := s.readBody(c)
	if err != nil {
		return call, err
	}
	if err := json.Unmarshal(body, &call.Body); err != nil {
		return call, problem.New(problem.Invalid, "body: %v", err)
	}
	if call.Body.Stream && call.Body.Async {
		return call, problem.New(problem.Invalid, "body: Stream and Async can't both be true")
	}
	call.ID = s.Service.NewRequestID()
	return call, nil
}

// maxDrainBytes limits how much of an oversized body is read and dropped, so that the caller
// receives the reply instead of a connection reset.
const maxDrainBytes = 256 << 20

// readBody returns the body, or an error of kind TooLarge if it exceeds MaxBodyBytes.
func (s *Server) readBody(c *fasthttp.RequestCtx) ([]byte, error) {
	stream := c.RequestBodyStream()
	if stream == nil {
		return c.PostBody(), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(s.MaxBodyBytes)+1))
	if err != nil {
		return nil, problem.New(problem.Invalid, "body: %v", err)
	}
	if len(body) > s.MaxBodyBytes {
		_, _ = io.CopyN(io.Discard, stream, maxDrainBytes)
		return nil, problem.New(problem.TooLarge, "body is larger than %d bytes", s.MaxBodyBytes)
	}
	return body, nil
}

func (s *Server) accept(c *fasthttp.RequestCtx, call Call) {
	id, failure := s.Service.Accept(context.Background(), call)
	if failure != nil {
		writeFailure(c, *failure)
		return
	}
	writeJSON(c, fasthttp.StatusAccepted, struct{ RequestID string }{id})
}

// stream writes the answer in frames, one JSON object per line: the texts, then one with the
// field End that holds the whole answer. A failure before the first text is a plain reply; a
// later one is sent as a last frame with the field Failure in place of End.
func (s *Server) stream(c *fasthttp.RequestCtx, call Call) {
	texts := make(chan []byte)
	type result struct {
		body    []byte
		failure *Failure
	}
	ended := make(chan result, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(texts)
		body, failure := s.Service.Run(ctx, call, func(text []byte) error {
			select {
			case texts <- append([]byte(nil), text...):
				return nil
			case <-ctx.Done():
				return problem.New(problem.Cancelled, "the caller closed the connection")
			}
		})
		ended <- result{body, failure}
	}()
	first, open := <-texts
	var last result
	if !open {
		last = <-ended
	}
	if last.failure != nil {
		cancel()
		writeFailure(c, *last.failure)
		return
	}
	c.SetContentType("application/x-ndjson")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		writer := frame.NewWriter(w)
		for text := first; open; text, open = <-texts {
			if writer.Text(text) != nil || w.Flush() != nil {
				return
			}
		}
		if last.body == nil {
			last = <-ended
		}
		encoder := json.NewEncoder(w)
		if last.failure != nil {
			_ = encoder.Encode(struct{ Failure Failure }{withRetriable(*last.failure)})
			return
		}
		_ = encoder.Encode(struct{ End json.RawMessage }{last.body})
	})
}

// withRetriable returns the failure with Retriable set from its kind.
func withRetriable(failure Failure) Failure {
	failure.Retriable = failure.Kind.Answer().Retriable
	return failure
}

// writeError replies with an error and makes no statement on whether a stage was run.
func writeError(c *fasthttp.RequestCtx, err error) {
	writeFailure(c, Failure{Kind: problem.Of(err), Detail: problem.Detail(err)})
}

func writeFailure(c *fasthttp.RequestCtx, failure Failure) {
	writeJSON(c, failure.Kind.Answer().HTTPStatus, withRetriable(failure))
}

func writeJSON(c *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(body)
}
