package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/sequoiapick/sequoiapick/internal/dialer"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Pool stores idle connections for reuse, by address. Only its Clock is required.
type Pool struct {
	Clock clockwork.Clock
	// LocalAddress is the source IP address of connections; empty lets the operating system
	// choose.
	LocalAddress string
	// OnDial is called before each dial, if set.
	OnDial func(address string)

	mu        sync.Mutex
	addresses map[poolKey]*addressConnections
}

// poolKey identifies the connections that may replace each other.
type poolKey struct {
	address string
	class   string
}

// addressConnections holds the connections to one address.
type addressConnections struct {
	// idle holds the idle connections, the one idle for the longest time first.
	idle  []*Conn
	inUse int
}

// OpenOptions are the options of Pool.Open.
type OpenOptions struct {
	Reuse Reuse
	// Share is the number of connections that this daemon should have to the address at a
	// time, including idle ones; 0 means no bound. It bounds only the idle connections: Open
	// never fails for it.
	Share int
	// MaxIdle is the longest time that a connection may have been idle; 0 means no bound besides that of
	// the connection.
	MaxIdle time.Duration
	// OpenedBefore, unless it is zero, allows only an idle connection that was opened before that time; Open
	// fails if there is none.
	OpenedBefore time.Time
	// Class separates connections to one address: an idle connection carries only requests of its class.
	Class string
}

// Open returns an idle or a new connection to the address. Its error is a SendError with
// NotSent set, of kind Unavailable.
func (p *Pool) Open(ctx context.Context, address string, options OpenOptions) (*Conn, error) {
	if conn := p.acquire(address, options); conn != nil {
		return conn, nil
	}
	if !options.OpenedBefore.IsZero() {
		p.decrementInUse(poolKey{address, options.Class})
		return nil, &SendError{NotSent: true, Err: problem.New(problem.Unavailable, "no idle connection to %s is old enough", address)}
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		p.decrementInUse(poolKey{address, options.Class})
		return nil, &SendError{NotSent: true, Err: problem.New(problem.Unavailable, "dial %s: %v", address, err)}
	}
	return p.newConn(c, poolKey{address, options.Class}, options.Share), nil
}

func (p *Pool) newConn(c net.Conn, key poolKey, share int) *Conn {
	return &Conn{Address: key.address, key: key, openedAt: p.Clock.Now(), reusable: true, maxIdleTime: MaxIdleTime, pool: p, net: c, reader: bufio.NewReaderSize(c, maxHeadBytes), share: share}
}

// dial opens a connection to the address within DialTimeout.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	d := dialer.From(p.LocalAddress, setSocketOptions)
	if p.OnDial != nil {
		p.OnDial(address)
	}
	return d.DialContext(ctx, "tcp", address)
}

// Refuses reports whether the address refuses connections, as that of a process that has ended does. It is false if there
// is no answer.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// decrementInUse removes one connection from the count of those in use.
func (p *Pool) decrementInUse(key poolKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementInUseLocked(key)
}

// decrementInUseLocked is decrementInUse for callers that hold mu.
func (p *Pool) decrementInUseLocked(key poolKey) {
	if a := p.addresses[key]; a != nil {
		a.inUse--
		if a.inUse <= 0 && len(a.idle) == 0 {
			delete(p.addresses, key)
		}
	}
}

// setSocketOptions makes the kernel close a connection whose peer no longer responds.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeInterval.Seconds())),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeInterval.Seconds())),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2),
		)
	})
	return errors.Join(err, failed)
}

