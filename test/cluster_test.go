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

// binaries is the directory of the compiled programs.
var binaries string

// process is one program that a spec has started, with its arguments and its log file.
type process struct {
	name    string
	args    []string
	logPath string
	command *exec.Cmd
}

// start starts the process, which appends its output to the log file.
func (p *process) start() {
	file, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// stop makes the process stop in an orderly way with SIGTERM and returns its exit error.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	return p.command.Wait()
}

// daemonProcess is a daemon; its peers reach it through the relay. Callers send requests to
// callerAddress and operators their calls to operatorAddress.
type daemonProcess struct {
	process
	host       string
	dataCentre string
	// ip is the local address of the daemon. A partition recognizes its connections by it.
	ip              string
	callerAddress   string
	operatorAddress string
	relay           *relay
}

// targetProcess is a stand-in of a target; the daemons reach it through the relay, the spec
// at the control address.
type targetProcess struct {
	process
	controlAddress string
	relay          *relay
	// contract is the entry of the target in the configuration.
	contract *operator.Target
	profile  standintarget.Profile
}

// cluster is the system under test with the stand-ins of the platform and the targets.
type cluster struct {
	dir             string
	platform        process
	platformAddress string
	daemons         []*daemonProcess
	targets         map[string]*targetProcess
	extraFlags      []string
}

