// Package peer carries calls between daemons over TCP. Each connection is a yamux session;
// each stream carries one call and its replies as length-delimited protobuf messages.
//
// A session with open calls is pinged every PingInterval. If the ping isn't answered, the
// session is closed, which fails its calls, and the next call dials a new one. An
// unresponsive connection is thus detected within seconds.
//
// # Usage
//
//	client := &peer.Client{}
//	reply, err := client.Call(ctx, "10.0.0.2:7400", &peerpb.Call{...})
//
//	server := &peer.Server{Handler: handler}
//	err := server.Serve(ctx, listener)
package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Bounds of a session.
const (
	DialTimeout  = time.Second
	WriteTimeout = time.Second
	// PingInterval is the time between two pings of a session with open calls. An idle
	// session isn't pinged, since a dead one does no harm before the next call.
	PingInterval = time.Second
	// IdleTimeout is the time without a call after which a session is closed.
	IdleTimeout = time.Minute
	// MaxMessageBytes is the maximum encoded size of one message.
	MaxMessageBytes = 64 << 20
)

// CallError is a failed call. Its cause is a problem.Error of kind Unavailable.
type CallError struct {
	// NotSent reports that no byte of the call was sent.
	NotSent bool
	Err     error
}

// Error implements error.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotSent reports whether the error proves that no byte of the call was sent, so that the
// peer can't have received it.
func NotSent(err error) bool {
	var e *CallError
	return errors.As(err, &e) && e.NotSent
}

// Client calls other daemons and keeps one session to each. The zero value is ready to use
// and safe for concurrent use.
type Client struct {
	// LocalAddress is the source IP address of connections; empty means any.
	LocalAddress string

	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// session is a connection to one daemon.
type session struct {
	mux      *yamux.Session
	lastUsed time.Time
}

// Call sends a call to the daemon at the address, host:port, and returns its first reply.
// Its errors are those of Stream.
func (c *Client) Call(ctx context.Context, address string, call *peerpb.Call) (*peerpb.Reply, error) {
	var first *peerpb.Reply
	err := c.Stream(ctx, address, call, func(reply *peerpb.Reply) (bool, error) {
		first = reply
		return true, nil
	})
	return first, err
}

// Stream sends a call to the daemon at the address and passes each reply to receive until
// that returns done or an error. A failed call returns a *CallError.
func (c *Client) Stream(ctx context.Context, address string, call *peerpb.Call, receive func(*peerpb.Reply) (done bool, err error)) error {
	stream, err := c.openStream(ctx, address)
	if err != nil {
		return &CallError{NotSent: true, Err: problem.New(problem.Unavailable, "peer %s: %v", address, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	if _, err := protodelim.MarshalTo(stream, call); err != nil {
		return callFailed(address, err)
	}
	reader := bufio.NewReader(stream)
	for {
		reply := &peerpb.Reply{}
		if err := unmarshal(reader, reply); err != nil {
			return callFailed(address, err)
		}
		done, err := receive(reply)
		if err != nil {
			return callFailed(address, err)
		}
		if done {
			return nil
		}
	}
}

// callFailed returns the error of a call that may have been sent.
func callFailed(address string, err error) error {
	return &CallError{Err: problem.New(problem.Unavailable, "peer %s: %v", address, err)}
}

// unmarshal reads one length-delimited message of at most MaxMessageBytes.
func unmarshal(reader protodelim.Reader, message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(reader, message)
}

// openStream opens a stream to the daemon at the address. If the present session fails, it
// dials a new one once.
func (c *Client) openStream(ctx context.Context, address string) (*yamux.Stream, error) {
	mux, err := c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := mux.OpenStream()
	if err == nil {
		return stream, nil
	}
	c.discardSession(address, mux)
	mux, err = c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	return mux.OpenStream()
}

// session returns the open session to the address, or dials one.
func (c *Client) session(ctx context.Context, address string) (*yamux.Session, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, problem.New(problem.Stopping, "client is closed")
	}
	if s, ok := c.sessions[address]; ok && !s.mux.IsClosed() {
		s.lastUsed = time.Now()
		c.mu.Unlock()
		return s.mux, nil
	}
	c.mu.Unlock()
	mux, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.addSession(address, mux), nil
}

func (c *Client) dial(ctx context.Context, address string) (*yamux.Session, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	if c.LocalAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.LocalAddress)}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
	}
	return mux, err
}

