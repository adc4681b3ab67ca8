// Package entry runs the daemon of one entry host on the platform: it reads the host's
// settings, learns configuration, targets and members, and serves clients.
//
// # Usage
//
//	h := &entry.Host{SettingsPath: path, Clock: clockwork.NewRealClock(), Logger: logger}
//	err := h.Serve(ctx) // until the context ends and every request has been answered
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
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/pkg/route"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// memoryShare is the share of the host's memory that the heap may take; the rest is for
	// stacks, buffers of the system and bytes that weren't read yet.
	memoryShare = 0.6
	// bodyShare is the share of the host's memory that bodies of requests may take.
	bodyShare = 0.25
	// balancerLag is the time after turning unready in which the balancer still sends new
	// connections: it asks every second and takes a host out after two misses.
	balancerLag = 2500 * time.Millisecond
	// stopMargin is the time before the end of the grace at which everything is closed.
	stopMargin = 400 * time.Millisecond
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
)

// Daemon is the daemon of one entry host.
type Daemon struct {
	SettingsPath string
	// MetricsPort is the port of the host's address from which metrics and the state are
	// read; 0 serves none.
	MetricsPort int
	Clock       clockwork.Clock
	Logger      logr.Logger
	// DroppedLogLines returns the number of log lines that were dropped; it may be nil.
	DroppedLogLines func() int64

	settings    platform.Settings
	incarnation string
	log         event.Log
	table       atomic.Pointer[route.Table]
	store       *platform.Store
	inventory   *inventory.Inventory
	pool        *exchange.Pool
	mesh        *cluster.Mesh
	scheduler   *scheduler.Scheduler
	forwarder   *forward.Forwarder
	front       *ingress.Server
	metrics     *metric.EntryInstruments
	readers     map[string]*tableReader
	members     members

	listeners listeners
	stopping  atomic.Bool
	tasks     tasks
}

// listeners are the open addresses.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	peers     net.Listener
}

// Serve runs until the context ends, then stops without cutting off a request.
func (h *Daemon) Serve(ctx context.Context) error {
	if err := h.run(ctx, startSteps()); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err := <-h.tasks.failures():
		return err
	}
	return h.run(context.WithoutCancel(ctx), stopSteps())
}

// step is one part of the start or the stop.
type step struct {
	name string
	run  func(h *Daemon, ctx context.Context) error
}

func startSteps() []step {
	return []step{
		{"read settings", readSettings},
		{"assemble", assemble},
		{"listen", listen},
		{"start tasks", startTasks},
	}
}

func stopSteps() []step {
	return []step{
		{"turn unready", turnUnready},
		{"close listener", closeListener},
		{"finish requests", finishRequests},
		{"leave", leave},
	}
}

func (h *Daemon) run(ctx context.Context, steps []step) error {
	for _, s := range steps {
		if err := s.run(h, ctx); err != nil {
			h.log.Emit(event.StepFailed, "Step", s.name, "Reason", err.Error())
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

func readSettings(h *Daemon, _ context.Context) error {
	h.log = event.Log{Logger: h.Logger}
	s, err := platform.ReadSettings(h.SettingsPath)
	if err != nil {
		return err
	}
	h.settings = s
	h.log = event.Log{Logger: h.Logger.WithValues("Host", s.Host)}
	return nil
}

func assemble(h *Daemon, _ context.Context) error {
	s := h.settings
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryBytes) * memoryShare))
	h.incarnation = strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	h.store = &platform.Store{Address: s.Store.Address, LocalAddress: s.IP, Caller: s.Host}
	h.inventory = &inventory.Inventory{Clock: h.Clock}
	h.pool = &exchange.Pool{Clock: h.Clock, LocalAddress: s.IP}
	h.mesh = &cluster.Mesh{
		Self: cluster.Member{
			Host:        s.Host,
			DataCentre:  s.DataCentre,
			Address:     s.Listen.Peers,
			Incarnation: h.incarnation,
			Weight:      s.Limits.CPUShare,
		},
		Clock:                h.Clock,
		Handler:              h,
		Log:                  h.log,
		ConfigurationVersion: h.version,
	}
	h.scheduler = &scheduler.Scheduler{
		Host:            s.Host,
		Mesh:            h.mesh,
		Pool:            h.pool,
		Clock:           h.Clock,
		Log:             h.log,
		CacheLifetime:   s.Bounds.CacheReuse,
		EngineFailed:    h.inventory.RecordFailure,
		EngineSucceeded: h.inventory.RecordSuccess,
	}
	h.scheduler.Init()
	h.forwarder = &forward.Forwarder{
		Table:      h.table.Load,
		Inventory:  h.inventory,
		Scheduler:  h.scheduler,
		Pool:       h.pool,
		Clock:      h.Clock,
		Log:        h.log,
		DataCentre: s.DataCentre,
		RetryBudget: &forward.RetryBudget{
			Clock:   h.Clock,
			Ratio:   s.Bounds.RetryRatio,
			Slack:   s.Bounds.RetrySlack,
			Window:  s.Bounds.RetryWindow,
			Daemons: h.daemons,
		},
	}
	h.front = &ingress.Server{
		Handler:           h.forwarder,
		Limits:            h.limits,
		Now:               h.Clock.Now,
		MaxTotalBodyBytes: int64(float64(s.Limits.MemoryBytes) * bodyShare),
	}
	h.members = members{host: h}
	h.makeReaders()
	metrics, err := metric.NewEntryInstruments(State{}.gauges(), func() []metric.Gauge { return h.State().gauges() })
	if err != nil {
		return err
	}
	h.metrics, h.scheduler.Metrics, h.forwarder.Metrics = metrics, metrics, metrics
	return nil
}

