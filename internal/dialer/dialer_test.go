package dialer_test

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/sequoiapick/sequoiapick/internal/dialer"
)

// TestPortIsChosenForDestination connects from one address to two ports, with the option that lets both
// connections have the same port.
func TestPortIsChosenForDestination(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	called := false
	d := dialer.From("127.0.0.1", func(_, _ string, _ syscall.RawConn) error {
		called = true
		return nil
	})
	c, err := d.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	set := 0
	if err := raw.Control(func(fd uintptr) {
		set, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil || set != 1 || !called {
		t.Errorf("option %d, %v, control called %v", set, err, called)
	}
	if ip := c.LocalAddr().(*net.TCPAddr).IP.String(); ip != "127.0.0.1" {
		t.Errorf("connected from %s", ip)
	}
}

func TestEmptyAddressLetsSystemChoose(t *testing.T) {
	if d := dialer.From(""); d.LocalAddr != nil {
		t.Errorf("local address %v", d.LocalAddr)
	}
}
