// Package ingress serves the HTTP/1.1 connections of clients: it reads the requests of a
// connection one after the other, passes each to a handler, and writes the answer.
//
// The server does not close a connection between the reading of a request and its answer.
// While a request is handled, the connection is monitored: if the client closes it, the
// context of the handler is cancelled.
//
// # Usage
//
//	server := &ingress.Server{Handler: handler, Limits: limits, Now: time.Now}
//	err := server.Serve(ctx, listener) // until the context ends
//	server.Drain()                     // close connections after their next answer
package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/head"
	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/pkg/route"
)

const (
	// headBufferBytes is the size of the buffer for request heads; larger heads are rejected.
	headBufferBytes = 20 << 10
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration is received.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// defaultBodyBytes bounds one request body until a configuration is received.
	defaultBodyBytes = 4 << 20
	// bodyTimeout bounds the reading of a body; it is about as long as the longest deadlines of
	// requests.
	bodyTimeout = 20 * time.Second
	// writeTimeout bounds each write to a client that doesn't read; the connection is closed
	// afterwards.
	writeTimeout = 10 * time.Second
	// lingerTime and lingerBytes bound what is read and dropped from a client after an
	// answer that closes the connection. Closing with unread bytes would reset the connection,
	// and the client could lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
	// lingerBufferBytes is the size of the buffer for what is dropped, if a budget applies. Thousands of
	// connections that are rejected at once have one each, outside the budget.
	lingerBufferBytes = 1 << 10
	// idleMargin is added to the idle timeout, so that a request that was sent just before the
	// timeout isn't lost.
	idleMargin = time.Second
)

// ErrClientDisconnected is the cause of a handler's cancelled context.
var ErrClientDisconnected = errors.New("the client has closed its connection")

// Request is one request of a client with its complete body.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// HasBody distinguishes an empty body from no body.
	HasBody bool
	// Arrived is when the first byte of the request was read.
	Arrived time.Time
	// Memory holds the memory of the request and its body; the handler takes what it holds for the
	// answer from it. It is nil without a budget, and closed after Handle has returned.
	Memory *memory.Holder
}

// Handler answers requests; its methods may run concurrently.
type Handler interface {
	// Handle answers a request through the responder before it returns.
	Handle(ctx context.Context, r *Request, w *Responder)
	// RejectMalformed answers a request that is malformed, exceeds a limit or doesn't fit into
	// memory, with the HTTP status and the reason, a text for the client.
	RejectMalformed(w *Responder, status int, reason string)
}

// Server serves the connections of one listener.
type Server struct {
	Handler Handler
	// Limits returns the current limits; zero fields mean the defaults of this package.
	Limits func() route.Limits
	// Now returns the current time.
	Now func() time.Time
	// MaxTotalBodyBytes bounds the memory of all request bodies that are handled at a time, in
	// bytes; 0 means no bound. It has no effect with Memory.
	MaxTotalBodyBytes int64
	// Memory is the budget of the daemon, which bounds the memory of all requests; nil means none.
	Memory *memory.Budget
	// Account returns the account of a request, empty if it has none. It is needed with Memory only
	// and may be nil.
	Account func(h *fasthttp.RequestHeader) string

	draining atomic.Bool
	// closing is set once idle connections are closed.
	closing    atomic.Bool
	bodyBytes  atomic.Int64
	openCount  atomic.Int64
	mu         sync.Mutex
	conns      map[*conn]struct{}
	inFlight   sync.WaitGroup
	readerPool sync.Pool
}

// Serve accepts connections until the context ends; it then closes the listener and returns nil.
// Connections that are open at that time are still served. An error of the listener before is
// returned unless it is temporary.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		c, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if isTemporary(err) {
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		s.startConn(c)
	}
}

// acceptRetryDelay is the wait after an accept failed temporarily, such as for lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// isTemporary reports whether accept may succeed later.
func isTemporary(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout() || errors.Is(err, os.ErrDeadlineExceeded) || isTemporaryErrno(err)
}

// startConn serves a connection in the background.
func (s *Server) startConn(c net.Conn) {
	client := &conn{server: s, net: c}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[client] = struct{}{}
	s.mu.Unlock()
	s.openCount.Add(1)
	go func() {
		client.serve()
		s.mu.Lock()
		delete(s.conns, client)
		s.mu.Unlock()
		s.openCount.Add(-1)
	}()
}

// limits returns the current limits with defaults for those that are 0.
func (s *Server) limits() route.Limits {
	l := s.Limits()
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = headBufferBytes
	}
	return l
}

// conn is one connection of a client.
type conn struct {
	server    *Server
	net       net.Conn
	reader    *bufio.Reader
	firstByte firstByteReader
	// holder holds the memory of the present request.
	holder *memory.Holder

	mu sync.Mutex
	// idle is set while the connection waits for the next request.
	idle bool
	// cancel ends the context of the request that is handled; nil if there is none.
	cancel context.CancelCauseFunc
}

// firstByteReader reads the saved first byte of a request, then the rest of the connection. It
// lets an idle connection wait for its next request without a read buffer.
type firstByteReader struct {
	net   net.Conn
	saved [1]byte
	// pending is set while the saved byte has not been returned.
	pending bool
}