// daemons is the number of daemons that are known to share a bound.
func (h *Daemon) daemons() int {
	return h.mesh.Size()
}

func (h *Daemon) version() int64 {
	if t := h.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

func (h *Daemon) limits() route.Limits {
	if t := h.table.Load(); t != nil {
		return t.Limits
	}
	return route.Limits{}
}

func listen(h *Daemon, _ context.Context) error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&h.listeners.callers, h.settings.Listen.Callers},
		{&h.listeners.readiness, h.settings.Listen.Readiness},
		{&h.listeners.peers, h.settings.Listen.Peers},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		*l.listener = listener
	}
	return nil
}

func startTasks(h *Daemon, _ context.Context) error {
	t := &h.tasks
	t.log = h.log
	t.start("scheduler", h.scheduler.Run)
	t.start("peers", func(ctx context.Context) error { return h.mesh.Serve(ctx, h.listeners.peers) })
	for table, reader := range h.readers {
		t.start("read "+table, reader.run)
	}
	t.start("register", h.members.register)
	t.start("world", h.updateWorld)
	t.start("sweep", h.sweep)
	t.start("reach", h.watchReach)
	t.start("reload", h.watchSettings)
	t.start("readiness", h.serveReadiness)
	t.start("state", h.serveState)
	t.start("callers", func(ctx context.Context) error { return h.front.Serve(ctx, h.listeners.callers) })
	h.log.Emit(event.DaemonStarted, "Incarnation", h.incarnation, "DataCentre", h.settings.DataCentre)
	return nil
}

// serveReadiness answers the balancer.
func (h *Daemon) serveReadiness(ctx context.Context) error {
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(c *fasthttp.RequestCtx) {
			if string(c.Path()) != platform.ReadinessPath {
				c.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			if !h.isReady() {
				c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(h.listeners.readiness)
}

// isReady reports whether the balancer may send clients: a configuration and targets are
// known, and no stop has begun.
func (h *Daemon) isReady() bool {
	return !h.stopping.Load() && h.table.Load() != nil && h.readers[platform.TableTargets].loaded()
}

// sleep waits, but not beyond the end of the context.
func (h *Daemon) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-h.Clock.After(d):
	}
}

// sweep closes idle connections.
func (h *Daemon) sweep(ctx context.Context) error {
	ticker := h.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			h.pool.CloseExpired()
		}
	}
}

func turnUnready(h *Daemon, _ context.Context) error {
	h.stopping.Store(true)
	h.log.Emit(event.DaemonStopping, "Connections", h.front.OpenConnections())
	h.front.Drain()
	h.mesh.AnnounceStop()
	h.members.leave()
	h.Clock.Sleep(min(balancerLag, h.settings.Bounds.StopGrace/3))
	return nil
}

func closeListener(h *Daemon, _ context.Context) error {
	h.tasks.stop("callers")
	h.front.CloseIdle()
	return nil
}

// finishRequests waits for the requests in flight and for those of other daemons, as
// long as the grace allows.
func finishRequests(h *Daemon, _ context.Context) error {
	deadline := h.Clock.After(h.settings.Bounds.StopGrace - min(balancerLag, h.settings.Bounds.StopGrace/3) - stopMargin)
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.front.Wait()
		h.scheduler.WaitIdle()
	}()
	select {
	case <-done:
	case <-deadline:
	}
	return nil
}

func leave(h *Daemon, _ context.Context) error {
	h.front.CloseAll()
	h.tasks.stopAll()
	h.log.Emit(event.DaemonStopped, "Incarnation", h.incarnation)
	return nil
}
