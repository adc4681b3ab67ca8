// Package link sends attempts to targets over connections that are bound to one
// incarnation of the target, which identifies one start of its process.
//
// A TCP connection is closed when the target's process ends. A new connection first
// requests the target's report; from then on, work sent over it can only reach the
// incarnation that sent the report. A target that restarts cold is therefore never
// mistaken for the warm incarnation that it replaced. The report also shows that the
// connection works before a non-idempotent attempt, which always uses a new connection and
// is never repeated.
//
// # Usage
//
//	conn, err := pool.Dial(ctx, contract) // or pool.Get(contract)
//	result, err := conn.Send(ctx, attempt, func(text []byte) error { ... })
//	pool.Put(conn) // or pool.Close(conn) after an error
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
	"github.com/sequoiapick/sequoiapick/internal/head"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// The paths and headers of a target's HTTP interface.
const (
	// StagePath is followed by the kind of the attempt.
	StagePath     = "/v1/stages/"
	ReportPath    = "/v1/report"
	OrderPath     = "/v1/order"
	AttemptHeader = "Attempt-Id"
	RequestHeader = "Request-Id"
	StageHeader   = "Stage-Name"
	// PriorityHeader carries Attempt.Priority.
	PriorityHeader = "Priority"
	// BudgetHeader carries the time left until the deadline, in milliseconds.
	BudgetHeader = "Budget-Ms"
	// ReportHeader carries a target.Report as JSON in an answer.
	ReportHeader = "Target-Report"
)

// Bounds of connections.
const (
	// ReportTimeout is the maximum time for a dial and the first report together, or for a
	// later report.
	ReportTimeout = time.Second
	// MaxIdleTime is the idle time after which a connection is no longer reused.
	MaxIdleTime = 5 * time.Second
	// MaxAnswerBytes is the maximum length of the texts of one answer, which are kept as the input of the next
	// stage.
	MaxAnswerBytes = 16 << 20
	// MaxIdleConnsPerTarget is the maximum number of idle connections to one address.
	MaxIdleConnsPerTarget = 64
)

// Attempt is one send of a stage of a request to a target.
type Attempt struct {
	ID        string
	RequestID string
	// Stage is the name of the stage.
	Stage string
	// Kind is the kind of work, such as "llm"; it is part of the path.
	Kind  string
	Input []byte
	// Priority is the time left in milliseconds when the attempt is made. Targets treat the
	// lowest number as the most urgent.
	Priority int
}

// Result describes a complete answer.
type Result struct {
	// Bytes and Tokens are the size of the answer as stated by the target.
	Bytes  int64
	Tokens int64
	// Report is the newest report of the target.
	Report target.Report
}

// Order is an administrative command to a target. It is unrelated to datacentre.Order.
type Order struct {
	// Action is what the target is to do, such as "LoadModel".
	Action string
	// Argument is the argument of the action, such as the name of a model.
	Argument string
	// Fencing is the fencing number, which increases with each order to the target; a target
	// that checks it rejects a lower number than the highest that it has received.
	Fencing uint64
}

// SendError is a failed attempt, or a failed dial or report before it.
type SendError struct {
	// NotSent reports that no byte of the attempt was sent.
	NotSent bool
	// GuardianUnreachable reports that the call to the guardian, which was to send the
	// attempt, failed.
	GuardianUnreachable bool
	Err                 error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// NotSent reports whether the error proves that no byte of the attempt was sent.
func NotSent(err error) bool {
	var e *SendError
	return errors.As(err, &e) && e.NotSent
}

// GuardianUnreachable reports whether the attempt failed in the call to the guardian.
func GuardianUnreachable(err error) bool {
	var e *SendError
	return errors.As(err, &e) && e.GuardianUnreachable
}

// Conn is a connection that is bound to one incarnation of a target.
type Conn struct {
	// Report is the newest report received over the connection. ReportRequestedAt is when the
	// exchange that brought it began; the target has made the report after that.
	Report            target.Report
	ReportRequestedAt time.Time

	contract  target.Target
	netConn   net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// incomplete reports that an attempt may have been sent whose answer wasn't received
	// completely.
	incomplete bool
}

// Pool holds idle connections to targets. The zero value is ready to use and safe for
// concurrent use.
type Pool struct {
	// LocalAddress is the source IP address of connections; empty means any.
	LocalAddress string

	mu sync.Mutex
	// idle holds the idle connections by address, the latest returned last.
	idle map[string][]*Conn
}

// Get removes and returns an idle connection to the target, or returns nil if there is none.
func (p *Pool) Get(contract target.Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[contract.Address]
	for len(conns) > 0 {
		conn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.idle[contract.Address] = conns
		if time.Since(conn.idleSince) < MaxIdleTime {
			conn.contract = contract
			return conn
		}
		_ = conn.netConn.Close()
	}
	return nil
}

// Dial returns a new connection over which the target has sent its report. If it fails,
// nothing but the request for the report was sent.
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
	conn := &Conn{contract: contract, netConn: c, reader: bufio.NewReader(c), writer: bufio.NewWriter(c)}
	if err := conn.fetchReport(ctx); err != nil {
		_ = c.Close()
		return nil, notSent("first report", err)
	}
	return conn, nil
}

// FetchReport requests the target's report, over an idle connection if there is one. It
// returns the connection, whose Report is the new one; the caller must call Put or Close.
func (p *Pool) FetchReport(ctx context.Context, contract target.Target) (*Conn, error) {
	conn := p.Get(contract)
	if conn == nil {
		return p.Dial(ctx, contract)
	}
	ctx, cancel := context.WithTimeout(ctx, ReportTimeout)
	defer cancel()
	if err := conn.fetchReport(ctx); err != nil {
		p.Close(conn)
		return nil, notSent("report", err)
	}
	return conn, nil
}

