// Package caller is the HTTP interface to callers.
//
//	POST /v1/pipelines/{name}/runs   runs a pipeline under a tier
//	POST /v1/tickets                 issues a ticket for one non-idempotent request
//	GET  /v1/requests/{id}           returns what is known of a request
//	GET  /healthz, /readyz           for the balancer
//
// # Usage
//
//	front := &caller.Front{Service: service, MaxBodyBytes: 4 << 20}
//	err := front.Serve(ctx, listener)
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

// Headers of the interface.
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

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 200

// RunBody is the body of a request to run a pipeline.
type RunBody struct {
	Tier  string
	Input string
	// Stream asks for the answer in frames as it is produced.
	Stream bool
	// Async asks for an ID at once and the answer later.
	Async bool
}

// Call is one admitted call.
type Call struct {
	Account  account.Account
	Pipeline string
	Key      string
	Body     RunBody
	// ID is the ID of the request.
	ID string
}

// Failure is the body of every answer that is not a success.
type Failure struct {
	Kind      problem.Kind
	Detail    string
	Retriable bool
	// NotRun states that no stage was or will be sent.
	NotRun    request.NotRun
	RequestID string `json:",omitempty"`
}

// Service runs what callers ask for.
type Service interface {
	// Authenticate returns the account of a bearer token or of the account header.
	Authenticate(token, header string) (account.Account, error)
	// NewRequestID returns an ID for the next request.
	NewRequestID() string
	// Run runs the pipeline; sink receives the texts of a streamed answer.
	Run(ctx context.Context, run Call, sink func([]byte) error) (body []byte, failure *Failure)
	// Accept makes an asynchronous request durable and returns its ID.
	Accept(ctx context.Context, run Call) (id string, failure *Failure)
	// Ticket issues a ticket.
	Ticket() (string, error)
	// Lookup returns what is known of a request of the account.
	Lookup(ctx context.Context, account, id string) ([]byte, error)
	// Ready reports whether the balancer may send requests.
	Ready() bool
}

// Server serves callers.
type Server struct {
	Service      Service
	MaxBodyBytes int
}

// Serve answers calls until the context ends, then finishes those in flight.
func (f *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		Handler:               f.handle,
		ErrorHandler:          refuseMalformed,
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

func refuseMalformed(c *fasthttp.RequestCtx, err error) {
	var sends request.SendRecord
	refuse(c, Failure{Kind: problem.Invalid, Detail: err.Error(), NotRun: sends.Seal()})
}

func (f *Server) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	if !f.Service.Ready() {
		c.SetConnectionClose() // so that no request is on its way when the listener closes
	}
	switch {
	case path == "/healthz":
		c.SetBodyString("ok")
	case path == "/readyz":
		f.ready(c)
	case path == ticketsPath && c.IsPost():
		f.ticket(c)
	case strings.HasPrefix(path, runsPrefix) && strings.HasSuffix(path, runsSuffix) && c.IsPost():
		f.run(c, strings.TrimSuffix(strings.TrimPrefix(path, runsPrefix), runsSuffix))
	case strings.HasPrefix(path, requestsPrefix) && c.IsGet():
		f.lookup(c, strings.TrimPrefix(path, requestsPrefix))
	default:
		refuseError(c, problem.New(problem.NotFound, "%s %s", c.Method(), path))
	}
}

func (f *Server) ready(c *fasthttp.RequestCtx) {
	if f.Service.Ready() {
		c.SetBodyString("ready")
		return
	}
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	c.SetBodyString("not ready")
}

func (f *Server) authenticate(c *fasthttp.RequestCtx) (account.Account, error) {
	token := strings.TrimPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	return f.Service.Authenticate(token, string(c.Request.Header.Peek(AccountHeader)))
}

func (f *Server) ticket(c *fasthttp.RequestCtx) {
	if _, err := f.authenticate(c); err != nil {
		refuseError(c, err)
		return
	}
	ticket, err := f.Service.Ticket()
	if err != nil {
		refuseError(c, err)
		return
	}
	answer(c, fasthttp.StatusOK, struct{ Ticket string }{ticket})
}

