package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// binaries is the folder of the programs under test.
var binaries string

// process is one program that the tests started.
type process struct {
	name    string
	args    []string
	log     string
	command *exec.Cmd
}

func (p *process) start() {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	p.command = exec.Command(filepath.Join(binaries, p.name), p.args...)
	p.command.Stdout = file
	p.command.Stderr = file
	Expect(p.command.Start()).To(Succeed())
	Expect(file.Close()).To(Succeed())
}

func (p *process) signal(s syscall.Signal) {
	Expect(p.command.Process.Signal(s)).To(Succeed())
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// stop ends the process as planned and returns its exit error.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	return p.command.Wait()
}

type daemonProcess struct {
	process
	host       string
	dataCentre string
	ip         string
	caller     string
	operator   string
	relay      *relay
}

type targetProcess struct {
	process
	control  string
	relay    *relay
	contract *operator.Target
	profile  standintarget.Profile
}

// cluster is the system under test with its stand-ins.
type cluster struct {
	folder   string
	platform process
	address  string
	daemons  []*daemonProcess
	targets  map[string]*targetProcess
	extra    []string
}

// newCluster starts a platform and daemons in each data centre. Extra flags go to
// every daemon.
func newCluster(perCentre int, centres []string, extra ...string) *cluster {
	c := &cluster{folder: GinkgoT().TempDir(), targets: map[string]*targetProcess{}, extra: extra}
	c.address = freeAddress("127.0.0.1")
	c.platform = process{name: "standind", args: []string{"platform", c.address}, log: c.logFile("platform")}
	c.platform.start()
	DeferCleanup(c.close)
	Eventually(func() error { return c.control(c.address, standinplatform.CountPath, nil, nil) }).Should(Succeed())
	for i, centre := range centres {
		for n := range perCentre {
			c.addDaemon(fmt.Sprintf("%s-entry-%d", centre, n+1), centre, fmt.Sprintf("127.1.%d.%d", i+1, n+1))
		}
	}
	c.listHosts()
	for _, d := range c.daemons {
		d.start()
	}
	for _, d := range c.daemons {
		c.awaitReady(d)
	}
	return c
}

func (c *cluster) logFile(name string) string {
	return filepath.Join(c.folder, name+".log")
}

func (c *cluster) addDaemon(host, centre, ip string) *daemonProcess {
	d := &daemonProcess{host: host, dataCentre: centre, ip: ip, caller: freeAddress(ip), operator: freeAddress(ip)}
	peer := freeAddress(ip)
	d.relay = newRelay(freeAddress("127.0.0.1"), peer)
	d.process = process{name: "sequoiapick", log: c.logFile(host), args: append([]string{
		"serve", "-host", host, "-data-centre", centre,
		"-caller-address", d.caller, "-operator-address", d.operator,
		"-peer-address", peer, "-peer-advertised", d.relay.address,
		"-metrics-address", freeAddress(ip), "-platform-address", c.address,
		"-trust-account-header", "-drain-delay", "300ms",
	}, c.extra...)}
	c.daemons = append(c.daemons, d)
	return d
}

// listHosts makes the platform list every daemon's host as live.
func (c *cluster) listHosts(except ...string) {
	var hosts []platform.Host
	for _, d := range c.daemons {
		hosts = append(hosts, platform.Host{Name: d.host, DataCentre: d.dataCentre, State: platform.Live})
	}
	kept := hosts[:0]
	for _, h := range hosts {
		if len(except) == 0 || h.Name != except[0] {
			kept = append(kept, h)
		}
	}
	Expect(c.control(c.address, standinplatform.SetHostsPath, kept, nil)).To(Succeed())
}

func (c *cluster) awaitReady(d *daemonProcess) {
	Eventually(func() (int, error) {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+d.caller+"/readyz", time.Second)
		return status, err
	}, 10*time.Second, 20*time.Millisecond).Should(Equal(200), "daemon %s is not ready", d.host)
}

