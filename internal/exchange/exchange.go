// Package exchange sends one HTTP/1.1 request at a time over pooled connections to
// targets and reads the answer to exactly that request.
//
// Targets echo the ID of the attempt. An extra answer to an earlier request may stand
// where the next one is expected; it is read and dropped by its ID. A connection is
// pooled again only after a whole answer with nothing behind it, and after the whole
// request body has been written.
//
// # Usage
//
//	conn, err := pool.Open(ctx, "10.0.0.7:8080", exchange.Use{Reuse: exchange.Fresh})
//	answer, err := conn.Do(ctx, exchange.Request{Head: head, Body: body, AttemptID: id})
//	_, err = io.Copy(w, answer.Body) // io.ErrUnexpectedEOF if it isn't whole
//	pool.Release(conn)
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

// Bounds of connections.
const (
	// DialTimeout bounds the opening of a connection; one lost packet is sent again after
	// a second, and another target is the better choice by then.
	DialTimeout = 700 * time.Millisecond
	// MaxIdle is the time after which an idle connection is closed, below the idle time of
	// common servers.
	MaxIdle = 4 * time.Second
	// idleMargin is how long before the time that a target names a connection is given up.
	idleMargin = 500 * time.Millisecond
	// MaxIdlePerTarget bounds the idle connections to one target.
	MaxIdlePerTarget = 8
	// unackedLimit closes a connection whose bytes aren't acknowledged for that long.
	unackedLimit = 1500 * time.Millisecond
	// probeInterval is the time between probes of a connection on which nothing is sent.
	probeInterval = time.Second
	// maxExtraAnswers bounds the answers of other requests that are dropped before the
	// awaited one.
	maxExtraAnswers = 4
	// maxExtraBytes bounds the body of such an answer.
	maxExtraBytes = 1 << 20
	// headBytes is the size of the read buffer, and so the largest head of an answer.
	headBytes = 8 << 10
	// asideBytes is the body size above which the body is written beside the reading of the
	// answer, since a target may answer before it has read all.
	asideBytes = 32 << 10
	// bodyGrace is the time for which a connection waits for its request body to be written
	// after the answer was read.
	bodyGrace = time.Second
)

// Reuse says which connections may carry a request.
type Reuse int

const (
	// Pooled allows an idle connection.
	Pooled Reuse = iota
	// Fresh wants a new connection, for requests that must not be sent twice: an idle one
	// may have gone silent, and then nobody can tell whether the request arrived.
	Fresh
)

// SendError is a failed exchange.
type SendError struct {
	// NotSent says that no byte of the request has left.
	NotSent bool
	// Reused says that the connection had carried other requests before.
	Reused bool
	Err    error
}

// Error returns what failed.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// NotSent reports whether the error proves that no byte of the request has left.
func NotSent(err error) bool {
	var e *SendError
	return errors.As(err, &e) && e.NotSent
}

// Stale reports whether the exchange failed on a connection that had carried other
// requests before, which the target may just have closed.
func Stale(err error) bool {
	var e *SendError
	return errors.As(err, &e) && e.Reused
}

// Request is one request as it goes over the wire.
type Request struct {
	Head []byte
	Body []byte
	// AttemptID is expected in the answer; empty expects none.
	AttemptID string
	// FirstByte bounds the wait for the head of the answer; 0 means no bound.
	FirstByte time.Duration
	// Stall bounds the wait for each part of the body; 0 means no bound.
	Stall time.Duration
	// NoBody says that the answer has no body, whatever its head says.
	NoBody bool
}

// Answer is the head of an answer and its body.
type Answer struct {
	Header fasthttp.ResponseHeader
	Head   platform.Answer
	// Body ends with io.EOF if the answer is whole and with io.ErrUnexpectedEOF otherwise.
	Body io.Reader
	// Length is the length of the body, negative if it isn't known.
	Length int
}

// Conn is one connection to a target.
type Conn struct {
	Address string

	// share is the number of connections to the address that were asked for.
	share  int
	net    net.Conn
	reader *bufio.Reader
	reused bool
	// whole says that the last exchange left the connection at the start of the next.
	whole bool
	// idleFor is how long the target keeps the connection open without a request.
	idleFor  time.Duration
	idleTill time.Time
	sent     chan error
	deadline time.Time
	// stop ends the watch over the context of the last exchange.
	stop func() bool
}

// Pool keeps idle connections; the zero value with a clock works.
type Pool struct {
	Clock clockwork.Clock
	// LocalAddress is the IP address that connections come from; empty lets the system
	// choose.
	LocalAddress string
	// Opened is called for each new connection, if set.
	Opened func(address string)

	mu        sync.Mutex
	addresses map[string]*connections
}

// connections are those to one address.
type connections struct {
	idle []*Conn
	busy int
}

