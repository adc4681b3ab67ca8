package cluster

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
)

// resettable is a listener whose connections can be reset.
type resettable struct {
	net.Listener

	mu    sync.Mutex
	conns []*net.TCPConn
}

func (l *resettable) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.conns = append(l.conns, c.(*net.TCPConn))
	l.mu.Unlock()
	return c, nil
}

func (l *resettable) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	l.conns = nil
}

// daemon is one mesh with what it was told.
type daemon struct {
	mesh     *Mesh
	listener *resettable
	kill     context.CancelFunc
	ended    chan error

	mu      sync.Mutex
	leaders []string
}

func (d *daemon) Receive(string, *clusterpb.Envelope) {}
func (d *daemon) MembersDiscovered([]Member)          {}
func (d *daemon) LinkOpened(string)                   {}

func (d *daemon) LeaderChanged(leader string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaders = append(d.leaders, leader)
}

// followed returns the daemons that were followed from the given change on.
func (d *daemon) followed(from int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.leaders[min(from, len(d.leaders)):])
}

// startMesh starts daemons that know each other and waits until all follow one leader.
func startMesh(t *testing.T, count int) []*daemon {
	t.Helper()
	var daemons []*daemon
	var members []Member
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		member := Member{Host: fmt.Sprintf("h%d", i), DataCentre: "a", Address: listener.Addr().String(), Incarnation: "1", Weight: 1}
		members = append(members, member)
		d := &daemon{listener: &resettable{Listener: listener}, ended: make(chan error, 1)}
		d.mesh = &Mesh{Self: member, Clock: clockwork.NewRealClock(), Handler: d, ConfigurationVersion: func() int64 { return 1 }}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		ctx, cancel := context.WithCancel(t.Context())
		d.kill = cancel
		go func() { d.ended <- d.mesh.Serve(ctx, d.listener) }()
		t.Cleanup(func() {
			cancel()
			<-d.ended
		})
	}
	for _, d := range daemons {
		d := d
		waitFor(t, 5*time.Second, "the mesh is started", func() bool {
			d.mesh.SetMembers(members)
			return d.mesh.Size() == count
		})
	}
	waitFor(t, 5*time.Second, "all follow one leader", func() bool { return commonLeader(daemons) != "" })
	return daemons
}

func commonLeader(daemons []*daemon) string {
	leader := daemons[0].mesh.Leader()
	for _, d := range daemons[1:] {
		if d.mesh.Leader() != leader {
			return ""
		}
	}
	return leader
}

func waitFor(t *testing.T, limit time.Duration, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// TestResetLinksKeepTheLeader resets all links at once, as a network device does that
// loses its table: the daemons live, so that nobody else may claim the lead.
func TestResetLinksKeepTheLeader(t *testing.T) {
	daemons := startMesh(t, 5)
	leader := commonLeader(daemons)
	before := make([]int, len(daemons))
	for i, d := range daemons {
		before[i] = len(d.followed(0))
	}
	for range 3 {
		for _, d := range daemons {
			d.listener.reset()
		}
		time.Sleep(300 * time.Millisecond)
	}
	for i, d := range daemons {
		if followed := d.followed(before[i]); len(followed) > 0 {
			t.Errorf("%s changed its leader to %v after the resets; %s was and is the leader", d.mesh.Self.Host, followed, leader)
		}
	}
}

// TestKilledLeaderIsReplacedAtOnce ends the leader without notice. Its port refuses
// connections, so that the others needn't wait for its silence.
func TestKilledLeaderIsReplacedAtOnce(t *testing.T) {
	daemons := startMesh(t, 5)
	leader := commonLeader(daemons)
	var rest []*daemon
	for _, d := range daemons {
		if d.mesh.Self.Host == leader {
			d.kill()
			continue
		}
		rest = append(rest, d)
	}
	waitFor(t, silenceLimit, "another leader", func() bool {
		next := commonLeader(rest)
		return next != "" && next != leader
	})
}

// TestFreshStartElectsAsSoonAsAllAreHeard starts all daemons at once, as after a loss of
// power: nobody leads, and each knows so when it has heard the others.
func TestFreshStartElectsAsSoonAsAllAreHeard(t *testing.T) {
	began := time.Now()
	startMesh(t, 5)
	if took := time.Since(began); took > startPatience-beatInterval {
		t.Errorf("a leader after %v, want one before the %v of a daemon that hasn't heard all", took, startPatience)
	}
}

// TestRestartedDaemonFollowsTheLeader starts the best-ranked daemon anew.
func TestRestartedDaemonFollowsTheLeader(t *testing.T) {
	daemons := startMesh(t, 5)
	leader := commonLeader(daemons)
	var rest []*daemon
	var members []Member
	var old *daemon
	for _, d := range daemons {
		members = append(members, d.mesh.Self)
		if d.mesh.Self.Host == leader {
			old = d
			d.kill()
			continue
		}
		rest = append(rest, d)
	}
	waitFor(t, silenceLimit, "another leader", func() bool {
		next := commonLeader(rest)
		return next != "" && next != leader
	})
	next := commonLeader(rest)
	<-old.ended
	old.ended <- nil // for the cleanup of the first start
	listener, err := net.Listen("tcp", old.mesh.Self.Address)
	if err != nil {
		t.Fatal(err)
	}
	member := old.mesh.Self
	member.Incarnation = "2"
	again := &daemon{listener: &resettable{Listener: listener}, ended: make(chan error, 1)}
	again.mesh = &Mesh{Self: member, Clock: clockwork.NewRealClock(), Handler: again, ConfigurationVersion: func() int64 { return 1 }}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { again.ended <- again.mesh.Serve(ctx, again.listener) }()
	t.Cleanup(func() {
		cancel()
		<-again.ended
	})
	waitFor(t, time.Second, "the new start follows", func() bool {
		again.mesh.SetMembers(members)
		return again.mesh.Leader() == next
	})
	time.Sleep(2 * startPatience)
	for _, followed := range again.followed(0) {
		if followed != next {
			t.Errorf("the new start followed %q, %s leads", followed, next)
		}
	}
	if commonLeader(rest) != next {
		t.Errorf("the others follow %q, want %s", commonLeader(rest), next)
	}
}