func (c *cluster) close() {
	if CurrentSpecReport().Failed() {
		c.keepLogs()
	}
	for _, d := range c.daemons {
		d.kill()
		d.relay.close()
	}
	for _, t := range c.targets {
		t.kill()
		t.relay.close()
	}
	c.platform.kill()
}

// keepLogs copies the logs of a failed test to a folder that outlives it.
func (c *cluster) keepLogs() {
	folder, err := os.MkdirTemp("", "sequoiapick-failed-")
	if err != nil {
		return
	}
	_ = os.CopyFS(folder, os.DirFS(c.folder))
	GinkgoWriter.Println("logs of the failed test:", folder)
}

func (c *cluster) fault(f standinplatform.Fault) {
	Expect(c.control(c.address, standinplatform.FaultPath, f, nil)).To(Succeed())
}

// addTarget starts a target and returns its contract, which is not applied yet.
func (c *cluster) addTarget(name, centre string, profile standintarget.Profile) *operator.Target {
	address := freeAddress("127.0.0.1")
	encoded, err := json.Marshal(profile)
	Expect(err).NotTo(HaveOccurred())
	front := newRelay(freeAddress("127.0.0.1"), address)
	t := &targetProcess{
		control: address,
		relay:   front,
		process: process{name: "standind", args: []string{"target", address, string(encoded)}, log: c.logFile(name)},
		contract: &operator.Target{
			Name: name, DataCentre: centre, Kind: profile.Kind, Address: front.address, Host: name + "-host",
			ColdLimit: int64(max(profile.ColdLimit, 1)), MaxInFlight: 16, CostMicros: 100, MaxRunMillis: 5000,
			EchoesAttempt: !profile.HidesAttempt, ChecksFencing: profile.ChecksFencing,
		},
		profile: profile,
	}
	t.start()
	c.targets[name] = t
	Eventually(func() error { return c.control(address, standintarget.JournalPath, nil, nil) }).Should(Succeed())
	return t.contract
}

func (c *cluster) spoil(name string, f standintarget.Fault) {
	Expect(c.control(c.targets[name].control, standintarget.FaultPath, f, nil)).To(Succeed())
}

func (c *cluster) journal(name string) standintarget.Journal {
	var j standintarget.Journal
	Expect(c.control(c.targets[name].control, standintarget.JournalPath, nil, &j)).To(Succeed())
	return j
}

// control calls a stand-in.
func (c *cluster) control(address, path string, body, reply any) error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request.SetBody(encoded)
	if err := fasthttp.DoTimeout(request, response, 5*time.Second); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(response.Body(), reply)
}

