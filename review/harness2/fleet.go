package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
)

// heartbeat is the interval between two reports of a server. It is that of the small sites.
const heartbeat = 1200 * time.Millisecond

// zones are the zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// fleet is a small deployment: daemons as separate processes, and stand-ins of the store and of the
// servers in this process.
type fleet struct {
	record  *record
	dir     string
	store   *standinplatform.Server
	address string
	stop    func()
	daemons []*daemon

	mu sync.Mutex
	// reporting are the servers that write to the store at each heartbeat.
	reporting map[*server]bool
	// storeAway is set while the store answers nobody, servers included.
	storeAway bool
	version   int
	// dark are the ports of machines that are gone, added counts the machines that took their place.
	dark  []*darkPort
	added int
}

// daemon is one process of the program under test.
type daemon struct {
	host, zone, ip      string
	front, ready, peers string
	settings, log       string
	command             *exec.Cmd
}

// newFleet starts the store. The daemons are started by startDaemons.
func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: &standinplatform.Server{}, reporting: map[*server]bool{}}
	f.address, f.stop, err = f.store.Start()
	if err != nil {
		return nil, err
	}
	go f.reportLoop()
	return f, nil
}

// close ends everything that the fleet started.
func (f *fleet) close() {
	for _, d := range f.daemons {
		if d.command == nil {
			continue
		}
		_ = d.command.Process.Signal(syscall.SIGCONT)
		_ = d.command.Process.Kill()
		_ = d.command.Wait()
	}
	for _, p := range f.dark {
		p.close()
	}
	f.mu.Lock()
	for s := range f.reporting {
		s.crash()
	}
	f.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// configure writes a version of the configuration. The fields are those of the page on the protocol.
func (f *fleet) configure(routes, services []map[string]any) {
	f.version += 3
	f.put("op", "config", map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "apiKeys": []string{apiKey}}},
	})
}

// apiKey is the key of the only tenant.
const apiKey = "key-of-tenant-1"

// put writes a row of the store.
func (f *fleet) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		f.record.add("put %s/%s: %v", table, key, err)
		return
	}
	f.store.Put(standinplatform.Row{Table: table, Key: key, Value: body})
}

// setStoreAway makes the store refuse or accept all calls, those of the servers too.
func (f *fleet) setStoreAway(away bool) {
	f.mu.Lock()
	f.storeAway = away
	f.mu.Unlock()
	f.store.SetFault(standinplatform.Fault{Down: away})
	f.record.add("the store is %s", map[bool]string{true: "down", false: "up"}[away])
}

// list makes a server report itself, now and at each heartbeat.
func (f *fleet) list(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reporting[s] = true
	f.report(s)
}

// silence ends the reports of a server, as its crash does. The store drops its row after three heartbeats,
// unless another start has renewed it by then.
func (f *fleet) silence(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reporting, s)
	time.AfterFunc(3*heartbeat, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for other := range f.reporting {
			if other.id == s.id {
				return
			}
		}
		f.store.Remove("servers", s.id)
	})
}

// report writes the row of a server unless the store is away. The caller holds the mutex.
func (f *fleet) report(s *server) {
	if f.storeAway {
		return
	}
	f.put("servers", s.id, s.row())
}

// reportLoop writes the rows of the servers at each heartbeat.
func (f *fleet) reportLoop() {
	for range time.Tick(heartbeat) {
		f.mu.Lock()
		for s := range f.reporting {
			f.report(s)
		}
		f.mu.Unlock()
	}
}

// startDaemons starts n daemons, one zone after the other, and waits until all are ready.
func (f *fleet) startDaemons(n int) error {
	for i := range n {
		d, err := f.newDaemon(i)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, d := range f.daemons {
		for !d.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", d.host)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// newDaemon writes the settings file of a daemon.
func (f *fleet) newDaemon(i int) (*daemon, error) {
	zone := zones[i%len(zones)]
	d := &daemon{host: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("127.12.%d.%d", i%len(zones)+1, i/len(zones)+1)}
	for _, address := range []*string{&d.front, &d.ready, &d.peers} {
		free, err := freeAddress(d.ip)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	d.settings, d.log = filepath.Join(f.dir, d.host+".toml"), filepath.Join(f.dir, d.host+".log")
	text := fmt.Sprintf(settingsText, d.host, zone, d.ip, heartbeat.Milliseconds(), d.front, d.ready, d.peers, f.address)
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// settingsText is the settings file of a machine of the small site ptsc-router, with loopback addresses.
const settingsText = `node = %q
role = "entry"
class = "front"
serves = ["front", "control"]
zone = %q
region = "region-1"
ip = %q
portRange = [7740, 7755]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = %d
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
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
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
failClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
coldOver = 1.5
coldSlack = 5
evacuateMs = 5000
recoverS = 12
passMs = 120
againS = 7.6
[platform]
address = %q
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 3.0
partWritesPerS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
`

// freeAddress returns an address with a free port.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// start starts the process with the command of deploy/system.toml, in the repository's root.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.command = exec.Command("target/sequoiapick", "entry")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIAPICK_SETTINGS=" + d.settings}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	startedMu.Lock()
	started = append(started, d.command.Process)
	startedMu.Unlock()
	return nil
}

// started are all processes that were started.
var (
	startedMu sync.Mutex
	started   []*os.Process
)

// killAll ends all processes that were started and still run.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
}

// kill ends the process at once.
func (d *daemon) kill() {
	_ = d.command.Process.Kill()
	_ = d.command.Wait()
	d.command = nil
}

// isReady asks as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + d.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// leader returns the daemon that the last log line on a change of the leader names, nil if there is none.
func (f *fleet) leader() *daemon {
	for _, d := range f.daemons {
		text, err := os.ReadFile(d.log)
		if err != nil {
			continue
		}
		lines := strings.Split(string(text), "\n")
		for i := len(lines) - 1; i >= 0; i-- {
			var line struct{ Leader string }
			if !strings.Contains(lines[i], `"Leader":`) || json.Unmarshal([]byte(lines[i]), &line) != nil || line.Leader == "" {
				continue
			}
			for _, other := range f.daemons {
				if other.host == line.Leader {
					return other
				}
			}
		}
	}
	return nil
}

// awaitLeader waits until a daemon leads.
func (f *fleet) awaitLeader(ctx context.Context) (*daemon, error) {
	for ctx.Err() == nil {
		if d := f.leader(); d != nil {
			return d, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, fmt.Errorf("no daemon leads")
}
