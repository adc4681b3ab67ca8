// Package ingress serves the connections of clients: it reads one request after the
// other, hands each to a handler, and writes the answer.
//
// A kept connection is never closed between the reading of a request and its answer.
// While a request is handled, the connection is watched; a client that closes it cancels
// the context of the handler.
//
// # Usage
//
//	server := &ingress.Server{Handler: handler, Limits: limits}
//	err := server.Serve(ctx, listener) // until the context ends
//	server.Drain()                     // close kept connections after their next answer
package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/pkg/route"
)

const (
	// bufferBytes is the size of the buffer for heads; larger heads are refused.
	bufferBytes = 20 << 10
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration is known.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// defaultBodyBytes applies until a configuration is known.
	defaultBodyBytes = 4 << 20
	// bodyTimeout bounds the reading of a body; the longest deadlines are of that order.
	bodyTimeout = 20 * time.Second
	// writeTimeout closes a connection whose client takes no bytes for that long.
	writeTimeout = 10 * time.Second
	// lingerTime and lingerBytes bound what is read and dropped from a client after an
	// answer that closes the connection, so that the answer isn't lost to a reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
	// idleMargin is how much longer an idle connection is kept than its limit says, so that
	// a request that was sent just inside the limit isn't lost.
	idleMargin = time.Second
)

// ErrClientDisconnected is the cause of a handler's cancelled context.
var ErrClientDisconnected = errors.New("the client has closed its connection")

// Request is one request of a client.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// Arrived is when the first byte of the request was read.
	Arrived time.Time
}

// Handler answers requests. It must answer each one through the responder.
type Handler interface {
	Handle(ctx context.Context, r *Request, w *Responder)
	// RejectMalformed answers what isn't a request that can be handled.
	RejectMalformed(w *Responder, status int, reason string)
}

// Server serves the connections of one listener.
type Server struct {
	Handler Handler
	// Limits returns what a client may send and how long it may take.
	Limits func() route.Limits
	// Now returns the time.
	Now func() time.Time
	// MaxTotalBodyBytes bounds the bodies held at a time, in bytes; 0 means no bound.
	MaxTotalBodyBytes int64

	draining   atomic.Bool
	bodies     atomic.Int64
	open       atomic.Int64
	mu         sync.Mutex
	conns      map[*conn]struct{}
	inFlight   sync.WaitGroup
	readerPool sync.Pool
}

// Serve accepts connections until the context ends.
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
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		s.start(c)
	}
}

// acceptPause is the wait after an accept failed for lack of descriptors.
const acceptPause = 20 * time.Millisecond

func isTemporary(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout() || errors.Is(err, os.ErrDeadlineExceeded) || isDescriptorLimit(err)
}

func (s *Server) start(c net.Conn) {
	cn := &conn{server: s, net: c}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[cn] = struct{}{}
	s.mu.Unlock()
	s.open.Add(1)
	go func() {
		cn.serve()
		s.mu.Lock()
		delete(s.conns, cn)
		s.mu.Unlock()
		s.open.Add(-1)
	}()
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.open.Load()) }

// Drain makes every connection close after its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request is being read or handled.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Wait returns when no request is being handled.
func (s *Server) Wait() { s.inFlight.Wait() }

// CloseAll closes every connection.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.net.Close()
	}
}

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
		l.HeaderBytes = bufferBytes
	}
	return l
}

// conn is one connection of a client.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	first  firstByte

	mu   sync.Mutex
	idle bool
}

// firstByte lets a connection wait for a request without a buffer.
type firstByte struct {
	net   net.Conn
	saved [1]byte
	has   bool
}

// Read implements io.Reader.
func (f *firstByte) Read(p []byte) (int, error) {
	if f.has && len(p) > 0 {
		f.has = false
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

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.net.Close()
	}
}