func (f *Server) lookup(c *fasthttp.RequestCtx, id string) {
	owner, err := f.authenticate(c)
	if err != nil {
		refuseError(c, err)
		return
	}
	body, err := f.Service.Lookup(context.Background(), owner.Name, id)
	if err != nil {
		refuseError(c, err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

func (f *Server) run(c *fasthttp.RequestCtx, pipeline string) {
	run, err := f.parse(c, pipeline)
	if err != nil {
		f.refuseEarly(c, run, err)
		return
	}
	c.Response.Header.Set(RequestHeader, run.ID)
	switch {
	case run.Body.Async:
		f.accept(c, run)
	case run.Body.Stream:
		f.stream(c, run)
	default:
		body, failure := f.Service.Run(context.Background(), run, nil)
		if failure != nil {
			refuse(c, *failure)
			return
		}
		c.SetContentType("application/json")
		c.SetBody(body)
	}
}

// refuseEarly refuses a call that was not handed to the service. With a key nothing is
// said about its earlier use.
func (f *Server) refuseEarly(c *fasthttp.RequestCtx, run Call, err error) {
	failure := Failure{Kind: problem.Of(err), Detail: problem.Detail(err), RequestID: run.ID}
	if run.Key == "" {
		var sends request.SendRecord
		failure.NotRun = sends.Seal()
	}
	refuse(c, failure)
}

func (f *Server) parse(c *fasthttp.RequestCtx, pipeline string) (Call, error) {
	run := Call{Pipeline: pipeline, Key: string(c.Request.Header.Peek(KeyHeader))}
	owner, err := f.authenticate(c)
	if err != nil {
		return run, err
	}
	run.Account = owner
	if len(run.Key) > maxKeyBytes || strings.Contains(run.Key, "/") {
		return run, problem.New(problem.Invalid, "header %s: allowed are up to %d bytes without slashes", KeyHeader, maxKeyBytes)
	}
	body, err := f.body(c)
	if err != nil {
		return run, err
	}
	if err := json.Unmarshal(body, &run.Body); err != nil {
		return run, problem.New(problem.Invalid, "body: %v", err)
	}
	if run.Body.Stream && run.Body.Async {
		return run, problem.New(problem.Invalid, "body: Stream and Async exclude each other")
	}
	run.ID = f.Service.NewRequestID()
	return run, nil
}

// maxDrainBytes is how much of an oversized body is read and dropped, so that the
// caller sees the answer and not a broken connection.
const maxDrainBytes = 256 << 20

// body reads the body up to the limit.
func (f *Server) body(c *fasthttp.RequestCtx) ([]byte, error) {
	stream := c.RequestBodyStream()
	if stream == nil {
		return c.PostBody(), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(f.MaxBodyBytes)+1))
	if err != nil {
		return nil, problem.New(problem.Invalid, "body: %v", err)
	}
	if len(body) > f.MaxBodyBytes {
		_, _ = io.CopyN(io.Discard, stream, maxDrainBytes)
		return nil, problem.New(problem.TooLarge, "body is larger than %d bytes", f.MaxBodyBytes)
	}
	return body, nil
}

func (f *Server) accept(c *fasthttp.RequestCtx, run Call) {
	id, failure := f.Service.Accept(context.Background(), run)
	if failure != nil {
		refuse(c, *failure)
		return
	}
	answer(c, fasthttp.StatusAccepted, struct{ RequestID string }{id})
}

// stream writes the answer in frames. A failure after the first text ends the stream
// with a frame that carries the failure in place of the end mark.
func (f *Server) stream(c *fasthttp.RequestCtx, run Call) {
	texts := make(chan []byte)
	type end struct {
		body    []byte
		failure *Failure
	}
	ended := make(chan end, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(texts)
		body, failure := f.Service.Run(ctx, run, func(text []byte) error {
			select {
			case texts <- append([]byte(nil), text...):
				return nil
			case <-ctx.Done():
				return problem.New(problem.Cancelled, "the caller gave up")
			}
		})
		ended <- end{body, failure}
	}()
	first, open := <-texts
	var last end
	if !open {
		last = <-ended
	}
	if last.failure != nil {
		cancel()
		refuse(c, *last.failure)
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
			_ = encoder.Encode(struct{ Failure Failure }{complete(*last.failure)})
			return
		}
		_ = encoder.Encode(struct{ End json.RawMessage }{last.body})
	})
}

func complete(failure Failure) Failure {
	failure.Retriable = failure.Kind.Answer().Retriable
	return failure
}

func refuseError(c *fasthttp.RequestCtx, err error) {
	refuse(c, Failure{Kind: problem.Of(err), Detail: problem.Detail(err)})
}

func refuse(c *fasthttp.RequestCtx, failure Failure) {
	answer(c, failure.Kind.Answer().HTTPStatus, complete(failure))
}

func answer(c *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(body)
}
