package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// relay is the network between the daemons and one server. While it is cut it holds what either side
// sends, also the end of a connection, and refuses new connections.
type relay struct {
	address, server string

	mu       sync.Mutex
	healed   *sync.Cond
	isCut    bool
	listener net.Listener
}

// startRelay forwards connections from a free address to that of a server.
func startRelay(server string) (*relay, error) {
	r := &relay{address: freeAddress("127.4.0.3"), server: server}
	r.healed = sync.NewCond(&r.mu)
	return r, r.listen()
}

func (r *relay) listen() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(c)
		}
	}()
	return nil
}

// cut begins a cut.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = true
	_ = r.listener.Close()
}

// heal ends the cut: what was held is delivered.
func (r *relay) heal() error {
	if err := r.listen(); err != nil {
		return err
	}
	r.mu.Lock()
	r.isCut = false
	r.mu.Unlock()
	r.healed.Broadcast()
	return nil
}

func (r *relay) wait() {
	r.mu.Lock()
	for r.isCut {
		r.healed.Wait()
	}
	r.mu.Unlock()
}

func (r *relay) forward(daemon net.Conn) {
	server, err := net.Dial("tcp", r.server)
	if err != nil {
		abort(daemon) // a port with no listener resets the connection
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.pump(server, daemon)
	}()
	r.pump(daemon, server)
	<-ended
	_ = daemon.Close()
	_ = server.Close()
}

// pump copies what one side sends to the other, then its end: a close as a close, a reset as a reset.
func (r *relay) pump(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.wait()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				abort(from)
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			abort(to)
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// abort resets a connection.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
