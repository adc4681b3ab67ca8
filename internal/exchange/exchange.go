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
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

// Bounds of connections.
const (
	// DialTimeout bounds the opening of a connection; one lost packet is sent again after
	// a second, and another target is the better choice by then.
	DialTimeout = 700 * time.Millisecond
	// MaxIdleTime is the time after which an idle connection is closed, below the idle time of
	// common servers.
	MaxIdleTime = 4 * time.Second
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

// Reused reports whether the exchange failed on a connection that had carried other
// requests before, which the target may just have closed.
func Reused(err error) bool {
	var e *SendError
	return errors.As(err, &e) && e.Reused
}

// Request is one request as it goes over the wire.
type Request struct {
	Head []byte
	Body []byte
	// AttemptID is expected in the answer; empty expects none.
	AttemptID string
	// FirstByteTimeout bounds the wait for the head of the answer; 0 means no bound.
	FirstByteTimeout time.Duration
	// StallTimeout bounds the wait for each part of the body; 0 means no bound.
	StallTimeout time.Duration
	// NoBody says that the answer has no body, whatever its head says.
	NoBody bool
}

// Answer is the head of an answer and its body.
type Answer struct {
	Header fasthttp.ResponseHeader
	Head   platform.AnswerHead
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
	if r.FirstByteTimeout > 0 {
		c.readWithin(r.FirstByteTimeout)
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
	if r.FirstByteTimeout > 0 {
		_ = c.net.SetReadDeadline(c.deadline)
	}
	answer.Head = platform.DecodeAnswerHead(&answer.Header)
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
	if r.StallTimeout > 0 {
		answer.Body = &stalling{conn: c, reader: answer.Body, limit: r.StallTimeout}
	}
	c.idleFor = idleFor(&answer.Header)
}

// chunkedLength is the codec's length of a body in chunks.
const chunkedLength = -1

func idleFor(h *fasthttp.ResponseHeader) time.Duration {
	idle := MaxIdleTime
	for _, field := range strings.Split(string(h.Peek("Keep-Alive")), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(text); err == nil {
				idle = min(idle, time.Duration(s)*time.Second-idleMargin)
			}
		}
	}
	return idle
}
