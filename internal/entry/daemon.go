// Package entry runs the daemon of an entry host, which is a host of the platform that serves
// clients. The daemon reads the host's settings, follows the platform's tables of
// configuration, targets and members, and forwards the requests of clients to targets.
//
// # Usage
//
//	d := &entry.Daemon{SettingsPath: path, Clock: clockwork.NewRealClock(), Logger: logger}
//	err := d.Serve(ctx) // until the context ends and the requests in progress are answered
package entry

import (
	"context"
	"net"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/cluster"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/forward"
	"github.com/sequoiapick/sequoiapick/internal/ingress"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/internal/targetmemory"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/route"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// heapMemoryShare is the share of the host's memory that is the heap's soft limit; the rest
	// is for stacks, kernel buffers and received bytes that haven't been read yet.
	heapMemoryShare = 0.6
	// bodyMemoryShare is the share of the host's memory that request bodies may use in total.
	bodyMemoryShare = 0.25
	// balancerDelay is the time after becoming unready during which the load balancer still
	// sends new connections: it checks readiness every second and removes a host after two
	// failed checks.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is the time before the end of the stop grace at which all connections are
	// closed. The stop grace is the time after which the platform kills the process.
	stopMargin = 400 * time.Millisecond
	// stopAnswerTime is the time before stopMargin at which requests that still wait for a target are
	// rejected: most answers take less.
	stopAnswerTime = 2 * time.Second
	// lastAnswerTime is the time for which requests that were cancelled at the end of a stop are answered.
	lastAnswerTime = 100 * time.Millisecond
	// connectionExpiryInterval is the time between two checks for connections to targets that
	// have been idle too long.
	connectionExpiryInterval = time.Second
)

// Daemon is the daemon of one entry host. The exported fields are set before Serve is called.
type Daemon struct {
	// SettingsPath is the path of the platform's settings file.
	SettingsPath string
	// MetricsPort is the port, on the host's address, that serves metrics and the state; with
	// 0 they aren't served.
	MetricsPort int
	// ScarceCapacity turns on the admission for scarce capacity, see scheduler.Scheduler.ScarcePolicy.
	ScarceCapacity bool
	Clock          clockwork.Clock
	Logger         logr.Logger
	// DroppedLogLines returns the number of log lines dropped so far; it may be nil.
	DroppedLogLines func() int64

	settings    platform.Settings
	incarnation string
	log         event.Log
	routeTable  atomic.Pointer[route.Table]
	// configuration is that of routeTable.
	configuration configurationInUse
	store         *platform.Store
	inventory     *inventory.Inventory
	pool          *exchange.Pool
	mesh          *cluster.Mesh
	scheduler     *scheduler.Scheduler
	forwarder     *forward.Forwarder
	ingress       *ingress.Server
	// targetMemory counts what targets hold for plain requests of all daemons, engineMemory what engines
	// hold for the requests that this daemon assigns; both are nil like memory.
	targetMemory, engineMemory *targetmemory.Tracker
	// memory is nil unless the contract on pressure is in force.
	memory       *memory.Budget
	metrics      *metric.EntryInstruments
	tableReaders map[string]*tableReader
	members      memberTable
	quarantine   quarantineTable
	loads        loadTable
	limitTable   limitTable
	rollouts     rolloutTable
	versions     versionTable

	listeners listeners
	stopping  atomic.Bool
	// closesAt is when a stop closes the connections of clients; it is zero before.
	closesAt time.Time
	tasks    tasks
}

// listeners are the listeners for clients (callers in the settings), for the load balancer's
// readiness checks and for other daemons.
type listeners struct {
	clients   net.Listener
	readiness net.Listener
	peers     net.Listener
}

// Serve runs until the context ends, then stops: it lets the requests in progress finish, at most
// until the stop grace of the settings is about to end. It returns an error if the start fails,
// or if a task fails, then without the steps of a stop.
func (d *Daemon) Serve(ctx context.Context) error {
	if err := d.runSteps(ctx, startSteps()); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err := <-d.tasks.failures():
		return err
	}
	return d.runSteps(context.WithoutCancel(ctx), stopSteps())
}

// step is one step of the start or stop; steps run in order until one fails.
type step struct {
	// name is logged if the step fails; operators search for it.
	name string
	run  func(d *Daemon, ctx context.Context) error
}

func startSteps() []step {
	return []step{
		{"read settings", readSettings},
		{"assemble", createComponents},
		{"listen", openListeners},
		{"start tasks", startTasks},
	}
}

func stopSteps() []step {
	return []step{
		{"turn unready", announceStop},
		{"close listener", closeClientListener},
		{"finish requests", waitForRequests},
		{"leave", shutDown},
	}
}