// Use says how a connection may be used.
type Use struct {
	Reuse Reuse
	// Share is the number of connections that this daemon should have to the address at a
	// time, idle ones included; 0 means no bound.
	Share int
}

// Open returns a connection to the address. Its error proves that nothing was sent.
func (p *Pool) Open(ctx context.Context, address string, use Use) (*Conn, error) {
	if conn := p.take(address, use); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	dialer := net.Dialer{Control: control}
	if p.LocalAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.LocalAddress)}
	}
	if p.Opened != nil {
		p.Opened(address)
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.ended(address)
		return nil, &SendError{NotSent: true, Err: problem.New(problem.Unavailable, "dial %s: %v", address, err)}
	}
	return &Conn{Address: address, net: c, reader: bufio.NewReaderSize(c, headBytes), share: use.Share}, nil
}

// ended counts a connection that is no longer in use.
func (p *Pool) ended(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(address)
}

func (p *Pool) end(address string) {
	if a := p.addresses[address]; a != nil {
		a.busy--
		if a.busy <= 0 && len(a.idle) == 0 {
			delete(p.addresses, address)
		}
	}
}

// control makes the system notice a connection that has gone silent.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeInterval.Seconds())),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeInterval.Seconds())),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2),
		)
	})
	return errors.Join(err, failed)
}

// take counts a connection as in use and returns an idle one if it may be used. If there
// is none, idle ones make place for a new one inside the share.
func (p *Pool) take(address string, use Use) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses == nil {
		p.addresses = map[string]*connections{}
	}
	a := p.addresses[address]
	if a == nil {
		a = &connections{}
		p.addresses[address] = a
	}
	a.busy++
	now := p.Clock.Now()
	for use.Reuse == Pooled && len(a.idle) > 0 {
		conn := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		if now.Before(conn.idleTill) && conn.quiet() {
			conn.reused = true
			conn.share = use.Share
			return conn
		}
		_ = conn.net.Close()
	}
	for use.Share > 0 && len(a.idle) > 0 && a.busy+len(a.idle) > use.Share {
		_ = a.idle[0].net.Close()
		a.idle = a.idle[1:]
	}
	return nil
}