// newCluster starts a platform and a number of daemons in each data centre, and waits until
// every daemon is ready. The extra flags go to every daemon.
func newCluster(perDataCentre int, dataCentres []string, extraFlags ...string) *cluster {
	c := &cluster{dir: GinkgoT().TempDir(), targets: map[string]*targetProcess{}, extraFlags: extraFlags}
	c.platformAddress = freeAddress("127.0.0.1")
	c.platform = process{name: "standind", args: []string{"platform", c.platformAddress}, logPath: c.logPath("platform")}
	c.platform.start()
	DeferCleanup(c.close)
	Eventually(func() error { return c.callStandIn(c.platformAddress, standinplatform.CountPath, nil, nil) }).Should(Succeed())
	for i, dataCentre := range dataCentres {
		for n := range perDataCentre {
			c.addDaemon(fmt.Sprintf("%s-entry-%d", dataCentre, n+1), dataCentre, fmt.Sprintf("127.1.%d.%d", i+1, n+1))
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

// logPath returns the path of the log file of a process.
func (c *cluster) logPath(name string) string {
	return filepath.Join(c.dir, name+".log")
}

// addDaemon adds a daemon with its relay; it doesn't start the process.
func (c *cluster) addDaemon(host, dataCentre, ip string) *daemonProcess {
	d := &daemonProcess{host: host, dataCentre: dataCentre, ip: ip, callerAddress: freeAddress(ip), operatorAddress: freeAddress(ip)}
	peer := freeAddress(ip)
	d.relay = newRelay(freeAddress("127.0.0.1"), peer)
	d.process = process{name: "sequoiapick", logPath: c.logPath(host), args: append([]string{
		"serve", "-host", host, "-data-centre", dataCentre,
		"-caller-address", d.callerAddress, "-operator-address", d.operatorAddress,
		"-peer-address", peer, "-peer-advertised", d.relay.address,
		"-metrics-address", freeAddress(ip), "-platform-address", c.platformAddress,
		"-trust-account-header", "-drain-delay", "300ms",
	}, c.extraFlags...)}
	c.daemons = append(c.daemons, d)
	return d
}

// listHosts makes the platform list the host of every daemon as live. It omits the host that
// is given as the first argument.
func (c *cluster) listHosts(except ...string) {
	var hosts []platform.Host
	for _, d := range c.daemons {
		hosts = append(hosts, platform.Host{Name: d.host, DataCentre: d.dataCentre, State: platform.Live})
	}
	listed := hosts[:0]
	for _, h := range hosts {
		if len(except) == 0 || h.Name != except[0] {
			listed = append(listed, h)
		}
	}
	Expect(c.callStandIn(c.platformAddress, standinplatform.SetHostsPath, listed, nil)).To(Succeed())
}

func (c *cluster) awaitReady(d *daemonProcess) {
	Eventually(func() (int, error) {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+d.callerAddress+"/readyz", time.Second)
		return status, err
	}, 10*time.Second, 20*time.Millisecond).Should(Equal(200), "daemon %s is not ready", d.host)
}

func (c *cluster) close() {
	if CurrentSpecReport().Failed() {
		c.saveLogs()
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

// saveLogs copies the logs of a failed test to a directory that isn't removed after it.
func (c *cluster) saveLogs() {
	dir, err := os.MkdirTemp("", "sequoiapick-failed-")
	if err != nil {
		return
	}
	_ = os.CopyFS(dir, os.DirFS(c.dir))
	GinkgoWriter.Println("logs of the failed test:", dir)
}

// setPlatformFault sets the fault of the platform until the next call.
func (c *cluster) setPlatformFault(f standinplatform.Fault) {
	Expect(c.callStandIn(c.platformAddress, standinplatform.FaultPath, f, nil)).To(Succeed())
}

// addTarget starts a target and returns its contract, which is its entry in the configuration.
// The caller may change the contract and has to apply it.
func (c *cluster) addTarget(name, dataCentre string, profile standintarget.Profile) *operator.Target {
	address := freeAddress("127.0.0.1")
	encoded, err := json.Marshal(profile)
	Expect(err).NotTo(HaveOccurred())
	r := newRelay(freeAddress("127.0.0.1"), address)
	t := &targetProcess{
		controlAddress: address,
		relay:          r,
		process:        process{name: "standind", args: []string{"target", address, string(encoded)}, logPath: c.logPath(name)},
		contract: &operator.Target{
			Name: name, DataCentre: dataCentre, Kind: profile.Kind, Address: r.address, Host: name + "-host",
			ColdLimit: int64(max(profile.ColdLimit, 1)), MaxInFlight: 16, CostMicros: 100, MaxRunMillis: 5000,
			EchoesAttempt: !profile.HidesAttempt, ChecksFencing: profile.ChecksFencing,
		},
		profile: profile,
	}
	t.start()
	c.targets[name] = t
	Eventually(func() error { return c.callStandIn(address, standintarget.JournalPath, nil, nil) }, 10*time.Second).Should(Succeed())
	return t.contract
}

// setTargetFault sets the fault of a target in place of its previous one.
func (c *cluster) setTargetFault(name string, f standintarget.Fault) {
	Expect(c.callStandIn(c.targets[name].controlAddress, standintarget.FaultPath, f, nil)).To(Succeed())
}

// journal returns the executions and orders that a target has recorded.
func (c *cluster) journal(name string) standintarget.Journal {
	var j standintarget.Journal
	Expect(c.callStandIn(c.targets[name].controlAddress, standintarget.JournalPath, nil, &j)).To(Succeed())
	return j
}

// callStandIn posts the body as JSON to a path of a stand-in and decodes its answer into
// reply, unless that is nil.
func (c *cluster) callStandIn(address, path string, body, reply any) error {
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

// operate calls the operator interface of a daemon with a timeout of 10 s. It returns the error
// of the connection or of the call.
func (c *cluster) operate(d *daemonProcess, call func(ctx context.Context, client operator.OperatorClient) error) error {
	conn, err := grpc.NewClient("passthrough:///"+d.operatorAddress, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return call(ctx, operator.NewOperatorClient(conn))
}

// apply applies a configuration change at a daemon and returns its version.
func (c *cluster) apply(d *daemonProcess, r *operator.ApplyRequest) uint64 {
	var version uint64
	Expect(c.operate(d, func(ctx context.Context, client operator.OperatorClient) error {
		reply, err := client.Apply(ctx, r)
		version = reply.GetVersion()
		return err
	})).To(Succeed())
	return version
}

// version returns the configuration version in force at a daemon, or 0 if it doesn't answer.
func (c *cluster) version(d *daemonProcess) uint64 {
	var version uint64
	_ = c.operate(d, func(ctx context.Context, client operator.OperatorClient) error {
		reply, err := client.Describe(ctx, &operator.DescribeRequest{})
		version = reply.GetVersion()
		return err
	})
	return version
}

// awaitVersion waits until the daemons, by default all, have at least the version in force.
func (c *cluster) awaitVersion(version uint64, daemons ...*daemonProcess) {
	if len(daemons) == 0 {
		daemons = c.daemons
	}
	for _, d := range daemons {
		Eventually(func() uint64 { return c.version(d) }, 9*time.Second, 20*time.Millisecond).Should(BeNumerically(">=", version), "daemon %s", d.host)
	}
}

// targetStatus returns what a daemon states about a target, nil if it states nothing.
func (c *cluster) targetStatus(d *daemonProcess, name string) *operator.TargetStatus {
	var status *operator.TargetStatus
	Expect(c.operate(d, func(ctx context.Context, client operator.OperatorClient) error {
		reply, err := client.Status(ctx, &operator.StatusRequest{})
		for _, t := range reply.GetDaemons()[0].GetTargets() {
			if t.Name == name {
				status = t
			}
		}
		return err
	})).To(Succeed())
	return status
}

// isWarm reports whether a daemon knows that the target is warm.
func (c *cluster) isWarm(d *daemonProcess, name string) bool {
	return c.targetStatus(d, name).GetWarm()
}

// guardianOf returns the daemon that is the guardian of the target according to the first
// daemon, or nil if there is none.
func (c *cluster) guardianOf(name string) *daemonProcess {
	host := c.targetStatus(c.daemons[0], name).GetGuardian()
	for _, d := range c.daemons {
		if d.host == host {
			return d
		}
	}
	return nil
}

// answer is the answer to a caller's request.
type answer struct {
	Status int
	// Err is set if there was no answer or if its failure can't be decoded.
	Err error
	// Failure is set if the status is 300 or higher.
	Failure caller.Failure
	Text    string
	// Bytes is the length of the text in bytes, as stated by the daemon.
	Bytes int64
	// Whole is true if the daemon states that the text is complete.
	Whole     bool
	RequestID string
	// Price is in millionths of the currency unit.
	Price int64
	// Raw is the body of the answer.
	Raw []byte
}

// run sends one request of the account front-desk to a daemon, without retries.
func (c *cluster) run(d *daemonProcess, pipeline, key string, body caller.RunBody) answer {
	return runAt(d.callerAddress, "front-desk", pipeline, key, body, 30*time.Second)
}

// runAt sends one request of an account to the caller address of a daemon, without retries.
// An empty key sends none. The timeout limits the wait for the whole answer.
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

// parseAnswer decodes the body of an answer, or the failure in it if the status is 300 or
// higher.
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
	_ = json.Unmarshal(body, &whole) // a streamed answer isn't a single JSON object
	a.RequestID, a.Text, a.Bytes, a.Whole, a.Price = whole.RequestID, whole.Text, whole.Bytes, whole.Whole, whole.PriceMicros
	return a
}

// ticket returns a ticket that a daemon issues to the account front-desk.
func (c *cluster) ticket(d *daemonProcess) string {
	var reply struct{ Ticket string }
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(caller.AccountHeader, "front-desk")
	request.SetRequestURI("http://" + d.callerAddress + "/v1/tickets")
	Expect(fasthttp.DoTimeout(request, response, 5*time.Second)).To(Succeed())
	Expect(json.Unmarshal(response.Body(), &reply)).To(Succeed())
	return reply.Ticket
}

// get sends a GET request of an account to the caller address of a daemon. It returns the
// status and the body, or 0 and the text of the error if there is no answer.
func (c *cluster) get(d *daemonProcess, account, path string) (int, string) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.Header.Set(caller.AccountHeader, account)
	request.SetRequestURI("http://" + d.callerAddress + path)
	if err := fasthttp.DoTimeout(request, response, 5*time.Second); err != nil {
		return 0, err.Error()
	}
	return response.StatusCode(), string(response.Body())
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
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
}

// awaitListening waits until a restarted daemon answers at its caller address. It may not be
// ready yet.
func (c *cluster) awaitListening(d *daemonProcess) {
	Eventually(func() error {
		_, _, err := fasthttp.GetTimeout(nil, "http://"+d.callerAddress+"/healthz", time.Second)
		return err
	}, 10*time.Second, 20*time.Millisecond).Should(Succeed())
}

var (
	platformDown    = standinplatform.Fault{Down: true}
	noPlatformFault = standinplatform.Fault{}
)