// acquire counts a connection as in use and returns an idle one if the options allow that and
// there is one. Otherwise it returns nil and closes idle connections, the oldest first, until
// a new one fits into the share.
func (p *Pool) acquire(address string, options OpenOptions) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses == nil {
		p.addresses = map[poolKey]*addressConnections{}
	}
	key := poolKey{address, options.Class}
	a := p.addresses[key]
	if a == nil {
		a = &addressConnections{}
		p.addresses[key] = a
	}
	a.inUse++
	now := p.Clock.Now()
	for options.Reuse == Pooled && len(a.idle) > 0 {
		conn := a.idle[len(a.idle)-1]
		if options.MaxIdle > 0 && now.Sub(conn.idleSince) > options.MaxIdle {
			break // the others have been idle for longer
		}
		if older := options.OpenedBefore; !older.IsZero() {
			// The one that was used last is the least likely to have been closed by the target.
			i := lastOpenedBefore(a.idle, older)
			if i < 0 {
				break
			}
			conn = a.idle[i]
			a.idle = append(slices.Delete(a.idle, i, i+1), conn)
		}
		a.idle = a.idle[:len(a.idle)-1]
		if now.Before(conn.idleUntil) && conn.isQuiet() {
			conn.reused = true
			conn.share = options.Share
			return conn
		}
		_ = conn.net.Close()
	}
	for options.Share > 0 && len(a.idle) > 0 && a.inUse+len(a.idle) > options.Share {
		_ = a.idle[0].net.Close()
		a.idle = a.idle[1:]
	}
	return nil
}

// lastOpenedBefore returns the index of the last connection that was opened before the time, or -1.
func lastOpenedBefore(idle []*Conn, before time.Time) int {
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i].openedAt.Before(before) {
			return i
		}
	}
	return -1
}

// isQuiet reports whether the connection is open and has no unread bytes.
func (c *Conn) isQuiet() bool {
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

// Release stores the connection for reuse if its last exchange was completed, and closes it
// otherwise.
func (p *Pool) Release(conn *Conn) {
	if conn.stopWatch != nil && !conn.stopWatch() {
		p.close(conn)
		return
	}
	conn.stopWatch = nil
	if conn.bodySent != nil {
		go p.releaseAfterSend(conn)
		return
	}
	p.store(conn)
}

// releaseAfterSend stores the connection after the rest of the request body was written; it
// waits at most bodySendTimeout.
func (p *Pool) releaseAfterSend(conn *Conn) {
	timer := time.NewTimer(bodySendTimeout)
	defer timer.Stop()
	select {
	case err := <-conn.bodySent:
		conn.reusable = conn.reusable && err == nil
	case <-timer.C:
		conn.reusable = false
	}
	conn.bodySent = nil
	p.store(conn)
}

// close closes a connection that was in use.
func (p *Pool) close(conn *Conn) {
	_ = conn.net.Close()
	p.decrementInUse(conn.key)
}

// store adds a reusable connection to the idle ones, if their bounds allow one more.
func (p *Pool) store(conn *Conn) {
	if !conn.reusable || conn.reader.Buffered() > 0 {
		p.close(conn)
		return
	}
	_ = conn.net.SetDeadline(time.Time{})
	conn.idleSince = p.Clock.Now()
	conn.idleUntil = conn.idleSince.Add(conn.maxIdleTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addresses[conn.key]
	if len(a.idle) >= MaxIdlePerTarget || conn.share > 0 && a.inUse+len(a.idle) > conn.share {
		_ = conn.net.Close()
		p.decrementInUseLocked(conn.key)
		return
	}
	a.inUse--
	a.idle = append(a.idle, conn)
}

// Discard closes a connection that Open returned.
func (p *Pool) Discard(conn *Conn) {
	if conn.stopWatch != nil {
		conn.stopWatch()
	}
	p.close(conn)
}

// CloseExpired closes the connections that have been idle for longer than their maximum.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for key, a := range p.addresses {
		open := a.idle[:0]
		for _, conn := range a.idle {
			if now.Before(conn.idleUntil) {
				open = append(open, conn)
				continue
			}
			_ = conn.net.Close()
		}
		a.idle = open
		if len(open) == 0 && a.inUse <= 0 {
			delete(p.addresses, key)
		}
	}
}
