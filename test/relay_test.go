package test

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/gomega"
)

// relay carries connections to one daemon's peer address and can cut them off by the
// address they come from, or let the open ones go silent.
type relay struct {
	address  string
	listener net.Listener

	mu     sync.Mutex
	cut    []string
	silent map[net.Conn]bool
	conns  map[net.Conn]bool
	bytes  atomic.Int64
}

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
		if r.refuses(conn) {
			_ = conn.Close()
			continue
		}
		go r.carry(conn, target)
	}
}

func (r *relay) refuses(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, prefix := range r.cut {
		if strings.HasPrefix(conn.RemoteAddr().String(), prefix) {
			return true
		}
	}
	r.conns[conn] = true
	return false
}

func (r *relay) carry(conn net.Conn, target string) {
	defer conn.Close()
	onward, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer onward.Close()
	go func() {
		_, _ = io.Copy(onward, &muted{r: r, conn: conn, from: conn})
		_ = onward.Close()
	}()
	_, _ = io.Copy(conn, &muted{r: r, conn: conn, from: onward})
}

// muted reads on but hands nothing over once its connection is silent.
type muted struct {
	r    *relay
	conn net.Conn
	from net.Conn
}

func (m *muted) Read(p []byte) (int, error) {
	for {
		n, err := m.from.Read(p)
		m.r.mu.Lock()
		silent := m.r.silent[m.conn]
		m.r.mu.Unlock()
		m.r.bytes.Add(int64(n))
		if !silent || err != nil {
			return n, err
		}
	}
}

// cutFrom refuses and ends connections from addresses with one of the prefixes.
func (r *relay) cutFrom(prefixes ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = prefixes
	for conn := range r.conns {
		for _, prefix := range prefixes {
			if strings.HasPrefix(conn.RemoteAddr().String(), prefix) {
				_ = conn.Close()
				delete(r.conns, conn)
			}
		}
	}
}

// silence lets every open connection go silent; new ones work.
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