func (d *Daemon) runSteps(ctx context.Context, steps []step) error {
	for _, s := range steps {
		if err := s.run(d, ctx); err != nil {
			d.log.Emit(event.StepFailed, "Step", s.name, "Reason", err.Error())
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

func readSettings(d *Daemon, _ context.Context) error {
	d.log = event.Log{Logger: d.Logger}
	s, err := platform.ReadSettings(d.SettingsPath)
	if err != nil {
		return err
	}
	d.settings = s
	d.log = event.Log{Logger: d.Logger.WithValues("Host", s.Host)}
	return nil
}

func createComponents(d *Daemon, _ context.Context) error {
	s := d.settings
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryBytes) * heapMemoryShare))
	d.memory = newMemoryBudget(s)
	d.incarnation = strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	d.store = &platform.Store{Address: s.Store.Address, LocalAddress: s.IP, Caller: s.Host, LinkBitsPerSecond: s.Limits.LinkBitsPerSecond}
	d.inventory = &inventory.Inventory{Clock: d.Clock}
	d.pool = &exchange.Pool{Clock: d.Clock, LocalAddress: s.IP}
	d.mesh = &cluster.Mesh{
		Self: cluster.Member{
			Host:        s.Host,
			DataCentre:  s.DataCentre,
			Address:     s.Listen.Peers,
			Incarnation: d.incarnation,
			Weight:      s.Limits.CPUShare,
		},
		Clock:                d.Clock,
		Handler:              d,
		Log:                  d.log,
		ConfigurationVersion: d.configurationVersion,
		Memory:               d.memory,
	}
	tracker := &quarantine.Tracker{Clock: d.Clock}
	d.quarantine = quarantineTable{daemon: d, tracker: tracker, changes: make(chan quarantineChange, quarantineQueueLength), restored: make(chan struct{}, 1), broken: make(chan forward.BrokenAttempt, brokenQueueLength)}
	d.targetMemory, d.engineMemory = d.newTargetMemory(), d.newTargetMemory()
	d.scheduler = &scheduler.Scheduler{
		EngineMemory:    d.engineMemory,
		Host:            s.Host,
		Mesh:            d.mesh,
		Pool:            d.pool,
		Clock:           d.Clock,
		Log:             d.log,
		CacheLifetime:   s.Bounds.CacheReuse,
		ScarcePolicy:    d.ScarceCapacity,
		Quarantine:      tracker,
		PartQuarantined: d.quarantine.hold,
		PartReleased:    d.quarantine.release,
		EngineFailed:    d.inventory.RecordFailure,
		EngineSucceeded: d.inventory.RecordSuccess,
		TargetLeaving:   d.inventory.MarkLeaving,
		Loads:           &d.loads.table,
		Limits:          &d.limitTable.table,
		LimitNoticed:    d.limitTable.notice,
		MaxGap:          d.maxGap,
	}
	d.createRollouts()
	d.scheduler.Init()
	d.loads.daemon = d
	d.limitTable.daemon, d.limitTable.table.Share = d, d.limitTable.share
	d.forwarder = &forward.Forwarder{
		Table:           d.routeTable.Load,
		Inventory:       d.inventory,
		Scheduler:       d.scheduler,
		Pool:            d.pool,
		Clock:           d.Clock,
		Log:             d.log,
		DataCentre:      s.DataCentre,
		Quarantine:      tracker,
		AttemptBroken:   d.quarantine.attemptBroken,
		RequestAnswered: d.quarantine.requestAnswered,
		Loads:           &d.loads.table,
		LoadReported:    d.loads.add,
		Limits:          &d.limitTable.table,
		LimitNoticed:    d.limitTable.notice,
		TargetMemory:    d.targetMemory,
		Rollouts:        d.rollouts.sides,
		RetryBudget: &forward.RetryBudget{
			Clock:   d.Clock,
			Ratio:   s.Bounds.RetryRatio,
			Slack:   s.Bounds.RetrySlack,
			Window:  s.Bounds.RetryWindow,
			Daemons: d.daemonCount,
		},
	}
	d.ingress = &ingress.Server{
		Handler:           d.forwarder,
		Limits:            d.limits,
		Now:               d.Clock.Now,
		MaxTotalBodyBytes: int64(float64(s.Limits.MemoryBytes) * bodyMemoryShare),
		Memory:            d.memory,
		Account:           d.forwarder.AccountOf,
	}
	d.members = memberTable{daemon: d, lost: make(chan struct{}, 1), departed: make(chan departedRow, departedQueueLength)}
	d.createTableReaders()
	metrics, err := metric.NewEntryInstruments(State{}.gauges(), func() []metric.Gauge { return d.State().gauges() })
	if err != nil {
		return err
	}
	d.metrics, d.scheduler.Metrics, d.forwarder.Metrics = metrics, metrics, metrics
	return nil
}

// daemonCount returns the number of known daemons, this one included. Limits of the whole cluster
// are divided by it.
func (d *Daemon) daemonCount() int {
	return d.mesh.Size()
}

// configurationVersion returns the version of the configuration in use, 0 if there is none.
func (d *Daemon) configurationVersion() int64 {
	if t := d.routeTable.Load(); t != nil {
		return t.Version
	}
	return 0
}

// limits returns the limits for clients in the current configuration, none if there is no
// configuration.
func (d *Daemon) limits() route.Limits {
	if t := d.routeTable.Load(); t != nil {
		return t.Limits
	}
	return route.Limits{}
}

