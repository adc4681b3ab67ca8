package entry

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay forwards connections between the daemons and one server and injects the faults of
// a network: delays, dropped answers and resets.
type relay struct {
	listener      net.Listener
	serverAddress string

	mu sync.Mutex
	// conns are the open connections of both sides.
	conns map[net.Conn]bool
	// delay is the wait after every read before the bytes are forwarded.
	delay time.Duration
	// dropAnswers drops the bytes from the server.
	dropAnswers bool
}

// newRelay starts a relay to the address of a server. It runs until the spec ends.
func newRelay(serverAddress string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: listener, serverAddress: serverAddress, conns: map[net.Conn]bool{}}
	DeferCleanup(func() {
		_ = listener.Close()
		r.reset()
	})
	go r.accept()
	return r
}

// accept forwards each new connection to the server until the listener closes.
func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.serverAddress)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.mu.Lock()
		r.conns[client], r.conns[server] = true, true
		r.mu.Unlock()
		go r.forward(client, server, false)
		go r.forward(server, client, true)
	}
}

// forward copies one direction of a connection and closes the receiving side when the sending
// side ends. The argument answers is true for the direction from the server.
func (r *relay) forward(from, to net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		delay, drop := r.delay, r.dropAnswers && answers
		r.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !drop {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
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

// reset closes all connections with a TCP reset, which a close with a linger time of 0 sends.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// setFault sets the delay of each read and whether answers are dropped.
func (r *relay) setFault(delay time.Duration, dropAnswers bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay, r.dropAnswers = delay, dropAnswers
}