func (c *conn) serve() {
	defer c.net.Close()
	c.first.net = c.net
	for {
		if !c.awaitRequest() {
			return
		}
		if !c.serveRequest() {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() bool {
	if c.reader != nil {
		if c.reader.Buffered() > 0 {
			return true
		}
		c.server.readerPool.Put(c.reader)
		c.reader = nil
	}
	_ = c.net.SetReadDeadline(c.server.Now().Add(c.server.limits().IdleTimeout + idleMargin))
	c.setIdle(true)
	n, err := c.net.Read(c.first.saved[:])
	c.setIdle(false)
	if n == 0 || err != nil {
		return false
	}
	c.first.has = true
	if pooled, ok := c.server.readerPool.Get().(*bufio.Reader); ok {
		pooled.Reset(&c.first)
		c.reader = pooled
	} else {
		c.reader = bufio.NewReaderSize(&c.first, bufferBytes)
	}
	return true
}

// serveRequest reads and answers one request, and reports whether the connection is kept.
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
	if err := header.Read(c.reader); err != nil {
		return c.refuseHead(w, err)
	}
	framing, fault := frameOf(header, limits)
	if fault != nil {
		return c.refuse(w, fault.status, fault.reason)
	}
	w.close = framing.close || c.server.draining.Load()
	w.http10 = framing.http10
	if framing.length > int64(limits.BodyBytes) {
		return c.refuse(w, fasthttp.StatusRequestEntityTooLarge, "the body is larger than the limit")
	}
	body, release, ok := c.readBody(w, framing, limits)
	defer release()
	if !ok {
		return false
	}
	r := &Request{Header: header, Body: body, HasBody: framing.hasBody, Arrived: arrived}
	return c.handle(r, w)
}

func (c *conn) refuseHead(w *Responder, err error) bool {
	w.close = true
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
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

// handle runs the handler while the connection is watched.
func (c *conn) handle(r *Request, w *Responder) bool {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	_ = c.net.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel(ErrClientDisconnected)
		}
	}()
	c.server.Handler.Handle(ctx, r, w)
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // in the past, which ends the watching
	<-watched
	if ctx.Err() != nil || w.broken || !w.ended {
		return false
	}
	if w.close {
		c.linger()
		return false
	}
	_ = c.net.SetReadDeadline(time.Time{})
	return true
}

// linger closes the sending side and drops what the client still sends for a moment.
func (c *conn) linger() {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.net, lingerBytes)
}

func (c *conn) readBody(w *Responder, f framing, limits route.Limits) (body []byte, release func(), ok bool) {
	release = func() {}
	if !f.hasBody || f.length == 0 {
		return nil, release, true
	}
	if f.expects {
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, release, false
		}
	}
	_ = c.net.SetReadDeadline(c.server.Now().Add(bodyTimeout))
	if f.length > 0 {
		reserved := f.length
		if !c.server.reserve(reserved) {
			return nil, release, c.refuse(w, fasthttp.StatusServiceUnavailable, "no memory for the body")
		}
		release = func() { c.server.bodies.Add(-reserved) }
		body = make([]byte, f.length)
		if _, err := io.ReadFull(c.reader, body); err != nil {
			return nil, release, c.refuseUnread(w, err)
		}
		return body, release, true
	}
	reserved := int64(limits.BodyBytes)
	if !c.server.reserve(reserved) {
		return nil, release, c.refuse(w, fasthttp.StatusServiceUnavailable, "no memory for the body")
	}
	release = func() { c.server.bodies.Add(-reserved) }
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.reader), int64(limits.BodyBytes)+1))
	if err != nil {
		return nil, release, c.refuseUnread(w, err)
	}
	if len(body) > limits.BodyBytes {
		return nil, release, c.refuse(w, fasthttp.StatusRequestEntityTooLarge, "the body is larger than the limit")
	}
	if err := skipTrailer(c.reader); err != nil {
		return nil, release, c.refuseUnread(w, err)
	}
	return body, release, true
}

func (s *Server) reserve(n int64) bool {
	if total := s.bodies.Add(n); s.MaxTotalBodyBytes > 0 && total > s.MaxTotalBodyBytes {
		s.bodies.Add(-n)
		return false
	}
	return true
}

func (c *conn) refuse(w *Responder, status int, reason string) bool {
	w.close = true
	c.server.Handler.RejectMalformed(w, status, reason)
	c.linger()
	return false
}

func (c *conn) refuseUnread(w *Responder, err error) bool {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuse(w, fasthttp.StatusRequestTimeout, "the body took too long")
	case isClosed(err) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
		return false
	default:
		return c.refuse(w, fasthttp.StatusBadRequest, "malformed body")
	}
}

// maxTrailerLines bounds the trailer of a body in chunks, which is dropped.
const maxTrailerLines = 32

func skipTrailer(r *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == 2 && line[0] == '\r' {
			return nil
		}
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return errMalformedTrailer
		}
	}
	return errMalformedTrailer
}

var errMalformedTrailer = errors.New("malformed trailer")
