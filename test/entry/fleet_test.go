package entry

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

// centres are the data centres of the fleet.
var centres = []string{"ga-a", "ga-b", "ga-c"}

// heartbeat is the time between two reports of a server.
const heartbeat = 300 * time.Millisecond

// fleet is the system under test: daemons as processes, the store and the servers as
// stand-ins in this one.
type fleet struct {
	store   *standinplatform.Server
	address string
	daemons []*daemon
	servers []*server
	version int
	routes  []map[string]any
	keys    map[string][]string
	mu      sync.Mutex
}

// daemon is one process.
type daemon struct {
	host     string
	settings string
	callers  string
	ready    string
	log      string
	command  *exec.Cmd
}

// server is one stand-in with its entry in the store.
type server struct {
	*service.Server
	name    string
	address string
	centre  string
	state   string
	born    int64
	seq     int
	silent  bool
}

// plainWork is the time of a plain request.
const plainWork = 20 * time.Millisecond

// newFleet starts a store, servers of each kind in each data centre, and daemons.
func newFleet(daemons int) *fleet {
	f := &fleet{store: &standinplatform.Server{}, keys: map[string][]string{"bozi": {"k1"}, "huvo": {"k2"}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.address = listener.Addr().String()
	ctx, cancel := contextOfSpec()
	DeferCleanup(cancel)
	go func() { _ = f.store.Serve(ctx, listener) }()
	for i, centre := range centres {
		f.addServer(fmt.Sprintf("desk-%d", i), "desk", centre, service.Profile{Kind: service.Plain, Slots: 20, Work: plainWork})
		f.addServer(fmt.Sprintf("billing-%d", i), "billing", centre, service.Profile{Kind: service.Stage, Work: 30 * time.Millisecond, Piece: time.Millisecond})
		f.addServer(fmt.Sprintf("portal-%d", i), "portal", centre, service.Profile{Kind: service.Stage, Work: 30 * time.Millisecond, Piece: time.Millisecond})
		f.addServer(fmt.Sprintf("llm-%d", i), "llm", centre, service.Profile{Kind: service.Engine, Slots: 64, Work: 10 * time.Millisecond, Events: 8, Gap: 5 * time.Millisecond, NeedsInputs: true})
	}
	f.routes = defaultRoutes()
	f.configure()
	go f.beat(ctx)
	for n := range daemons {
		f.addDaemon(n)
	}
	for _, d := range f.daemons {
		d.start()
	}
	DeferCleanup(f.close)
	for _, d := range f.daemons {
		Eventually(d.isReady).WithTimeout(10*time.Second).Should(BeTrue(), d.host)
	}
	return f
}

func defaultRoutes() []map[string]any {
	stages := []map[string]any{{"service": "billing", "after": []int{}, "bytes": 8000}, {"service": "portal", "after": []int{0}, "bytes": 6000}}
	return []map[string]any{
		{"name": "safe", "host": "h.example", "prefix": "/safe/", "kind": "safe", "service": "desk", "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 2},
		{"name": "unsafe", "host": "h.example", "prefix": "/unsafe/", "kind": "unsafe", "service": "desk", "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 3},
		{"name": "resumable", "host": "h.example", "prefix": "/resumable/", "kind": "streaming", "service": "llm", "timeoutMs": 6000, "targetLatencyMs": 1500, "priority": 1, "maxAttempts": 2, "stages": stages, "sticky": true, "resumable": true, "gapAimMs": 300},
		{"name": "once", "host": "h.example", "prefix": "/once/", "kind": "streaming", "service": "llm", "timeoutMs": 6000, "targetLatencyMs": 1500, "priority": 0, "maxAttempts": 3, "stages": stages, "sticky": true, "gapAimMs": 300},
	}
}

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	pieces := map[string]any{"slots": 1, "queue": 2, "batch": 8, "callMs": 30.0, "itemMs": 1.0, "headroomMb": 18.0, "handleS": 4.0, "linkMbps": 10000}
	var tenants []map[string]any
	for name, keys := range f.keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys})
	}
	f.put("op", "config", map[string]any{
		"version": f.version,
		"routes":  f.routes,
		"services": []map[string]any{
			{"name": "desk", "healthPath": "/health", "maxConnections": 200},
			{"name": "billing", "healthPath": "/health", "maxConnections": 200, "pieces": pieces},
			{"name": "portal", "healthPath": "/health", "maxConnections": 200, "pieces": pieces},
			{"name": "llm", "healthPath": "/health", "maxConnections": 200, "engine": map[string]any{"slots": 64, "kvCapacity": 100000, "stride": 5}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

func (f *fleet) put(table, key string, value any) {
	body, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	f.store.Put(standinplatform.Row{Table: table, Key: key, Value: body})
}

func (f *fleet) addServer(name, kind, centre string, profile service.Profile) *server {
	s := &server{Server: &service.Server{ID: "i-" + name, Profile: profile}, name: kind, centre: centre, state: "ready", born: time.Now().UnixMilli()}
	address, err := s.Start("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Stop)
	s.address = address
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.report(s)
	f.mu.Unlock()
	return s
}

func (f *fleet) report(s *server) {
	s.seq++
	f.put("servers", s.ID, map[string]any{
		"service": s.name, "address": s.address, "zone": s.centre, "version": "v1", "slots": 64, "state": s.state,
		"coldRemainingMs": 0, "seq": s.seq, "born": s.born,
	})
}

// beat reports every living server at each heartbeat.
func (f *fleet) beat(ctx doneContext) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		for _, s := range f.servers {
			if !s.silent {
				f.report(s)
			}
		}
		f.mu.Unlock()
	}
}

// drain makes a server report that it is leaving.
func (f *fleet) drain(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.state = "draining"
	f.report(s)
}

// of returns the servers of a service.
func (f *fleet) of(name string) []*server {
	var list []*server
	for _, s := range f.servers {
		if s.name == name {
			list = append(list, s)
		}
	}
	return list
}

func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func (f *fleet) addDaemon(n int) {
	centre := centres[n%len(centres)]
	ip := fmt.Sprintf("127.2.%d.%d", n%len(centres)+1, n/len(centres)+1)
	folder := GinkgoT().TempDir()
	d := &daemon{
		host:     fmt.Sprintf("front-%s-%d", centre, n),
		settings: filepath.Join(folder, "node.toml"),
		callers:  freeAddress(ip),
		ready:    freeAddress(ip),
		log:      filepath.Join(folder, "log"),
	}
	text := fmt.Sprintf(`node = %q
zone = %q
region = "ga"
ip = %q
portRange = [7740, 7755]
seeds = []
heartbeatMs = %d
[zones]
ga-a = "ga"
ga-b = "ga"
ga-c = "ga"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configMs = 2000
evacuateMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
coldOver = 1.5
coldSlack = 5
againS = 7.6
[platform]
address = %q
writesPerS = 400
readsPerS = 2000
rowBytes = 65536
`, d.host, centre, ip, heartbeat.Milliseconds(), d.callers, d.ready, freeAddress(ip), f.address)
	Expect(os.WriteFile(d.settings, []byte(text), 0o600)).To(Succeed())
	f.daemons = append(f.daemons, d)
}

func (d *daemon) start() {
	file, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	d.command = exec.Command(binary, "entry")
	d.command.Env = append(os.Environ(), "SEQUOIAPICK_SETTINGS="+d.settings)
	d.command.Stdout, d.command.Stderr = file, file
	Expect(d.command.Start()).To(Succeed())
}

func (d *daemon) signal(s syscall.Signal) {
	Expect(d.command.Process.Signal(s)).To(Succeed())
}

// kill ends the process at once.
func (d *daemon) kill() {
	_ = d.command.Process.Kill()
	_ = d.command.Wait()
}

// terminate asks the process to stop and returns how long that took.
func (d *daemon) terminate() time.Duration {
	began := time.Now()
	d.signal(syscall.SIGTERM)
	Expect(d.command.Wait()).To(Succeed())
	return time.Since(began)
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + d.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// leader returns the daemon that leads by the newest line of any log.
func (f *fleet) leader() *daemon {
	var found *daemon
	Eventually(func() *daemon {
		for _, d := range f.daemons {
			if name := lastLeader(d.log); name != "" {
				for _, other := range f.daemons {
					if other.host == name {
						found = other
					}
				}
			}
		}
		return found
	}).WithTimeout(10 * time.Second).ShouldNot(BeNil())
	return found
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		if d.command != nil && d.command.ProcessState == nil {
			_ = d.command.Process.Signal(syscall.SIGCONT)
			d.kill()
		}
	}
	if CurrentSpecReport().Failed() {
		for _, d := range f.daemons {
			text, err := os.ReadFile(d.log)
			if err == nil {
				GinkgoWriter.Printf("%s:\n%s\n", d.host, tail(text))
			}
		}
	}
}

// maxLog bounds what a failed spec prints of each log.
const maxLog = 6000

func tail(text []byte) []byte {
	return text[max(len(text)-maxLog, 0):]
}
