package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"
)

// darkPort is the port of a machine that has lost power for good: connections to it hang. A port of the
// loopback address does that once the queue of its listener, which accepts nothing, is full.
type darkPort struct {
	fd    int
	first net.Conn
}

// newDarkPort takes the address.
func newDarkPort(address string) (*darkPort, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p := &darkPort{fd: fd}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	// Another daemon may have filled the queue already.
	p.first, _ = net.DialTimeout("tcp", address, 100*time.Millisecond)
	return p, nil
}

// close frees the port.
func (p *darkPort) close() {
	if p.first != nil {
		_ = p.first.Close()
	}
	_ = syscall.Close(p.fd)
}

// state is what a daemon says of itself and of the others on its metrics port.
type state struct {
	Leader  string
	Members []struct {
		Host  string
		Alive bool
	}
}

// ask returns the state of a daemon.
func (d *daemon) ask() (state, error) {
	client := http.Client{Timeout: time.Second}
	var s state
	answer, err := client.Get(fmt.Sprintf("http://%s:9464/state", d.ip))
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// replace ends a machine for good, without a signal before, and adds another one in its place, with a name
// and an address of its own.
func (f *fleet) replace(i int) error {
	old := f.daemons[i]
	old.kill()
	p, err := newDarkPort(old.peers)
	if err != nil {
		return err
	}
	f.dark = append(f.dark, p)
	f.added++
	n := f.added*len(zones) + i%len(zones)
	for range startTries {
		d, err := f.newDaemon(n)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		f.daemons[i] = d
		until := time.Now().Add(startTime)
		for time.Now().Before(until) {
			if d.isReady() {
				return nil
			}
			time.Sleep(20 * time.Millisecond)
		}
		// Another process may have taken one of its ports meanwhile.
		text, _ := os.ReadFile(d.log)
		f.record.add("%s isn't ready after %v and is started again with other ports; the end of its log: %s", d.host, startTime, text[max(len(text)-1000, 0):])
		d.kill()
	}
	return fmt.Errorf("a daemon in the place of %s isn't ready", old.host)
}

const (
	// startTries is how often the start of a daemon is tried, startTime how long it may take to become ready.
	startTries = 3
	startTime  = 4 * time.Second
)

// recordLeaders records which daemon each daemon follows.
func (f *fleet) recordLeaders() {
	followers := map[string]int{}
	for _, d := range f.daemons {
		s, err := d.ask()
		if err != nil {
			f.record.add("%s tells nothing of itself: %v", d.host, err)
			continue
		}
		followers[s.Leader]++
	}
	f.record.add("%d leaders; followers of each: %v", len(followers), followers)
}
