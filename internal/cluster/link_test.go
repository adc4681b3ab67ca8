package cluster

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// silentListener is a listener whose connections can fall silent: bytes are neither delivered nor
// refused, as when a device between the two ends has lost track of them.
type silentListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*silentConn
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &silentConn{Conn: c, silent: make(chan struct{})}
	l.conns = append(l.conns, s)
	return s, nil
}

// silence makes the open connections silent; later ones work.
func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		close(c.silent)
	}
	l.conns = nil
}

type silentConn struct {
	net.Conn
	silent chan struct{}
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		select {
		case <-c.silent:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close leaves the other end without a notice if the connection is silent.
func (c *silentConn) Close() error {
	select {
	case <-c.silent:
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	default:
		return c.Conn.Close()
	}
}

// TestSilentLinkIsReplaced makes the connections to a hub silent: the others must notice it by the
// missing echoes of their heartbeats and open new links.
func TestSilentLinkIsReplaced(t *testing.T) {
	const limit = 2 * time.Second // configMs of small sites
	var meshes []*Mesh
	var hub *silentListener
	var members []Member
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := &Mesh{
			Self:  Member{Host: fmt.Sprintf("h%d", i), DataCentre: "a", Address: listener.Addr().String(), Incarnation: "1", Weight: 1},
			Clock: clockwork.NewRealClock(), Handler: &testDaemon{}, ConfigurationVersion: func() int64 { return 1 },
		}
		if i == 1 {
			hub = &silentListener{Listener: listener}
			listener = hub
		}
		meshes = append(meshes, m)
		members = append(members, m.Self)
		serveMesh(t, m, listener)
	}
	linked := func() bool {
		return meshes[0].Incarnation("h1") != "" && meshes[1].Incarnation("h0") != ""
	}
	waitFor(t, 5*time.Second, "the daemons are linked", func() bool {
		for _, m := range meshes {
			m.SetMembers(members)
		}
		return linked()
	})
	hub.silence()
	waitFor(t, limit, "the silence is noticed", func() bool { return !linked() })
	waitFor(t, limit, "the daemons are linked again", linked)
}
