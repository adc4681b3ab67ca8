package test

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/gomega"
)

// relay forwards connections to the peer address of one daemon or to one target. It can
// reject connections by the address they come from, or silence the open ones: they stay open
// and transfer nothing.
type relay struct {
	address  string
	listener net.Listener

	mu sync.Mutex
	// rejectedPrefixes are prefixes of the remote addresses whose connections are rejected.
	rejectedPrefixes []string
	// conns are the accepted connections, and silent those of them that are silent.
	silent map[net.Conn]bool
	conns  map[net.Conn]bool
	// bytes counts the bytes that were read in both directions, also those discarded.
	bytes atomic.Int64
}

// newRelay listens on the address and forwards connections to the target address.
func newRelay(address, target string) *relay {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	r := &relay{address: address, listener: listener, silent: map[net.Conn]bool{}, conns: map[net.Conn]bool{}}
	go r.accept(target)
	return r
}

func (r *relay) accept(target string) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.rejects(conn) {
			_ = conn.Close()
			continue
		}
		go r.forward(conn, target)
	}
}

// rejects reports whether connections from the address of conn are rejected, and adds conn to
// conns if not.
func (r *relay) rejects(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, prefix := range r.rejectedPrefixes {
		if strings.HasPrefix(conn.RemoteAddr().String(), prefix) {
			return true
		}
	}
	r.conns[conn] = true
	return false
}

// forward copies both directions of a connection.
func (r *relay) forward(conn net.Conn, target string) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		_, _ = io.Copy(upstream, &silencingReader{relay: r, conn: conn, source: conn})
		_ = upstream.Close()
	}()
	_, _ = io.Copy(conn, &silencingReader{relay: r, conn: conn, source: upstream})
}

// silencingReader reads one direction of a connection and discards the bytes once the
// connection is silent.
type silencingReader struct {
	relay  *relay
	conn   net.Conn
	source net.Conn
}

func (s *silencingReader) Read(p []byte) (int, error) {
	for {
		n, err := s.source.Read(p)
		s.relay.mu.Lock()
		silent := s.relay.silent[s.conn]
		s.relay.mu.Unlock()
		s.relay.bytes.Add(int64(n))
		if !silent || err != nil {
			return n, err
		}
	}
}

// rejectFrom closes the open connections from addresses with one of the prefixes and rejects
// new ones, in place of the prefixes of the last call.
func (r *relay) rejectFrom(prefixes ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejectedPrefixes = prefixes
	for conn := range r.conns {
		for _, prefix := range prefixes {
			if strings.HasPrefix(conn.RemoteAddr().String(), prefix) {
				_ = conn.Close()
				delete(r.conns, conn)
			}
		}
	}
}

// silence makes every open connection silent; new ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		r.silent[conn] = true
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}
