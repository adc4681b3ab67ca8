// Package link sends attempts to targets over connections that are bound to one
// incarnation of the target.
//
// A connection ends with the process behind it. A new connection first asks for the
// target's report; from then on, work sent over it can only reach the incarnation that
// reported. A target that restarts cold is therefore never taken for the warm one that
// it replaced. The same question proves the connection alive before a non-idempotent
// attempt, which always gets a new connection and is never repeated.
//
// # Usage
//
//	conn, err := pool.Dial(ctx, contract) // or pool.Take(contract)
//	result, err := conn.Send(ctx, attempt, func(text []byte) error { ... })
//	pool.Close(conn) or pool.Keep(conn)
package link

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/frame"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// The paths and headers of a target's HTTP interface.
const (
	StagePath      = "/v1/stages/"
	ReportPath     = "/v1/report"
	OrderPath      = "/v1/order"
	AttemptHeader  = "Attempt-Id"
	RequestHeader  = "Request-Id"
	StageHeader    = "Stage-Name"
	PriorityHeader = "Priority"
	BudgetHeader   = "Budget-Ms"
	ReportHeader   = "Target-Report"
)

// Bounds of a connection.
const (
	// ReportTimeout bounds the dial and the first report of a connection.
	ReportTimeout = time.Second
	// MaxIdleTime is the time after which an idle connection is no longer reused.
	MaxIdleTime = 5 * time.Second
	// MaxIdleConnsPerTarget bounds the idle connections to one target.
	MaxIdleConnsPerTarget = 64
)

// Attempt is one send of one stage.
type Attempt struct {
	ID        string
	RequestID string
	Stage     string
	Kind      string
	Input     []byte
	Priority  int
}

// Result is the end of a whole answer.
type Result struct {
	Bytes  int64
	Tokens int64
	Report target.Report
}

// Order is an order to a target.
type Order struct {
	Action   string
	Argument string
	Fencing  uint64
}

// SendError is a failed attempt.
type SendError struct {
	// NotSent says that no byte of the attempt has left.
	NotSent bool
	// GuardianUnreachable says that the daemon that was to send the attempt can't be reached.
	GuardianUnreachable bool
	Err                 error
}

// Error returns what failed.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// NotSent reports whether the error proves that no byte of the attempt has left.
func NotSent(err error) bool {
	var e *SendError
	return errors.As(err, &e) && e.NotSent
}

// GuardianUnreachable reports whether the attempt failed on the way to another daemon.
func GuardianUnreachable(err error) bool {
	var e *SendError
	return errors.As(err, &e) && e.GuardianUnreachable
}

// Conn is a connection that is bound to one incarnation of a target.
type Conn struct {
	// Report is the newest report that came over the connection.
	Report target.Report

	contract target.Target
	net      net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	idle     time.Time
	spoiled  bool
}

// Pool keeps idle connections to targets; the zero value works.
type Pool struct {
	// LocalAddress is the IP address that connections come from; empty lets the system
	// choose.
	LocalAddress string

	mu   sync.Mutex
	idle map[string][]*Conn
}

// Get returns an idle connection to the target, or nil if there is none.
func (p *Pool) Get(contract target.Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[contract.Address]
	for len(conns) > 0 {
		conn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.idle[contract.Address] = conns
		if time.Since(conn.idle) < MaxIdleTime {
			conn.contract = contract
			return conn
		}
		_ = conn.net.Close()
	}
	return nil
}

// Dial returns a new connection that has carried the target's report. An error proves
// that nothing but the question for the report was sent.
func (p *Pool) Dial(ctx context.Context, contract target.Target) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, ReportTimeout)
	defer cancel()
	var dialer net.Dialer
	if p.LocalAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.LocalAddress)}
	}
	c, err := dialer.DialContext(ctx, "tcp", contract.Address)
	if err != nil {
		return nil, notSent("dial", err)
	}
	conn := &Conn{contract: contract, net: c, reader: bufio.NewReader(c), writer: bufio.NewWriter(c)}
	if err := conn.prove(ctx); err != nil {
		_ = c.Close()
		return nil, notSent("first report", err)
	}
	return conn, nil
}

// FetchReport asks the target for its report, over an idle connection if there is one.
func (p *Pool) FetchReport(ctx context.Context, contract target.Target) (*Conn, error) {
	conn := p.Get(contract)
	if conn == nil {
		return p.Dial(ctx, contract)
	}
	ctx, cancel := context.WithTimeout(ctx, ReportTimeout)
	defer cancel()
	if err := conn.prove(ctx); err != nil {
		p.Close(conn)
		return nil, notSent("report", err)
	}
	return conn, nil
}

// Put returns a connection after a whole answer. It is closed instead if anything
// unasked arrived on it, or if the target doesn't say which attempt it answers.
func (p *Pool) Put(conn *Conn) {
	if conn.spoiled || conn.reader.Buffered() > 0 || !conn.contract.EchoesAttempt {
		p.Close(conn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	address := conn.contract.Address
	if len(p.idle[address]) >= MaxIdleConnsPerTarget {
		_ = conn.net.Close()
		return
	}
	conn.idle = time.Now()
	p.idle[address] = append(p.idle[address], conn)
}

// Close ends a connection.
func (p *Pool) Close(conn *Conn) {
	_ = conn.net.Close()
}

// CloseIdle closes every idle connection to the address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[address] {
		_ = conn.net.Close()
	}
	delete(p.idle, address)
}

