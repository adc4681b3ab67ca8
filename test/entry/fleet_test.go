package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

// dataCentres are the data centres of the fleet.
var dataCentres = []string{"ga-a", "ga-b", "ga-c"}

// heartbeatInterval is the time between two reports of a server or of a daemon.
const heartbeatInterval = 300 * time.Millisecond

// fleet is the system under test: daemons that run as separate processes, and stand-ins of
// the store and the servers that run in the test process.
type fleet struct {
	store   *standinplatform.Server
	address string
	daemons []*daemon
	servers []*server
	// version is the version of the last configuration that was written.
	version int
	// routes are the routes of the next configuration in the JSON format of the store.
	routes []map[string]any
	// memoryMegabytes is the memory of each daemon's host.
	memoryMegabytes int
	// contracts are the optional parts of the platform that the settings list.
	contracts []string
	// keys are the API keys of each tenant.
	keys map[string][]string
	// mu guards the version, the servers and their reports.
	mu sync.Mutex
}

// daemon is one process of the program under test with its settings.
type daemon struct {
	host         string
	settingsPath string
	// frontAddress is where clients send requests, readyAddress where the readiness is polled.
	frontAddress string
	readyAddress string
	logPath      string
	command      *exec.Cmd
}

// server is the stand-in of one server, with what its report in the store says of it.
type server struct {
	*service.Server
	serviceName string
	address     string
	dataCentre  string
	version     string
	// state is ready or draining.
	state string
	// seq is the number of the last report.
	seq int
	// silent says that the server sends no more reports.
	silent bool
}

// plainWork is the time that a server works on a plain request.
const plainWork = 20 * time.Millisecond

// newFleet starts a store, a server of each service in each data centre, and the daemons,
// and waits until every daemon is ready. The service desk answers plain requests. The service
// llm streams answers; it needs inputs that the services billing and portal compute in stages
// before it and store until it fetches them.
func newFleet(daemons int, contracts ...string) *fleet {
	return newFleetOf(daemons, defaultMemoryMegabytes, contracts...)
}

// defaultMemoryMegabytes is the memory of most hosts.
const defaultMemoryMegabytes = 284