// Read implements io.Reader.
func (f *firstByteReader) Read(p []byte) (int, error) {
	if f.pending && len(p) > 0 {
		f.pending = false
		p[0] = f.saved[0]
		return 1, nil
	}
	return f.net.Read(p)
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	c.idle = idle
	c.mu.Unlock()
}

// serve handles the requests of the connection until one side closes it.
func (c *conn) serve() {
	defer c.net.Close()
	c.firstByte.net = c.net
	for {
		if !c.awaitRequest() {
			return
		}
		open := c.serveRequest()
		c.holder.Close()
		if !open {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request; it returns false if the connection has
// ended or was idle for too long.
func (c *conn) awaitRequest() bool {
	if c.reader != nil {
		if c.reader.Buffered() > 0 {
			return c.admit()
		}
		c.server.readerPool.Put(c.reader)
		c.reader = nil
	}
	_ = c.net.SetReadDeadline(c.server.Now().Add(c.server.limits().IdleTimeout + idleMargin))
	c.setIdle(true)
	if c.server.closing.Load() {
		return false
	}
	n, err := c.net.Read(c.firstByte.saved[:])
	c.setIdle(false)
	if n == 0 || err != nil {
		return false
	}
	c.firstByte.pending = true
	if !c.admit() {
		return false
	}
	if pooled, ok := c.server.readerPool.Get().(*bufio.Reader); ok {
		pooled.Reset(&c.firstByte)
		c.reader = pooled
	} else {
		c.reader = bufio.NewReaderSize(&c.firstByte, headBufferBytes)
	}
	return true
}

// serveRequest reads and answers one request, and reports whether the connection stays open.
func (c *conn) serveRequest() bool {
	limits := c.server.limits()
	arrived := c.server.Now()
	c.server.inFlight.Add(1)
	defer c.server.inFlight.Done()
	_ = c.net.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	header := &fasthttp.RequestHeader{}
	header.DisableSpecialHeader()
	header.SetNoDefaultContentType(true)
	w := &Responder{conn: c, header: header}
	if err := head.AwaitRequest(c.reader); err != nil {
		return c.rejectHead(w, err)
	}
	if err := header.Read(c.reader); err != nil {
		return c.rejectHead(w, err)
	}
	framing, invalid := parseFraming(header, limits)
	if invalid != nil {
		return c.reject(w, invalid.status, invalid.reason)
	}
	w.closeAfter = framing.close || c.server.draining.Load()
	w.http10 = framing.http10
	if framing.length > int64(limits.BodyBytes) {
		return c.reject(w, fasthttp.StatusRequestEntityTooLarge, "the body is larger than the limit")
	}
	if c.server.Account != nil {
		c.holder.SetAccount(c.server.Account(header))
	}
	body, release, ok := c.readBody(w, framing, limits)
	defer release()
	if !ok {
		return false
	}
	r := &Request{Header: header, Body: body, HasBody: framing.hasBody, Arrived: arrived, Memory: c.holder}
	return c.handle(r, w)
}

// rejectHead answers a request whose head could not be read, unless the client has closed
// the connection. It returns false, as does every rejection: the connection is closed.
func (c *conn) rejectHead(w *Responder, err error) bool {
	w.closeAfter = true
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small) || errors.Is(err, head.ErrTooLarge):
		c.server.Handler.RejectMalformed(w, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is larger than the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.server.Handler.RejectMalformed(w, fasthttp.StatusRequestTimeout, "the head took too long")
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isClosed(err):
		return false
	default:
		c.server.Handler.RejectMalformed(w, fasthttp.StatusBadRequest, "malformed head")
	}
	c.linger()
	return false
}

// handle runs the handler, cancels its context if the client closes the connection, and
// reports whether the connection stays open.
func (c *conn) handle(r *Request, w *Responder) bool {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	c.setCancel(cancel)
	defer c.setCancel(nil)
	_ = c.net.SetReadDeadline(time.Time{})
	monitorDone := make(chan struct{})
	go func() {
		defer close(monitorDone)
		// Peek returns without an error if the client sends its next request early.
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel(ErrClientDisconnected)
		}
	}()
	c.server.Handler.Handle(ctx, r, w)
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // a deadline in the past ends the Peek
	<-monitorDone
	if context.Cause(ctx) == ErrClientDisconnected || w.aborted || !w.ended {
		return false
	}
	if w.closeAfter || c.server.closing.Load() {
		c.linger()
		return false
	}
	_ = c.net.SetReadDeadline(time.Time{})
	return true
}

// resetOnClose sets whether the connection is reset when it is closed, also by the end of the process.
// An answer that ends with its connection would look complete otherwise.
func (c *conn) resetOnClose(reset bool) {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds) // fails only on a connection that is closed
}

// linger closes the sending side, then reads and drops what the client still sends, within
// lingerTime and lingerBytes.
func (c *conn) linger() {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
	if c.server.Memory == nil {
		_, _ = io.CopyN(io.Discard, c.net, lingerBytes)
		return
	}
	buffer := make([]byte, lingerBufferBytes)
	for dropped := 0; dropped < lingerBytes; {
		n, err := c.net.Read(buffer)
		if err != nil {
			return // closed, or lingerTime is over
		}
		dropped += n
	}
}

// reject answers a request that is not handled. It returns false: the connection is closed.
func (c *conn) reject(w *Responder, status int, reason string) bool {
	w.closeAfter = true
	c.server.Handler.RejectMalformed(w, status, reason)
	c.linger()
	return false
}
