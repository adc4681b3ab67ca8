package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// freeAddress returns an address of the IP with a port that nothing listens on. The ports lie below
// those that the operating system chooses for outgoing connections.
func freeAddress(ip string) string {
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, 12000+rand.IntN(18000)))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		return listener.Addr().String()
	}
}

// zones are the zones of the deployments.
var zones = []string{"za", "zb", "zc"}

// host is one daemon of the system, as a process of its own.
type host struct {
	name    string
	front   string
	ready   string
	dir     string
	command *exec.Cmd
}

// entryCommand is the command of the role in deploy/system.toml.
var entryCommand = []string{"target/sequoiapick", "entry"}

// startHost starts daemon n of a deployment; its files lie in dir.
func startHost(n int, storeAddress, dir string) (*host, error) {
	zone := zones[n%len(zones)]
	ip := fmt.Sprintf("127.3.%d.%d", n%len(zones)+1, n/len(zones)+1)
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, n), front: freeAddress(ip), ready: freeAddress(ip), dir: filepath.Join(dir, fmt.Sprintf("host-%d", n))}
	if err := os.MkdirAll(h.dir, 0o700); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
class = "front"
serves = ["front", "control"]
ip = %q
zone = %q
region = "r"
portRange = [7740, 7755]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"]
[zones]
za = "r"
zb = "r"
zc = "r"
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
`, h.name, ip, zone, h.front, h.ready, freeAddress(ip), storeAddress)
	settings := filepath.Join(h.dir, "node.toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(h.dir, "log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	h.command = exec.Command(entryCommand[0], entryCommand[1:]...)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIAPICK_SETTINGS=" + settings}
	h.command.Stdout, h.command.Stderr = log, log
	return h, h.command.Start()
}

// awaitReady waits until the daemon says that it is ready.
func (h *host) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		if r, err := client.Get("http://" + h.ready + "/v1/ready"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s isn't ready after 15 s", h.name)
}

// end ends the process.
func (h *host) end() {
	_ = h.command.Process.Signal(syscall.SIGCONT)
	_ = h.command.Process.Kill()
	_ = h.command.Wait()
}