// newFleetOf is newFleet with the memory of each daemon's host.
func newFleetOf(daemons, memoryMegabytes int, contracts ...string) *fleet {
	f := &fleet{store: &standinplatform.Server{}, memoryMegabytes: memoryMegabytes, contracts: contracts, keys: map[string][]string{"bozi": {"k1"}, "huvo": {"k2"}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.address = listener.Addr().String()
	ctx, cancel := specContext()
	DeferCleanup(cancel)
	go func() { _ = f.store.Serve(ctx, listener) }()
	for i, dataCentre := range dataCentres {
		f.addServer(fmt.Sprintf("desk-%d", i), "desk", dataCentre, service.Profile{Kind: service.Plain, Slots: 20, Work: plainWork})
		f.addServer(fmt.Sprintf("billing-%d", i), "billing", dataCentre, service.Profile{Kind: service.Stage, Work: 30 * time.Millisecond, Piece: time.Millisecond})
		f.addServer(fmt.Sprintf("portal-%d", i), "portal", dataCentre, service.Profile{Kind: service.Stage, Work: 30 * time.Millisecond, Piece: time.Millisecond})
		f.addServer(fmt.Sprintf("llm-%d", i), "llm", dataCentre, service.Profile{Kind: service.Engine, Slots: 64, Work: 10 * time.Millisecond, Events: 8, Gap: 5 * time.Millisecond, NeedsInputs: true})
	}
	f.routes = defaultRoutes()
	f.configure()
	go f.reportLoop(ctx)
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

// defaultRoutes returns a route for requests that are safe to repeat, for unsafe ones, for
// streams that may be resumed and for streams that run at most once.
func defaultRoutes() []map[string]any {
	stages := []map[string]any{{"service": "billing", "after": []int{}, "bytes": 8000}, {"service": "portal", "after": []int{0}, "bytes": 6000}}
	return []map[string]any{
		{"name": "safe", "host": "h.example", "prefix": "/safe/", "kind": "safe", "service": "desk", "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 2},
		{"name": "unsafe", "host": "h.example", "prefix": "/unsafe/", "kind": "unsafe", "service": "desk", "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 3},
		{"name": "resumable", "host": "h.example", "prefix": "/resumable/", "kind": "streaming", "service": "llm", "timeoutMs": 6000, "targetLatencyMs": 1500, "priority": 1, "maxAttempts": 2, "stages": stages, "sticky": true, "resumable": true, "gapAimMs": 300},
		{"name": "once", "host": "h.example", "prefix": "/once/", "kind": "streaming", "service": "llm", "timeoutMs": 6000, "targetLatencyMs": 1500, "priority": 0, "maxAttempts": 3, "stages": stages, "sticky": true, "gapAimMs": 300},
	}
}

// configure writes the current routes and keys as a new version of the configuration.
// Versions rise by 3: they increase but need not be consecutive.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	pieces := map[string]any{"slots": 1, "queue": 2, "batch": 8, "callMs": 30.0, "itemMs": 1.0, "headroomMb": 18.0, "handleS": 4.0, "linkMbps": 10000}
	var tenants []map[string]any
	for name, keys := range f.keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys})
	}
	f.putRow("op", "config", map[string]any{
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

// putRow writes a value as JSON to the row with the key in a table of the store.
func (f *fleet) putRow(table, key string, value any) {
	body, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	f.store.Put(standinplatform.Row{Table: table, Key: key, Value: body})
}

// addServer starts a server of a service with the ID "i-"+id and writes its first report.
func (f *fleet) addServer(id, serviceName, dataCentre string, profile service.Profile) *server {
	return f.addVersion("v1", id, serviceName, dataCentre, profile)
}

// addVersion is addServer for a server that runs a version.
func (f *fleet) addVersion(version, id, serviceName, dataCentre string, profile service.Profile) *server {
	s := &server{Server: &service.Server{ID: "i-" + id, Profile: profile}, serviceName: serviceName, dataCentre: dataCentre, version: version, state: "ready"}
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

// report writes the next report of a server to the store. The caller holds f.mu.
func (f *fleet) report(s *server) {
	s.seq++
	f.putRow("servers", s.ID, map[string]any{
		"service": s.serviceName, "address": s.address, "zone": s.dataCentre, "version": s.version, "slots": 64, "state": s.state,
		"coldRemainingMs": 0, "seq": s.seq, "born": s.BornAt().UnixMilli(),
	})
}

// reportLoop writes a report of every server that isn't silent at each heartbeat.
func (f *fleet) reportLoop(ctx doneSignal) {
	ticker := time.NewTicker(heartbeatInterval)
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

// drain makes a server report that it is draining.
func (f *fleet) drain(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.state = "draining"
	f.report(s)
}

// serversOf returns the servers of a service in the order of dataCentres.
func (f *fleet) serversOf(serviceName string) []*server {
	var list []*server
	for _, s := range f.servers {
		if s.serviceName == serviceName {
			list = append(list, s)
		}
	}
	return list
}

// portsTried counts the ports that freeAddress has tried.
var portsTried atomic.Int64

// freeAddress tries portCount ports from firstPort on. They lie below the ports that the
// operating system chooses for outgoing connections, so that none of those takes one before
// the process listens on it.
const firstPort, portCount = 12000, 18000

// freeAddress returns an address of the IP with a port that nothing listens on. Test processes
// that run at the same time start at different ports.
func freeAddress(ip string) string {
	for {
		port := firstPort + (int64(os.Getpid())*37+portsTried.Add(1))%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		return listener.Addr().String()
	}
}

// addDaemon adds daemon n with its settings file; it doesn't start the process.
func (f *fleet) addDaemon(n int) {
	dataCentre := dataCentres[n%len(dataCentres)]
	ip := fmt.Sprintf("127.2.%d.%d", n%len(dataCentres)+1, n/len(dataCentres)+1)
	dir := GinkgoT().TempDir()
	d := &daemon{
		host:         fmt.Sprintf("front-%s-%d", dataCentre, n),
		settingsPath: filepath.Join(dir, "node.toml"),
		frontAddress: freeAddress(ip),
		readyAddress: freeAddress(ip),
		logPath:      filepath.Join(dir, "log"),
	}
	text := fmt.Sprintf(`node = %q
zone = %q
region = "ga"
ip = %q
portRange = [7740, 7755]
seeds = []
heartbeatMs = %d
%s[zones]
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
memoryMb = %d
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
`, d.host, dataCentre, ip, heartbeatInterval.Milliseconds(), f.contractLine(), d.frontAddress, d.readyAddress, freeAddress(ip), f.memoryMegabytes, f.address)
	Expect(os.WriteFile(d.settingsPath, []byte(text), 0o600)).To(Succeed())
	f.daemons = append(f.daemons, d)
}

// contractLine returns the line of the settings that lists the contracts, empty if there are none.
func (f *fleet) contractLine() string {
	if len(f.contracts) == 0 {
		return ""
	}
	return "contracts = [\"" + strings.Join(f.contracts, `", "`) + "\"]\n"
}

// start starts the process, which appends its output to the log file.
func (d *daemon) start() {
	file, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	d.command = exec.Command(binary, "entry")
	d.command.Env = append(os.Environ(), "SEQUOIAPICK_SETTINGS="+d.settingsPath)
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

// terminate makes the process stop in an orderly way with SIGTERM and returns how long that
// took.
func (d *daemon) terminate() time.Duration {
	began := time.Now()
	d.signal(syscall.SIGTERM)
	Expect(d.command.Wait()).To(Succeed())
	return time.Since(began)
}

// isReady reports whether the readiness endpoint answers 200.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + d.readyAddress + "/v1/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// leader returns the daemon that the logs name as the leader, and waits until one does. If the
// logs differ, the last daemon with a leader in its log decides.
func (f *fleet) leader() *daemon {
	var found *daemon
	Eventually(func() *daemon {
		for _, d := range f.daemons {
			if name := lastLeader(d.logPath); name != "" {
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

// close kills the daemons and prints the ends of their logs if the spec failed.
func (f *fleet) close() {
	for _, d := range f.daemons {
		if d.command != nil && d.command.ProcessState == nil {
			_ = d.command.Process.Signal(syscall.SIGCONT)
			d.kill()
		}
	}
	if CurrentSpecReport().Failed() {
		for _, d := range f.daemons {
			text, err := os.ReadFile(d.logPath)
			if err == nil {
				GinkgoWriter.Printf("%s:\n%s\n", d.host, tail(text))
			}
		}
	}
}

// maxLogBytes limits what a failed spec prints of each log.
const maxLogBytes = 6000

// tail returns the last maxLogBytes of a log.
func tail(text []byte) []byte {
	return text[max(len(text)-maxLogBytes, 0):]
}
