// Package exchange sends one HTTP/1.1 request at a time over pooled connections to
// targets and reads the answer to that request.
//
// Targets echo the ID of the attempt. A faulty target may send an answer twice, so that an
// answer to an earlier request arrives before the expected one; it is recognized by its ID
// and dropped. An answer without an ID counts only on a new connection: on others it may be such
// a copy too. A connection is pooled again only after a complete answer without further
// bytes behind it, and after the complete request body was written.
//
// # Usage
//
//	conn, err := pool.Open(ctx, "10.0.0.7:8080", exchange.OpenOptions{Reuse: exchange.Fresh})
//	answer, err := conn.Do(ctx, exchange.Request{Head: head, Body: body, AttemptID: id})
//	_, err = io.Copy(w, answer.Body) // io.ErrUnexpectedEOF if it is truncated
//	pool.Release(conn)
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/head"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

// Limits of connections.
const (
	// DialTimeout bounds the opening of a connection. It is shorter than the second after
	// which TCP sends a lost packet again, since another target is the better choice then.
	DialTimeout = 700 * time.Millisecond
	// MaxIdleTime is the time after which an idle connection is closed; it is below the idle
	// timeout of common servers.
	MaxIdleTime = 4 * time.Second
	// idleMargin is how long before the idle timeout of the target a connection is closed.
	idleMargin = 500 * time.Millisecond
	// MaxIdlePerTarget bounds the number of idle connections to one target.
	MaxIdlePerTarget = 8
	// unackedTimeout is the time without acknowledgement of sent bytes after which a
	// connection is closed.
	unackedTimeout = 1500 * time.Millisecond
	// probeInterval is the time between TCP keep-alive probes of an idle connection.
	probeInterval = time.Second
	// maxExtraAnswers bounds the answers to other requests that are dropped before the
	// expected one.
	maxExtraAnswers = 4
	// maxExtraAnswerBytes bounds the body of such an answer.
	maxExtraAnswerBytes = 1 << 20
	// maxTrailerLines bounds the trailer of a chunked body.
	maxTrailerLines = 32
	// maxHeadBytes is the size of the read buffer, which bounds the head of an answer.
	maxHeadBytes = 8 << 10
	// asyncBodyBytes is the body size above which the body is written concurrently with the
	// reading of the answer, since a target may answer before it has read the whole body.
	asyncBodyBytes = 32 << 10
	// bodySendTimeout bounds the wait for the end of the request body after the answer was
	// read; the connection is closed afterwards.
	bodySendTimeout = time.Second
)

// Reuse defines which connections may carry a request.
type Reuse int

const (
	// Pooled allows an idle connection.
	Pooled Reuse = iota
	// Fresh requires a new connection, for requests that must not be sent twice: if an idle
	// connection is broken, it is unknown whether the request arrived.
	Fresh
)

// SendError is a failed exchange.
type SendError struct {
	// NotSent is set if no byte of the request was sent.
	NotSent bool
	// Reused is set if the connection had carried other requests before.
	Reused bool
	Err    error
}

// Error returns the text of the cause.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// NotSent reports whether the error proves that no byte of the request was sent.
func NotSent(err error) bool {
	var e *SendError
	return errors.As(err, &e) && e.NotSent
}

// Reused reports whether the exchange failed on a connection that had carried other
// requests before; the target may have closed it while it was idle.
func Reused(err error) bool {
	var e *SendError
	return errors.As(err, &e) && e.Reused
}

// Request is one encoded request.
type Request struct {
	// Head is the request line and the header fields with the empty line behind them.
	Head []byte
	Body []byte
	// AttemptID is the ID of the attempt. An answer with another ID is dropped; an answer
	// without an ID is accepted on a new connection only. If AttemptID is empty, any answer is
	// accepted.
	AttemptID string
	// FirstByteTimeout bounds the wait for the head of the answer; 0 means no bound.
	FirstByteTimeout time.Duration
	// StallTimeout bounds the time from the head of the answer, and from each call of
	// Answer.Progressed, to the next one or the end of the body; 0 means no bound.
	StallTimeout time.Duration
	// ConfirmStart confirms that the start of the target that sent the head of the answer still runs. It is
	// called at the end of a body that ends with its connection, since a process that ends closes its
	// connections in the same way. An error means that the answer may be incomplete, and so does a nil
	// function.
	ConfirmStart func(ctx context.Context) error
	// SelfDelimiting is set if the body shows whether it is complete, such as a JSON value, so that the
	// start of the target needn't be confirmed.
	SelfDelimiting bool
	// NoBody is set if the answer has no body even with a Content-Length, as for HEAD.
	NoBody bool
}

// Answer is an answer with its body unread.
type Answer struct {
	Header fasthttp.ResponseHeader
	Head   platform.AnswerHead
	// Body ends with io.EOF if the answer is complete and with an error that is io.ErrUnexpectedEOF
	// if it is truncated; see Request.ConfirmStart for a body that ends with its connection.
	Body io.Reader
	// Length is the length of the body in bytes, negative if it is unknown.
	Length int
	// Framing is how the end of the body is marked.
	Framing Framing

	// stall bounds the time without progress, nil if there is no bound.
	stall *stallReader
}