// quiet reports whether the connection is open and nothing has arrived on it.
func (c *Conn) quiet() bool {
	tcp, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Release pools the connection if its last exchange was whole, and closes it otherwise.
func (p *Pool) Release(conn *Conn) {
	if conn.stop != nil && !conn.stop() {
		p.drop(conn)
		return
	}
	conn.stop = nil
	if conn.sent != nil {
		go p.releaseSent(conn)
		return
	}
	p.keep(conn)
}

// releaseSent waits for the rest of the request body before the connection is pooled; it
// ends within bodyGrace.
func (p *Pool) releaseSent(conn *Conn) {
	timer := time.NewTimer(bodyGrace)
	defer timer.Stop()
	select {
	case err := <-conn.sent:
		conn.whole = conn.whole && err == nil
	case <-timer.C:
		conn.whole = false
	}
	conn.sent = nil
	p.keep(conn)
}

// drop closes a connection that was in use.
func (p *Pool) drop(conn *Conn) {
	_ = conn.net.Close()
	p.ended(conn.Address)
}

func (p *Pool) keep(conn *Conn) {
	if !conn.whole || conn.reader.Buffered() > 0 {
		p.drop(conn)
		return
	}
	_ = conn.net.SetDeadline(time.Time{})
	conn.idleTill = p.Clock.Now().Add(conn.idleFor)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addresses[conn.Address]
	if len(a.idle) >= MaxIdlePerTarget || conn.share > 0 && a.busy+len(a.idle) > conn.share {
		_ = conn.net.Close()
		p.end(conn.Address)
		return
	}
	a.busy--
	a.idle = append(a.idle, conn)
}

// Discard closes the connection.
func (p *Pool) Discard(conn *Conn) {
	if conn.stop != nil {
		conn.stop()
	}
	p.drop(conn)
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for address, a := range p.addresses {
		kept := a.idle[:0]
		for _, conn := range a.idle {
			if now.Before(conn.idleTill) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.net.Close()
		}
		a.idle = kept
		if len(kept) == 0 && a.busy <= 0 {
			delete(p.addresses, address)
		}
	}
}

// Do sends the request and returns the head of its answer. The connection is closed when
// the context ends, which also ends the reading of the body; the caller must Release or
// Discard it. An error without NotSent leaves open whether the target runs the request.
func (c *Conn) Do(ctx context.Context, r Request) (*Answer, error) {
	c.whole = false
	if ctx.Err() != nil {
		return nil, &SendError{NotSent: true, Reused: c.reused, Err: problem.New(problem.Cancelled, "send: %v", context.Cause(ctx))}
	}
	c.deadline, _ = ctx.Deadline()
	_ = c.net.SetDeadline(c.deadline)
	c.stop = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	if err := c.send(r); err != nil {
		return nil, c.failed("send", err)
	}
	if r.FirstByte > 0 {
		c.readWithin(r.FirstByte)
	}
	for range maxExtraAnswers + 1 {
		answer, err := c.receive(r)
		if err != nil {
			return nil, c.failed("answer", err)
		}
		if r.AttemptID == "" || answer.Head.AttemptID == "" || answer.Head.AttemptID == r.AttemptID {
			return answer, nil
		}
		if _, err := io.CopyN(io.Discard, answer.Body, maxExtraBytes); err != io.EOF {
			return nil, c.failed("answer to another request", errors.Join(err, io.ErrUnexpectedEOF))
		}
	}
	return nil, c.failed("answer", problem.New(problem.TargetFailed, "answers belong to other requests"))
}

// readWithin bounds the next reads, but not beyond the deadline of the exchange.
func (c *Conn) readWithin(d time.Duration) {
	limit := time.Now().Add(d)
	if !c.deadline.IsZero() && c.deadline.Before(limit) {
		limit = c.deadline
	}
	_ = c.net.SetReadDeadline(limit)
}

func (c *Conn) failed(context string, err error) error {
	return &SendError{Reused: c.reused, Err: problem.New(problem.Unavailable, "%s %s: %v", context, c.Address, err)}
}

func (c *Conn) send(r Request) error {
	if len(r.Body) <= asideBytes {
		_, err := c.net.Write(append(r.Head, r.Body...))
		return err
	}
	if _, err := c.net.Write(r.Head); err != nil {
		return err
	}
	c.sent = make(chan error, 1)
	go func(sent chan<- error) {
		_, err := c.net.Write(r.Body)
		sent <- err
	}(c.sent)
	return nil
}

func (c *Conn) receive(r Request) (*Answer, error) {
	answer := &Answer{}
	answer.Header.SetNoDefaultContentType(true)
	for {
		if err := answer.Header.Read(c.reader); err != nil {
			return nil, err
		}
		if status := answer.Header.StatusCode(); status >= 200 || status == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	if r.FirstByte > 0 {
		_ = c.net.SetReadDeadline(c.deadline)
	}
	answer.Head = platform.DecodeAnswer(&answer.Header)
	c.frame(answer, r)
	return answer, nil
}

// frame gives the answer a body that knows its end.
func (c *Conn) frame(answer *Answer, r Request) {
	status := answer.Head.Status
	length := answer.Header.ContentLength()
	reusable := !answer.Header.ConnectionClose()
	answer.Length = length
	switch {
	case r.NoBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		answer.Length = 0
		answer.Body = &body{conn: c, reader: eof{}, reusable: reusable}
	case length >= 0:
		answer.Body = &body{conn: c, reader: io.LimitReader(c.reader, int64(length)), left: int64(length), counted: true, reusable: reusable}
	case length == chunkedLength:
		answer.Body = &body{conn: c, reader: &chunked{reader: c.reader, chunks: httputil.NewChunkedReader(c.reader)}, reusable: reusable}
	default:
		answer.Body = &body{conn: c, reader: c.reader}
	}
	if r.Stall > 0 {
		answer.Body = &stalling{conn: c, reader: answer.Body, limit: r.Stall}
	}
	c.idleFor = idleFor(&answer.Header)
}

// chunkedLength is the codec's length of a body in chunks.
const chunkedLength = -1

func idleFor(h *fasthttp.ResponseHeader) time.Duration {
	idle := MaxIdle
	for _, field := range strings.Split(string(h.Peek("Keep-Alive")), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(text); err == nil {
				idle = min(idle, time.Duration(s)*time.Second-idleMargin)
			}
		}
	}
	return idle
}

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

// stalling bounds the wait for each part of a body.
type stalling struct {
	conn   *Conn
	reader io.Reader
	limit  time.Duration
}

// Read implements io.Reader.
func (s *stalling) Read(p []byte) (int, error) {
	s.conn.readWithin(s.limit)
	return s.reader.Read(p)
}

// body reads the body of an answer and marks its connection whole at the end.
type body struct {
	conn     *Conn
	reader   io.Reader
	counted  bool
	left     int64
	reusable bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.counted {
		b.left -= int64(n)
		if b.left > 0 && err == io.EOF {
			return n, io.ErrUnexpectedEOF
		}
		if b.left == 0 && err == nil {
			err = io.EOF
		}
	}
	if err == io.EOF {
		b.conn.whole = b.reusable
	}
	return n, err
}

// chunked reads a body in chunks up to the end of its trailer.
type chunked struct {
	reader *bufio.Reader
	chunks io.Reader
	ended  bool
}

// Read implements io.Reader.
func (c *chunked) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(strings.TrimRight(string(line), "\r\n")) == 0 {
			c.ended = true
			return n, io.EOF
		}
	}
}
