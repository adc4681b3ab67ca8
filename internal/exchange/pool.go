package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Pool keeps idle connections; the zero value with a clock works.
type Pool struct {
	Clock clockwork.Clock
	// LocalAddress is the IP address that connections come from; empty lets the system
	// choose.
	LocalAddress string
	// OnDial is called for each new connection, if set.
	OnDial func(address string)

	mu        sync.Mutex
	addresses map[string]*connections
}

// connections are those to one address.
type connections struct {
	idle []*Conn
	busy int
}

// OpenOptions says how a connection may be used.
type OpenOptions struct {
	Reuse Reuse
	// Share is the number of connections that this daemon should have to the address at a
	// time, idle ones included; 0 means no bound.
	Share int
}

// Open returns a connection to the address. Its error proves that nothing was sent.
func (p *Pool) Open(ctx context.Context, address string, use OpenOptions) (*Conn, error) {
	if conn := p.take(address, use); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	dialer := net.Dialer{Control: control}
	if p.LocalAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.LocalAddress)}
	}
	if p.OnDial != nil {
		p.OnDial(address)
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.ended(address)
		return nil, &SendError{NotSent: true, Err: problem.New(problem.Unavailable, "dial %s: %v", address, err)}
	}
	return &Conn{Address: address, net: c, reader: bufio.NewReaderSize(c, headBytes), share: use.Share}, nil
}

// ended counts a connection that is no longer in use.
func (p *Pool) ended(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(address)
}

func (p *Pool) end(address string) {
	if a := p.addresses[address]; a != nil {
		a.busy--
		if a.busy <= 0 && len(a.idle) == 0 {
			delete(p.addresses, address)
		}
	}
}

// control makes the system notice a connection that has gone silent.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeInterval.Seconds())),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeInterval.Seconds())),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2),
		)
	})
	return errors.Join(err, failed)
}

// take counts a connection as in use and returns an idle one if it may be used. If there
// is none, idle ones make place for a new one inside the share.
func (p *Pool) take(address string, use OpenOptions) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses == nil {
		p.addresses = map[string]*connections{}
	}
	a := p.addresses[address]
	if a == nil {
		a = &connections{}
		p.addresses[address] = a
	}
	a.busy++
	now := p.Clock.Now()
	for use.Reuse == Pooled && len(a.idle) > 0 {
		conn := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		if now.Before(conn.idleTill) && conn.quiet() {
			conn.reused = true
			conn.share = use.Share
			return conn
		}
		_ = conn.net.Close()
	}
	for use.Share > 0 && len(a.idle) > 0 && a.busy+len(a.idle) > use.Share {
		_ = a.idle[0].net.Close()
		a.idle = a.idle[1:]
	}
	return nil
}

// quiet reports whether the connection is open and nothing has arrived on it.
func (c *Conn) quiet() bool {
	tcp, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Release pools the connection if its last exchange was whole, and closes it otherwise.
func (p *Pool) Release(conn *Conn) {
	if conn.stop != nil && !conn.stop() {
		p.drop(conn)
		return
	}
	conn.stop = nil
	if conn.sent != nil {
		go p.releaseSent(conn)
		return
	}
	p.keep(conn)
}

// releaseSent waits for the rest of the request body before the connection is pooled; it
// ends within bodyGrace.
func (p *Pool) releaseSent(conn *Conn) {
	timer := time.NewTimer(bodyGrace)
	defer timer.Stop()
	select {
	case err := <-conn.sent:
		conn.whole = conn.whole && err == nil
	case <-timer.C:
		conn.whole = false
	}
	conn.sent = nil
	p.keep(conn)
}

// drop closes a connection that was in use.
func (p *Pool) drop(conn *Conn) {
	_ = conn.net.Close()
	p.ended(conn.Address)
}

func (p *Pool) keep(conn *Conn) {
	if !conn.whole || conn.reader.Buffered() > 0 {
		p.drop(conn)
		return
	}
	_ = conn.net.SetDeadline(time.Time{})
	conn.idleTill = p.Clock.Now().Add(conn.idleFor)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addresses[conn.Address]
	if len(a.idle) >= MaxIdlePerTarget || conn.share > 0 && a.busy+len(a.idle) > conn.share {
		_ = conn.net.Close()
		p.end(conn.Address)
		return
	}
	a.busy--
	a.idle = append(a.idle, conn)
}

// Discard closes the connection.
func (p *Pool) Discard(conn *Conn) {
	if conn.stop != nil {
		conn.stop()
	}
	p.drop(conn)
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for address, a := range p.addresses {
		kept := a.idle[:0]
		for _, conn := range a.idle {
			if now.Before(conn.idleTill) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.net.Close()
		}
		a.idle = kept
		if len(kept) == 0 && a.busy <= 0 {
			delete(p.addresses, address)
		}
	}
}
