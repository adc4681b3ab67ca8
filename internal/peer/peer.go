// Package peer carries calls between daemons: yamux streams over TCP, each with one
// call and its replies as length-delimited protobuf messages.
//
// A session that has calls open is probed every second. One that doesn't answer is
// closed, which fails its calls, and the next call dials anew; a connection that went
// silent is thus found in seconds.
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

// Timings of a session.
const (
	DialTimeout  = time.Second
	WriteTimeout = time.Second
	// PingInterval is the time between two probes of a session that has calls open. An
	// idle session isn't probed, since it costs nothing until the next call.
	PingInterval = time.Second
	// IdleTimeout is the time without a call after which a session is closed.
	IdleTimeout = time.Minute
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 64 << 20
)

// CallError is a failed call.
type CallError struct {
	// NotSent says that no byte of the call has left.
	NotSent bool
	Err     error
}

// Error returns what failed.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotSent reports whether the error proves that the peer hasn't received the call.
func NotSent(err error) bool {
	var e *CallError
	return errors.As(err, &e) && e.NotSent
}

// Client calls other daemons; the zero value works.
type Client struct {
	// LocalAddress is the IP address that calls come from; empty lets the system choose.
	LocalAddress string

	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

type session struct {
	mux  *yamux.Session
	used time.Time
}

// Call sends a call and returns its first reply.
func (c *Client) Call(ctx context.Context, address string, call *peerpb.Call) (*peerpb.Reply, error) {
	var first *peerpb.Reply
	err := c.Stream(ctx, address, call, func(reply *peerpb.Reply) (bool, error) {
		first = reply
		return true, nil
	})
	return first, err
}

// Stream sends a call and passes each reply to receive until it says that it is done.
func (c *Client) Stream(ctx context.Context, address string, call *peerpb.Call, receive func(*peerpb.Reply) (done bool, err error)) error {
	stream, err := c.open(ctx, address)
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

func callFailed(address string, err error) error {
	return &CallError{Err: problem.New(problem.Unavailable, "peer %s: %v", address, err)}
}

func unmarshal(reader protodelim.Reader, message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(reader, message)
}

func (c *Client) open(ctx context.Context, address string) (*yamux.Stream, error) {
	mux, err := c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := mux.OpenStream()
	if err == nil {
		return stream, nil
	}
	c.drop(address, mux)
	mux, err = c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	return mux.OpenStream()
}

func (c *Client) session(ctx context.Context, address string) (*yamux.Session, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, problem.New(problem.Stopping, "client is closed")
	}
	if s, ok := c.sessions[address]; ok && !s.mux.IsClosed() {
		s.used = time.Now()
		c.mu.Unlock()
		return s.mux, nil
	}
	c.mu.Unlock()
	mux, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.remember(address, mux), nil
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

// remember keeps the session, or the one that another call has made in the meantime.
func (c *Client) remember(address string, mux *yamux.Session) *yamux.Session {
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
	c.sessions[address] = &session{mux: mux, used: time.Now()}
	go probe(mux)
	return mux
}

// probe closes a session that has calls open and doesn't answer; it ends with the session.
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

func (c *Client) closeIdle() {
	for address, s := range c.sessions {
		idle := time.Since(s.used) > IdleTimeout && s.mux.NumStreams() == 0
		if idle || s.mux.IsClosed() {
			_ = s.mux.Close()
			delete(c.sessions, address)
		}
	}
}

func (c *Client) drop(address string, mux *yamux.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = mux.Close()
	if s, ok := c.sessions[address]; ok && s.mux == mux {
		delete(c.sessions, address)
	}
}

// Close ends every session.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, s := range c.sessions {
		_ = s.mux.Close()
	}
}

// Handler answers one call by any number of replies.
type Handler interface {
	HandleCall(ctx context.Context, call *peerpb.Call, reply func(*peerpb.Reply) error)
}

// Server accepts sessions of other daemons.
type Server struct {
	Handler Handler

	work sync.WaitGroup
}

// Serve accepts sessions until the context ends and returns after the last call.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.work.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return problem.New(problem.Internal, "accept peer: %v", err)
		}
		s.work.Go(func() { s.serveConn(ctx, conn) })
	}
}

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
		s.work.Go(func() { s.serveStream(sessionCtx, stream) })
	}
}

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

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = WriteTimeout
	config.StreamCloseTimeout = 2 * WriteTimeout
	config.LogOutput = io.Discard
	return config
}
