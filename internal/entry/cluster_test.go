package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/platform"
)

// testCluster is a store and daemons in one process. The daemons have links and read the store's
// tables, but accept no clients.
type testCluster struct {
	store        *standinplatform.Server
	storeAddress string
	daemons      []*Daemon
}

// hostSpec describes one daemon of a testCluster.
type hostSpec struct {
	dataCentre string
	// cpuShare is the host's CPU share in cores; the daemons with the largest ones are the hubs.
	cpuShare float64
	// ingress limits the bytes that the links to the daemon carry; nil means no limit.
	ingress []*bandwidth
	// linkBitsPerSecond is the bandwidth of the host's network as its settings name it; 0 means unknown.
	linkBitsPerSecond float64
	// unlinked means that no other daemon can open a link to this one.
	unlinked bool
	// ip is the address of the host, by default 127.0.0.1.
	ip string
	// cuts are the cuts between the hosts; nil means none.
	cuts *cuts
	// contracts are those of the settings.
	contracts platform.Contracts
}

// startCluster starts the daemons and waits until all use the configuration.
func startCluster(t *testing.T, hosts []hostSpec, configuration []byte) *testCluster {
	t.Helper()
	c := &testCluster{}
	c.store, c.storeAddress = startStore(t)
	c.store.Put(standinplatform.Row{Table: platform.TableOperator, Key: "config", Value: configuration})
	for i, h := range hosts {
		c.daemons = append(c.daemons, startDaemon(t, fmt.Sprintf("h-%d", i), h, c.storeAddress))
	}
	var settledAt time.Time
	waitUntil(t, 30*time.Second, "all daemons follow one leader and have a configuration", func() bool {
		if !c.settled() {
			settledAt = time.Now()
		}
		return time.Since(settledAt) > settleTime
	})
	return c
}

// settleTime is the time without a change of leader after which a cluster counts as started.
const settleTime = time.Second

// settled reports whether all daemons follow one leader, know each other and have a configuration.
func (c *testCluster) settled() bool {
	leader := c.daemons[0].mesh.Leader()
	for _, d := range c.daemons {
		if leader == "" || d.mesh.Leader() != leader || d.configurationVersion() == 0 || d.mesh.Size() != len(c.daemons) {
			return false
		}
	}
	return true
}

// startStore starts a store and returns it with its address. It stops at the end of the test.
func startStore(t *testing.T) (store *standinplatform.Server, address string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	listener := listen(t)
	store = &standinplatform.Server{}
	go func() { _ = store.Serve(ctx, listener) }()
	return store, listener.Addr().String()
}

// startDaemon starts the parts of a daemon that follow the store. They stop at the end of the test.
func startDaemon(t *testing.T, host string, h hostSpec, storeAddress string) *Daemon {
	t.Helper()
	h.ip = cmp.Or(h.ip, "127.0.0.1")
	peers, err := net.Listen("tcp", h.ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	d := &Daemon{Clock: clockwork.NewRealClock(), Logger: logr.Discard()}
	d.settings = platform.Settings{
		Host:       host,
		DataCentre: h.dataCentre,
		IP:         h.ip,
		Contracts:  h.contracts,
		Bounds:     platform.Bounds{ExposeShare: 0.1, ExposeSlack: 50, RollbackDelay: 5 * time.Second},
		Listen:     platform.Listen{Peers: peers.Addr().String()},
		Limits:     platform.HostLimits{CPUShare: h.cpuShare, MemoryBytes: 16 << 30, LinkBitsPerSecond: h.linkBitsPerSecond},
		Heartbeat:  1200 * time.Millisecond,
		Store:      platform.StoreSettings{Address: storeAddress},
	}
	if err := createComponents(d, t.Context()); err != nil {
		t.Fatal(err)
	}
	if h.unlinked {
		closed := listen(t)
		d.mesh.Self.Address = closed.Addr().String()
		_ = closed.Close()
	}
	d.tasks.start("scheduler", d.scheduler.Run)
	d.tasks.start("peers", func(ctx context.Context) error {
		return d.mesh.Serve(ctx, &cutListener{&limitedListener{Listener: peers, limits: h.ingress}, h.cuts})
	})
	for table, reader := range d.tableReaders {
		d.tasks.start("read "+table, reader.run)
	}
	d.tasks.start("register", d.members.register)
	d.tasks.start("quarantine", d.quarantine.run)
	d.tasks.start("crashes", d.quarantine.watchCrashes)
	d.tasks.start("loads", d.loads.run)
	if h.contracts.Rollout {
		d.tasks.start("rollouts", d.rollouts.run)
	}
	t.Cleanup(d.tasks.stopAll)
	return d
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// waitUntil fails the test unless the condition is met within the limit.
func waitUntil(t *testing.T, limit time.Duration, condition string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !met(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, condition)
		}
	}
}

// configurationJSON returns a configuration in the format of the store. Routes have the version in
// their time limit at one index, so that consecutive versions differ in one route.
func configurationJSON(t *testing.T, version, routes int) []byte {
	t.Helper()
	var list []map[string]any
	for i := range routes {
		r := map[string]any{
			"name": fmt.Sprintf("route-%d", i), "host": fmt.Sprintf("host-%d.example", i%7), "prefix": fmt.Sprintf("/p%dq%d/", i*7919%10007, i),
			"kind": "streaming", "service": "llm", "timeoutMs": 6000, "targetLatencyMs": 1500, "priority": 1, "maxAttempts": 2, "resumable": true, "gapAimMs": 300,
		}
		if i == version%routes {
			r["timeoutMs"] = 6000 + version
		}
		list = append(list, r)
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": list, "services": []map[string]any{{"name": "llm"}}})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// bandwidth limits a number of bytes per second, shared by all that use it.
type bandwidth struct {
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the bytes taken so far have passed.
	freeAt time.Time
	// taken is the number of bytes so far.
	taken int
}

// take waits until n more bytes have passed.
func (b *bandwidth) take(n int) {
	b.mu.Lock()
	b.taken += n
	now := time.Now()
	if b.freeAt.Before(now) {
		b.freeAt = now
	}
	b.freeAt = b.freeAt.Add(time.Duration(float64(n) / b.bytesPerSecond * float64(time.Second)))
	wait := b.freeAt.Sub(now)
	b.mu.Unlock()
	time.Sleep(wait)
}

// limitedListener limits the bytes that are received over its connections.
type limitedListener struct {
	net.Listener
	limits []*bandwidth
}

func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || len(l.limits) == 0 {
		return c, err
	}
	// A small receive buffer keeps the bytes that wait for the link at the sender.
	if err := c.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limits: l.limits}, nil
}

// egressLimitedListener limits the bytes that are sent over its connections.
type egressLimitedListener struct {
	net.Listener
	limit *bandwidth
}

func (l *egressLimitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &egressLimitedConn{Conn: c, limit: l.limit}, nil
}

type egressLimitedConn struct {
	net.Conn
	limit *bandwidth
}

func (c *egressLimitedConn) Write(p []byte) (int, error) {
	const chunk = 4 << 10
	written := 0
	for written < len(p) {
		n, err := c.Conn.Write(p[written:min(written+chunk, len(p))])
		written += n
		if err != nil {
			return written, err
		}
		c.limit.take(n)
	}
	return written, nil
}

type limitedConn struct {
	net.Conn
	limits []*bandwidth
}

var _ io.Reader = (*limitedConn)(nil)

func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 4<<10)])
	for _, l := range c.limits {
		l.take(n)
	}
	return n, err
}