// Progressed tells that what was read so far is of use, such as a whole event; see Request.StallTimeout.
// Bytes alone don't count: a stalled target may send one now and then.
func (a *Answer) Progressed() {
	if a.stall != nil {
		a.stall.progressed()
	}
}

// Framing is how the end of a body is marked.
type Framing string

// The framings of bodies.
const (
	// Length announces the size.
	Length Framing = "Length"
	// Chunks mark the end with an empty chunk.
	Chunks Framing = "Chunks"
	// Connection has neither a length nor chunks: the body ends with its connection.
	Connection Framing = "Connection"
)

// Conn is one connection to a target; it carries one exchange at a time.
type Conn struct {
	Address string

	pool *Pool
	// share is OpenOptions.Share of the last exchange.
	share  int
	net    net.Conn
	reader *bufio.Reader
	// reused is set if the connection has carried other requests before.
	reused bool
	// reusable is set after an exchange whose answer was read completely.
	reusable bool
	// maxIdleTime is the time for which the idle connection may be stored.
	maxIdleTime time.Duration
	// openedAt is when the connection was opened.
	openedAt time.Time
	// idleSince is when the connection became idle.
	idleSince time.Time
	// idleUntil is the time after which the idle connection isn't used again.
	idleUntil time.Time
	// key is that of the connection in its pool.
	key poolKey
	// bodies are the hashes of the bodies that RepeatsBody was called with.
	bodies map[uint64]struct{}
	// bodySent receives the result of writing a large request body; nil for a small one.
	bodySent chan error
	// deadline is that of the current exchange, zero if there is none.
	deadline time.Time
	// stopWatch stops closing the connection when the context of the exchange ends; it
	// returns false if the connection was closed already.
	stopWatch func() bool
}

// Do sends the request and returns its answer with the body unread. The connection is closed
// when the context ends, even while the body is read. The caller must Release or Discard the
// connection. Errors are of type SendError, of kind Cancelled if the context had ended before
// the send and otherwise Unavailable; unless NotSent is set, the target may have run the request.
func (c *Conn) Do(ctx context.Context, r Request) (*Answer, error) {
	c.reusable = false
	if ctx.Err() != nil {
		return nil, &SendError{NotSent: true, Reused: c.reused, Err: problem.New(problem.Cancelled, "send: %v", context.Cause(ctx))}
	}
	c.deadline, _ = ctx.Deadline()
	_ = c.net.SetDeadline(c.deadline)
	c.stopWatch = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	if err := c.send(r); err != nil {
		return nil, c.sendError("send", err)
	}
	if r.FirstByteTimeout > 0 {
		c.setReadTimeout(r.FirstByteTimeout)
	}
	for range maxExtraAnswers + 1 {
		answer, err := c.receive(ctx, r)
		if err != nil {
			return nil, c.sendError("answer", err)
		}
		if r.AttemptID == "" || answer.Head.AttemptID == r.AttemptID || answer.Head.AttemptID == "" && !c.reused {
			return answer, nil
		}
		if answer.Head.AttemptID == "" {
			return nil, c.sendError("answer", problem.New(problem.TargetFailed, "an answer without an attempt ID may belong to an earlier request"))
		}
		if _, err := io.CopyN(io.Discard, answer.Body, maxExtraAnswerBytes); err != io.EOF {
			return nil, c.sendError("answer to another request", errors.Join(err, io.ErrUnexpectedEOF))
		}
	}
	return nil, c.sendError("answer", problem.New(problem.TargetFailed, "the answers belong to other requests"))
}

// maxTrackedBodies bounds the bodies of one connection that RepeatsBody tells apart. At some calls a
// second, a connection reaches it after several minutes.
const maxTrackedBodies = 1024

// RepeatsBody reports whether the body equals an earlier one that it was called with, and records it. It
// recognizes a late copy of an answer where answers carry no attempt ID and no two of them are alike. The
// copy may arrive several exchanges after the answer. After maxTrackedBodies bodies the connection isn't
// reused.
func (c *Conn) RepeatsBody(body []byte) bool {
	hash := xxhash.Sum64(body)
	if _, repeated := c.bodies[hash]; repeated {
		return true
	}
	if c.bodies == nil {
		c.bodies = map[uint64]struct{}{}
	}
	c.bodies[hash] = struct{}{}
	c.reusable = c.reusable && len(c.bodies) < maxTrackedBodies
	return false
}

// setReadTimeout bounds the next reads by d and by the deadline of the exchange.
func (c *Conn) setReadTimeout(d time.Duration) { c.setReadLimit(time.Now().Add(d)) }