func notSent(context string, err error) error {
	return &SendError{NotSent: true, Err: problem.New(problem.Unavailable, "%s: %v", context, err)}
}

// prove asks for the target's report.
func (c *Conn) prove(ctx context.Context) error {
	body, err := c.exchange(ctx, fasthttp.MethodGet, ReportPath, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, &c.Report)
}

// SendOrder sends an order and reports whether the target refused its fencing number.
func (c *Conn) SendOrder(ctx context.Context, order Order) (refused bool, err error) {
	body, err := json.Marshal(order)
	if err != nil {
		return false, problem.New(problem.Internal, "encode order: %v", err)
	}
	_, err = c.exchange(ctx, fasthttp.MethodPost, OrderPath, body)
	if problem.Of(err) == problem.Conflict {
		return true, nil
	}
	return false, err
}

func (c *Conn) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	stop := c.watch(ctx)
	defer stop()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.contract.Address + path)
	request.SetBody(body)
	if err := c.write(request); err != nil {
		return nil, err
	}
	var response fasthttp.Response
	if err := response.ReadLimitBody(c.reader, frame.MaxLineBytes); err != nil {
		return nil, err
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return response.Body(), nil
	case fasthttp.StatusConflict:
		return nil, problem.New(problem.Conflict, "%s: refused", path)
	default:
		return nil, problem.New(problem.Unavailable, "%s: status %d", path, response.StatusCode())
	}
}

func (c *Conn) write(request *fasthttp.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// watch applies the deadline of the context and closes the connection when it is cancelled.
func (c *Conn) watch(ctx context.Context) func() bool {
	deadline, _ := ctx.Deadline()
	_ = c.net.SetDeadline(deadline)
	return context.AfterFunc(ctx, func() { _ = c.net.Close() })
}

// Send sends one attempt and passes each text of the answer to sink. The answer is
// whole only if Send returns no error. Every error but one with NotSent leaves it
// open whether the target ran the attempt.
func (c *Conn) Send(ctx context.Context, attempt Attempt, sink func(text []byte) error) (Result, error) {
	if ctx.Err() != nil {
		return Result{}, notSent("send", ctx.Err())
	}
	c.spoiled = true
	stop := c.watch(ctx)
	defer stop()
	if err := c.write(c.request(ctx, attempt)); err != nil {
		return Result{}, failed("send", err)
	}
	response := &fasthttp.Response{StreamBody: true}
	if err := response.ReadLimitBody(c.reader, frame.MaxLineBytes); err != nil {
		return Result{}, failed("answer", err)
	}
	if err := c.check(response, attempt); err != nil {
		return Result{}, err
	}
	result, err := c.receive(response, attempt, sink)
	if err != nil {
		return Result{}, err
	}
	c.spoiled = false
	return result, nil
}

func (c *Conn) request(ctx context.Context, attempt Attempt) *fasthttp.Request {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + c.contract.Address + StagePath + attempt.Kind)
	request.Header.Set(AttemptHeader, attempt.ID)
	request.Header.Set(RequestHeader, attempt.RequestID)
	request.Header.Set(StageHeader, attempt.Stage)
	request.Header.Set(PriorityHeader, strconv.Itoa(attempt.Priority))
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(BudgetHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	request.SetBodyRaw(attempt.Input)
	return request
}

// check verifies the status and the owner of the answer before any of it is used.
func (c *Conn) check(response *fasthttp.Response, attempt Attempt) error {
	if report := response.Header.Peek(ReportHeader); len(report) > 0 {
		_ = json.Unmarshal(report, &c.Report)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return &SendError{Err: problem.New(problem.TargetFailed, "status %d", status)}
	}
	if !c.contract.EchoesAttempt {
		return nil
	}
	if echoed := string(response.Header.Peek(AttemptHeader)); echoed != attempt.ID {
		return &SendError{Err: problem.New(problem.TargetFailed, "answer belongs to attempt %q", echoed)}
	}
	return nil
}

func (c *Conn) receive(response *fasthttp.Response, attempt Attempt, sink func([]byte) error) (Result, error) {
	stream := response.BodyStream()
	if stream == nil {
		return Result{}, &SendError{Err: problem.New(problem.TargetFailed, "answer without a body")}
	}
	reader := frame.NewReader(stream)
	for {
		f, err := reader.Next()
		if err != nil {
			return Result{}, failed("answer", err)
		}
		if f.End == nil {
			if err := sink([]byte(f.Text)); err != nil {
				return Result{}, &SendError{Err: err}
			}
			continue
		}
		if c.contract.EchoesAttempt && f.End.Attempt != attempt.ID {
			return Result{}, &SendError{Err: problem.New(problem.TargetFailed, "end mark belongs to attempt %q", f.End.Attempt)}
		}
		if err := reader.Finish(); err != nil {
			return Result{}, failed("answer", err)
		}
		return Result{Bytes: f.End.Bytes, Tokens: f.End.Tokens, Report: c.Report}, nil
	}
}

func failed(context string, err error) error {
	kind := problem.Unavailable
	if e := (*problem.Error)(nil); errors.As(err, &e) {
		kind = e.Kind
	}
	return &SendError{Err: problem.New(kind, "%s: %v", context, err)}
}