// addSession stores the session and returns it. If another call has stored one meanwhile,
// it closes this one and returns the other.
func (c *Client) addSession(address string, mux *yamux.Session) *yamux.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.sessions[address]; ok && !s.mux.IsClosed() {
		_ = mux.Close()
		return s.mux
	}
	if c.sessions == nil {
		c.sessions = map[string]*session{}
	}
	c.closeIdle()
	c.sessions[address] = &session{mux: mux, lastUsed: time.Now()}
	go probe(mux)
	return mux
}

// probe pings the session while it has open calls and closes it if a ping fails. It
// returns when the session is closed.
func probe(mux *yamux.Session) {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-mux.CloseChan():
			return
		case <-ticker.C:
		}
		if mux.NumStreams() == 0 {
			continue
		}
		if _, err := mux.Ping(); err != nil {
			_ = mux.Close()
		}
	}
}

// closeIdle closes the sessions without a call for IdleTimeout and removes closed ones; the
// caller holds mu.
func (c *Client) closeIdle() {
	for address, s := range c.sessions {
		idle := time.Since(s.lastUsed) > IdleTimeout && s.mux.NumStreams() == 0
		if idle || s.mux.IsClosed() {
			_ = s.mux.Close()
			delete(c.sessions, address)
		}
	}
}

// discardSession closes the session and removes it, so that the next call dials a new one.
func (c *Client) discardSession(address string, mux *yamux.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = mux.Close()
	if s, ok := c.sessions[address]; ok && s.mux == mux {
		delete(c.sessions, address)
	}
}

// Close closes every session. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, s := range c.sessions {
		_ = s.mux.Close()
	}
}

// Handler handles calls of other daemons. HandleCall passes any number of replies to reply;
// the call ends when it returns. Its context ends when the caller closes the stream.
type Handler interface {
	HandleCall(ctx context.Context, call *peerpb.Call, reply func(*peerpb.Reply) error)
}

// acceptRetryDelay is the wait after an accept has failed; calls of other daemons wait meanwhile.
const acceptRetryDelay = 50 * time.Millisecond

// Server accepts sessions of other daemons and passes their calls to Handler.
type Server struct {
	Handler Handler

	// calls counts open connections and running calls.
	calls sync.WaitGroup
}

// Serve accepts sessions until the context ends, closes them, and returns nil after the last
// call has ended. An accept that fails, for lack of descriptors for example, is retried. It returns an
// Internal error if the listener is closed before.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.calls.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return problem.New(problem.Internal, "accept peer: %v", err)
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.calls.Go(func() { s.serveConn(ctx, conn) })
	}
}

// serveConn accepts the calls of one session until it is closed.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	defer mux.Close()
	sessionCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		s.calls.Go(func() { s.serveStream(sessionCtx, stream) })
	}
}

// serveStream reads one call and passes it to the handler. The caller sends nothing after
// the call, so the end of the next read means that it has closed the stream.
func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	reader := bufio.NewReader(stream)
	call := &peerpb.Call{}
	if err := unmarshal(reader, call); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = reader.ReadByte()
		cancel()
	}()
	s.Handler.HandleCall(ctx, call, func(reply *peerpb.Reply) error {
		_, err := protodelim.MarshalTo(stream, reply)
		return err
	})
	_ = stream.Close()
	<-closed
}

// muxConfig returns the yamux settings. Keep-alives are off, since probe pings the session.
func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = WriteTimeout
	config.StreamCloseTimeout = 2 * WriteTimeout
	config.LogOutput = io.Discard
	return config
}