// setReadLimit bounds the next reads by a time and by the deadline of the exchange.
func (c *Conn) setReadLimit(limit time.Time) {
	if !c.deadline.IsZero() && c.deadline.Before(limit) {
		limit = c.deadline
	}
	_ = c.net.SetReadDeadline(limit)
}

// sendError returns the error of a failed exchange of which bytes may have been sent.
func (c *Conn) sendError(operation string, err error) error {
	return &SendError{Reused: c.reused, Err: problem.New(problem.Unavailable, "%s %s: %v", operation, c.Address, err)}
}

// send writes the request; a large body is written in the background.
func (c *Conn) send(r Request) error {
	if len(r.Body) <= asyncBodyBytes {
		_, err := c.net.Write(append(r.Head, r.Body...))
		return err
	}
	if _, err := c.net.Write(r.Head); err != nil {
		return err
	}
	c.bodySent = make(chan error, 1)
	go func(sent chan<- error) {
		_, err := c.net.Write(r.Body)
		sent <- err
	}(c.bodySent)
	return nil
}

// receive reads the head of the next answer, skipping informational ones such as 100.
func (c *Conn) receive(ctx context.Context, r Request) (*Answer, error) {
	answer := &Answer{}
	answer.Header.SetNoDefaultContentType(true)
	framing, err := head.AwaitAnswer(c.reader)
	if err != nil {
		return nil, err
	}
	if err := answer.Header.Read(c.reader); err != nil {
		return nil, err
	}
	if r.FirstByteTimeout > 0 {
		_ = c.net.SetReadDeadline(c.deadline)
	}
	answer.Head = platform.DecodeAnswerHead(&answer.Header)
	c.attachBody(ctx, answer, framing, r)
	return answer, nil
}

// attachBody sets the body of the answer, delimited by its length, its chunks or the end of
// the connection.
func (c *Conn) attachBody(ctx context.Context, answer *Answer, h head.Answer, r Request) {
	reusable := !answer.Header.ConnectionClose()
	answer.Length = int(h.Length)
	switch {
	case r.NoBody || h.Status == fasthttp.StatusNoContent || h.Status == fasthttp.StatusNotModified:
		answer.Length, answer.Framing = 0, Length
		answer.Body = &body{conn: c, reader: emptyBody{}, reusable: reusable}
	case h.Chunked:
		answer.Framing = Chunks
		answer.Body = &body{conn: c, reader: &chunkedReader{reader: c.reader, chunks: httputil.NewChunkedReader(c.reader)}, reusable: reusable}
	case h.Length != head.UnknownLength:
		answer.Framing = Length
		answer.Body = &body{conn: c, reader: io.LimitReader(c.reader, h.Length), remaining: h.Length, hasLength: true, reusable: reusable}
	default:
		answer.Framing = Connection
		answer.Body = &body{conn: c, reader: c.reader, confirmEnd: func() error { return c.confirmEnd(ctx, r) }}
	}
	if r.StallTimeout > 0 {
		answer.stall = &stallReader{conn: c, reader: answer.Body, timeout: r.StallTimeout}
		answer.stall.progressed()
		answer.Body = answer.stall
	}
	c.maxIdleTime = maxIdleTime(&answer.Header)
}

// confirmEnd returns an error that is io.ErrUnexpectedEOF if the end of the connection may not be the
// end of the answer. That the target's port accepts connections proves nothing: a target that has crashed
// may have started again by the time the end is read, for example after a network partition.
func (c *Conn) confirmEnd(ctx context.Context, r Request) error {
	if err := c.awaitBodySent(); err != nil {
		return err
	}
	switch {
	case r.SelfDelimiting:
		return nil
	case r.ConfirmStart == nil:
		return fmt.Errorf("%w: nothing marks the end of the answer", io.ErrUnexpectedEOF)
	}
	if err := c.awaitDelivery(); err != nil {
		return err
	}
	if err := r.ConfirmStart(ctx); err != nil {
		return fmt.Errorf("%w: the start of the target isn't confirmed: %v", io.ErrUnexpectedEOF, err)
	}
	// A target that has closed its sending side first may have reset the connection meanwhile.
	return c.awaitDelivery()
}

// awaitBodySent waits until the request body is written, at most for bodySendTimeout, and returns
// io.ErrUnexpectedEOF if that failed. The operating system reports a reset to one call only: if that
// is the write, the read sees a clean end.
func (c *Conn) awaitBodySent() error {
	if c.bodySent == nil {
		return nil
	}
	timer := time.NewTimer(bodySendTimeout)
	defer timer.Stop()
	select {
	case err := <-c.bodySent:
		c.bodySent <- err // for releaseAfterSend
		if err != nil {
			return fmt.Errorf("%w: the request body was not sent: %v", io.ErrUnexpectedEOF, err)
		}
	case <-timer.C:
	}
	return nil
}

// maxIdleTime returns the time for which the connection may be idle: the timeout that the
// Keep-Alive header names minus a margin, and MaxIdleTime at most.
func maxIdleTime(h *fasthttp.ResponseHeader) time.Duration {
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