// operate calls the operators' interface of a daemon.
func (c *cluster) operate(d *daemonProcess, call func(ctx context.Context, client operator.OperatorClient) error) error {
	conn, err := grpc.NewClient("passthrough:///"+d.operator, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return call(ctx, operator.NewOperatorClient(conn))
}

func (c *cluster) apply(d *daemonProcess, r *operator.ApplyRequest) uint64 {
	var version uint64
	Expect(c.operate(d, func(ctx context.Context, client operator.OperatorClient) error {
		reply, err := client.Apply(ctx, r)
		version = reply.GetVersion()
		return err
	})).To(Succeed())
	return version
}

func (c *cluster) version(d *daemonProcess) uint64 {
	var version uint64
	_ = c.operate(d, func(ctx context.Context, client operator.OperatorClient) error {
		reply, err := client.Describe(ctx, &operator.DescribeRequest{})
		version = reply.GetVersion()
		return err
	})
	return version
}

func (c *cluster) awaitVersion(version uint64, daemons ...*daemonProcess) {
	if len(daemons) == 0 {
		daemons = c.daemons
	}
	for _, d := range daemons {
		Eventually(func() uint64 { return c.version(d) }, 9*time.Second, 20*time.Millisecond).Should(BeNumerically(">=", version), "daemon %s", d.host)
	}
}

// guardianOf returns the daemon that guards the target.
func (c *cluster) guardianOf(name string) *daemonProcess {
	host := ""
	Expect(c.operate(c.daemons[0], func(ctx context.Context, client operator.OperatorClient) error {
		reply, err := client.Status(ctx, &operator.StatusRequest{})
		for _, t := range reply.GetDaemons()[0].GetTargets() {
			if t.Name == name {
				host = t.Guardian
			}
		}
		return err
	})).To(Succeed())
	for _, d := range c.daemons {
		if d.host == host {
			return d
		}
	}
	return nil
}

// answer is what a caller got.
type answer struct {
	Status    int
	Err       error
	Failure   caller.Failure
	Text      string
	Bytes     int64
	Whole     bool
	RequestID string
	Price     int64
	Raw       []byte
}

// run sends one request as a caller.
func (c *cluster) run(d *daemonProcess, pipeline, key string, body caller.RunBody) answer {
	return runAt(d.caller, "front-desk", pipeline, key, body, 30*time.Second)
}

func runAt(address, account, pipeline, key string, body caller.RunBody, timeout time.Duration) answer {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/pipelines/" + pipeline + "/runs")
	request.Header.Set(caller.AccountHeader, account)
	if key != "" {
		request.Header.Set(caller.KeyHeader, key)
	}
	encoded, _ := json.Marshal(body)
	request.SetBody(encoded)
	client := &fasthttp.HostClient{
		Addr: address, MaxIdemponentCallAttempts: 1, MaxConns: 1000,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	defer client.CloseIdleConnections()
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return answer{Err: err}
	}
	return parseAnswer(response.StatusCode(), append([]byte(nil), response.Body()...))
}

func parseAnswer(status int, body []byte) answer {
	a := answer{Status: status, Raw: body}
	if status >= 300 {
		a.Err = json.Unmarshal(body, &a.Failure)
		return a
	}
	var whole struct {
		RequestID   string
		Text        string
		Bytes       int64
		Whole       bool
		PriceMicros int64
	}
	_ = json.Unmarshal(body, &whole) // a streamed answer isn't one object
	a.RequestID, a.Text, a.Bytes, a.Whole, a.Price = whole.RequestID, whole.Text, whole.Bytes, whole.Whole, whole.PriceMicros
	return a
}

func (c *cluster) ticket(d *daemonProcess) string {
	var reply struct{ Ticket string }
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(caller.AccountHeader, "front-desk")
	request.SetRequestURI("http://" + d.caller + "/v1/tickets")
	Expect(fasthttp.DoTimeout(request, response, 5*time.Second)).To(Succeed())
	Expect(json.Unmarshal(response.Body(), &reply)).To(Succeed())
	return reply.Ticket
}

func (c *cluster) get(d *daemonProcess, account, path string) (int, string) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.Header.Set(caller.AccountHeader, account)
	request.SetRequestURI("http://" + d.caller + path)
	if err := fasthttp.DoTimeout(request, response, 5*time.Second); err != nil {
		return 0, err.Error()
	}
	return response.StatusCode(), string(response.Body())
}

// lastPort is the last port given out; the ports lie below those that the system
// chooses for outgoing connections.
var lastPort atomic.Int64

const firstPort, ports = 12000, 18000

// freeAddress returns an address that nothing listens on.
func freeAddress(ip string) string {
	for {
		port := firstPort + (int64(os.Getpid())*37+lastPort.Add(1))%ports
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
}

// awaitListening waits until a restarted daemon takes connections.
func (c *cluster) awaitListening(d *daemonProcess) {
	Eventually(func() error {
		_, _, err := fasthttp.GetTimeout(nil, "http://"+d.caller+"/healthz", time.Second)
		return err
	}, 10*time.Second, 20*time.Millisecond).Should(Succeed())
}

var (
	downFault = standinplatform.Fault{Down: true}
	healthy   = standinplatform.Fault{}
)
