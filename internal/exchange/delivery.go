package exchange

import (
	"fmt"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a connection that the peer has closed without a reset, as in tcp_states.h.
const tcpCloseWait = 8

// deliveryPollInterval is the time between two checks whether the request was acknowledged.
const deliveryPollInterval = time.Millisecond

// awaitDelivery waits until the target has acknowledged the whole request, at most for bodySendTimeout, and returns
// an error that is io.ErrUnexpectedEOF if it doesn't, or if the connection is reset. A write only shows that the
// kernel has taken the bytes. A target that closes a connection before it has received all of them sends a clean
// end first; the reset follows when the rest arrives, and reading doesn't report it.
func (c *Conn) awaitDelivery() error {
	limit := time.Now().Add(bodySendTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(limit) {
		limit = c.deadline
	}
	for {
		info, err := c.tcpInfo()
		switch {
		case err != nil:
			return fmt.Errorf("%w: the state of the connection is unknown: %v", io.ErrUnexpectedEOF, err)
		case info.State != tcpCloseWait:
			return fmt.Errorf("%w: the connection was reset", io.ErrUnexpectedEOF)
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		case !time.Now().Before(limit):
			return fmt.Errorf("%w: %d segments and %d further bytes of the request were not acknowledged", io.ErrUnexpectedEOF, info.Unacked, info.Notsent_bytes)
		}
		time.Sleep(deliveryPollInterval)
	}
}

// tcpInfo returns the state that the kernel has of the connection.
func (c *Conn) tcpInfo() (*unix.TCPInfo, error) {
	tcp, ok := c.net.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOPROTOOPT
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}
