package entry

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay stands between the daemons and one server and does what networks do.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns map[net.Conn]bool
	// delay holds back what is passed on; mute drops what the server sends.
	delay time.Duration
	mute  bool
}

// newRelay returns a running relay to an address.
func newRelay(to string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: listener, to: to, conns: map[net.Conn]bool{}}
	DeferCleanup(func() {
		_ = listener.Close()
		r.reset()
	})
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.mu.Lock()
		r.conns[client], r.conns[server] = true, true
		r.mu.Unlock()
		go r.pass(client, server, false)
		go r.pass(server, client, true)
	}
}

// pass copies one direction, and passes its end on.
func (r *relay) pass(from, to net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		delay, drop := r.delay, r.mute && answers
		r.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !drop {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if err == io.EOF && !drop {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				_ = to.Close()
			}
			r.mu.Lock()
			delete(r.conns, from)
			r.mu.Unlock()
			return
		}
	}
}

// reset resets all connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// set makes the relay slow, or mute for answers.
func (r *relay) set(delay time.Duration, mute bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay, r.mute = delay, mute
}
