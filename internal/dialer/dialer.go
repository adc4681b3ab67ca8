// Package dialer connects from a given address of the host.
//
// # Usage
//
//	d := dialer.From("10.0.0.7")
//	conn, err := d.DialContext(ctx, "tcp", address)
package dialer

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// From returns a dialer whose TCP connections come from an IP address of the host; one that is empty or
// malformed lets the operating system choose.
//
// The operating system chooses the port of a connection when its destination is known. Otherwise each
// connection has a port of its own among all of the address, also for a minute after its end: a host
// that connects often has no port left then, and the search for one takes most of its processor time.
//
// The controls are applied to each new socket before it connects, see net.Dialer.Control.
func From(ip string, controls ...func(network, address string, raw syscall.RawConn) error) net.Dialer {
	d := net.Dialer{}
	if parsed := net.ParseIP(ip); parsed != nil {
		d.LocalAddr = &net.TCPAddr{IP: parsed}
		controls = append(controls, choosePortLate)
	}
	d.Control = func(network, address string, raw syscall.RawConn) error {
		for _, control := range controls {
			if err := control(network, address, raw); err != nil {
				return err
			}
		}
		return nil
	}
	return d
}

// choosePortLate makes binding a socket to an address leave its port open until it connects.
func choosePortLate(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	return errors.Join(err, failed)
}