// Put returns a connection to the pool. It closes the connection instead if the last
// answer is incomplete, if unexpected bytes have arrived, or if the target doesn't return
// the attempt ID, so that a late answer couldn't be told from the next one.
func (p *Pool) Put(conn *Conn) {
	if conn.incomplete || conn.reader.Buffered() > 0 || !conn.contract.EchoesAttempt {
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
		_ = conn.netConn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.idle[address] = append(p.idle[address], conn)
}

// Close closes a connection.
func (p *Pool) Close(conn *Conn) {
	_ = conn.netConn.Close()
}

// CloseIdle closes every idle connection to the address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[address] {
		_ = conn.netConn.Close()
	}
	delete(p.idle, address)
}

// notSent returns a *SendError that reports that no byte of the attempt was sent.
func notSent(context string, err error) error {
	return &SendError{NotSent: true, Err: problem.New(problem.Unavailable, "%s: %v", context, err)}
}

// fetchReport requests the target's report over the connection and stores it in Report.
func (c *Conn) fetchReport(ctx context.Context) error {
	requestedAt := time.Now()
	body, err := c.exchange(ctx, fasthttp.MethodGet, ReportPath, nil)
	if err != nil {
		return err
	}
	c.ReportRequestedAt = requestedAt
	return json.Unmarshal(body, &c.Report)
}

// SendOrder sends an order and reports whether the target rejected its fencing number. After
// an error the target may have carried the order out.
func (c *Conn) SendOrder(ctx context.Context, order Order) (rejected bool, err error) {
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

// exchange sends an HTTP request and returns the body of its response. Status 409 is a
// Conflict error, any other than 200 an Unavailable error.
func (c *Conn) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	stop := c.bindContext(ctx)
	defer stop()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.contract.Address + path)
	request.SetBody(body)
	if err := c.write(request); err != nil {
		return nil, err
	}
	if _, err := head.AwaitAnswer(c.reader); err != nil {
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
		return nil, problem.New(problem.Conflict, "%s: rejected with status 409", path)
	default:
		return nil, problem.New(problem.Unavailable, "%s: status %d", path, response.StatusCode())
	}
}

// write sends the request and flushes the writer.
func (c *Conn) write(request *fasthttp.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// bindContext applies the deadline of the context to the connection and closes the
// connection when the context ends. The caller must call the returned function when the
// exchange is over.
func (c *Conn) bindContext(ctx context.Context) func() bool {
	deadline, _ := ctx.Deadline()
	_ = c.netConn.SetDeadline(deadline)
	return context.AfterFunc(ctx, func() { _ = c.netConn.Close() })
}

// Send sends one attempt and passes each part of the answer's text to sink. The answer is
// complete only if Send returns no error. After an error for which NotSent is false, the
// target may have run the attempt.
func (c *Conn) Send(ctx context.Context, attempt Attempt, sink func(text []byte) error) (Result, error) {
	if ctx.Err() != nil {
		return Result{}, notSent("send", ctx.Err())
	}
	c.incomplete = true
	sentAt := time.Now()
	stop := c.bindContext(ctx)
	defer stop()
	if err := c.write(c.newRequest(ctx, attempt)); err != nil {
		return Result{}, sendFailed("send", err)
	}
	if _, err := head.AwaitAnswer(c.reader); err != nil {
		return Result{}, sendFailed("answer", err)
	}
	response := &fasthttp.Response{StreamBody: true}
	if err := response.ReadLimitBody(c.reader, frame.MaxLineBytes); err != nil {
		return Result{}, sendFailed("answer", err)
	}
	if err := c.checkAnswer(response, attempt, sentAt); err != nil {
		return Result{}, err
	}
	result, err := c.receiveAnswer(response, attempt, sink)
	if err != nil {
		return Result{}, err
	}
	c.incomplete = false
	return result, nil
}

// newRequest returns the HTTP request of the attempt. The budget header carries the time
// until the deadline in milliseconds.
func (c *Conn) newRequest(ctx context.Context, attempt Attempt) *fasthttp.Request {
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

// checkAnswer verifies the status and the attempt ID of the answer before its body is used,
// and stores the report that it carries. The attempt was sent at sentAt.
func (c *Conn) checkAnswer(response *fasthttp.Response, attempt Attempt, sentAt time.Time) error {
	if report := response.Header.Peek(ReportHeader); len(report) > 0 {
		c.ReportRequestedAt = sentAt
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

// receiveAnswer reads the frames of the answer up to its end frame and passes their text to
// sink.
func (c *Conn) receiveAnswer(response *fasthttp.Response, attempt Attempt, sink func([]byte) error) (Result, error) {
	stream := response.BodyStream()
	if stream == nil {
		return Result{}, &SendError{Err: problem.New(problem.TargetFailed, "answer without a body")}
	}
	reader := frame.NewReader(stream)
	size := 0
	for {
		f, err := reader.Next()
		if err != nil {
			return Result{}, sendFailed("answer", err)
		}
		if size += len(f.Text); size > MaxAnswerBytes {
			return Result{}, &SendError{Err: problem.New(problem.TargetFailed, "the answer has more than %d bytes", MaxAnswerBytes)}
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
			return Result{}, sendFailed("answer", err)
		}
		return Result{Bytes: f.End.Bytes, Tokens: f.End.Tokens, Report: c.Report}, nil
	}
}

// sendFailed returns the *SendError of an attempt that may have run. It retains the kind of
// a problem.Error; any other error becomes Unavailable.
func sendFailed(context string, err error) error {
	kind := problem.Unavailable
	if e := (*problem.Error)(nil); errors.As(err, &e) {
		kind = e.Kind
	}
	return &SendError{Err: problem.New(kind, "%s: %v", context, err)}
}