func openListeners(d *Daemon, _ context.Context) error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&d.listeners.clients, d.settings.Listen.Callers},
		{&d.listeners.readiness, d.settings.Listen.Readiness},
		{&d.listeners.peers, d.settings.Listen.Peers},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		*l.listener = listener
	}
	return nil
}

func startTasks(d *Daemon, _ context.Context) error {
	t := &d.tasks
	t.log = d.log
	// The names are logged; operators search for them.
	t.start("scheduler", d.scheduler.Run)
	t.start("peers", func(ctx context.Context) error { return d.mesh.Serve(ctx, d.listeners.peers) })
	for table, reader := range d.tableReaders {
		t.start("read "+table, reader.run)
	}
	t.start("register", d.members.register)
	t.start("quarantine", d.quarantine.run)
	t.start("crashes", d.quarantine.watchCrashes)
	t.start("loads", d.loads.run)
	if d.settings.Contracts.Rollout {
		t.start("rollouts", d.rollouts.run)
	}
	t.start("world", d.updateScheduler)
	t.start("sweep", d.closeExpiredConnections)
	t.start("memory", d.watchMemory)
	t.start("held requests", d.shareHeldRequests)
	t.start("reach", d.watchReachability)
	t.start("reload", d.watchSettings)
	t.start("readiness", d.serveReadiness)
	t.start("state", d.serveState)
	t.start("callers", func(ctx context.Context) error { return d.ingress.Serve(ctx, d.listeners.clients) })
	d.log.Emit(event.DaemonStarted, "Incarnation", d.incarnation, "DataCentre", d.settings.DataCentre)
	return nil
}

// serveReadiness answers the readiness checks of the load balancer.
func (d *Daemon) serveReadiness(ctx context.Context) error {
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(c *fasthttp.RequestCtx) {
			if string(c.Path()) != platform.ReadinessPath {
				c.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			if !d.isReady() {
				c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(d.listeners.readiness)
}

// isReady reports whether the load balancer may send clients: configuration, targets and, if they are
// read, rollouts have been loaded, and the daemon isn't stopping.
func (d *Daemon) isReady() bool {
	rollouts := d.tableReaders[platform.TableRollouts]
	return !d.stopping.Load() && d.routeTable.Load() != nil && d.tableReaders[platform.TableTargets].loaded() && (rollouts == nil || rollouts.loaded())
}

// sleep waits until the time has passed or the context ends.
func (d *Daemon) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.Clock.After(wait):
	}
}

// closeExpiredConnections periodically closes connections to targets that have been idle too
// long.
func (d *Daemon) closeExpiredConnections(ctx context.Context) error {
	ticker := d.Clock.NewTicker(connectionExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			d.pool.CloseExpired()
		}
	}
}

// announceStop makes the daemon unready, has client connections close after their next answer,
// informs the other daemons, starts to remove this one from the members table, and waits for the
// load balancer to remove the host.
func announceStop(d *Daemon, _ context.Context) error {
	d.stopping.Store(true)
	d.closesAt = d.Clock.Now().Add(d.settings.Bounds.StopGrace - stopMargin)
	d.forwarder.AnnounceStop(d.closesAt)
	d.log.Emit(event.DaemonStopping, "Connections", d.ingress.OpenConnections())
	d.ingress.Drain()
	d.mesh.AnnounceStop()
	d.members.unregister()
	d.Clock.Sleep(min(balancerDelay, d.settings.Bounds.StopGrace/3))
	return nil
}

// closeClientListener stops accepting clients and closes their idle connections.
func closeClientListener(d *Daemon, _ context.Context) error {
	d.tasks.stop("callers")
	d.ingress.CloseIdle()
	return nil
}

// waitForRequests waits for the requests of clients and for those of other daemons whose stages
// this daemon schedules, at most until stopMargin before the end of the stop grace. Requests of clients that
// wait for a target are rejected stopAnswerTime before that, since the end of their connection would leave
// their clients without an answer.
func waitForRequests(d *Daemon, _ context.Context) error {
	left := d.closesAt.Sub(d.Clock.Now())
	deadline := d.Clock.After(left)
	reject := d.Clock.After(left - min(stopAnswerTime, left/2))
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.ingress.Wait()
		d.scheduler.WaitIdle()
	}()
	for {
		select {
		case <-done:
			return nil
		case <-reject:
			d.forwarder.RejectWaiting()
		case <-deadline:
			return nil
		}
	}
}

// errStopped is the cause with which the last requests of a stopping daemon are cancelled.
var errStopped = problem.New(problem.Stopping, "the daemon has stopped")

// shutDown answers the requests that were not completed, closes the remaining client connections and stops
// all tasks.
func shutDown(d *Daemon, _ context.Context) error {
	d.forwarder.RejectWaiting() // also what is read from now on
	d.ingress.Cancel(errStopped)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		d.ingress.Wait()
	}()
	select {
	case <-answered:
	case <-d.Clock.After(lastAnswerTime):
	}
	d.ingress.CloseAll()
	d.tasks.stopAll()
	d.log.Emit(event.DaemonStopped, "Incarnation", d.incarnation)
	return nil
}
