package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/operator"
	"github.com/sequoiapick/sequoiapick/internal/peer"
	"github.com/sequoiapick/sequoiapick/internal/router"
	"github.com/sequoiapick/sequoiapick/internal/run"
	operatorpb "github.com/sequoiapick/sequoiapick/pkg/operator"
)

// step is one part of the start or the stop.
type step struct {
	name string
	run  func(d *Daemon, ctx context.Context) error
}

// String names the step.
func (s step) String() string { return s.name }

// startSteps is the order of the start.
func startSteps() []step {
	return []step{
		{"default settings", defaultSettings},
		{"check settings", checkSettings},
		{"open metrics", openMetrics},
		{"listen", listen},
		{"open keys", openKeys},
		{"serve peers", servePeers},
		{"load configuration", loadConfiguration},
		{"start tasks", startTasks},
		{"serve operators", serveOperators},
		{"serve callers", serveCallers},
	}
}

// stopSteps is the order of a planned stop.
func stopSteps() []step {
	return []step{
		{"turn unready", turnUnready},
		{"finish callers", finishCallers},
		{"finish requests", finishRequests},
		{"hand over keys", handOverKeys},
		{"release targets", releaseTargets},
		{"finish forwarded", finishForwarded},
		{"stop tasks", stopTasks},
	}
}

// runSteps runs the steps in turn and stops at the first failure.
func (d *Daemon) runSteps(ctx context.Context, steps []step) error {
	for _, s := range steps {
		started := d.Clock.Now()
		if err := s.run(d, ctx); err != nil {
			d.log.Emit(event.StepFailed, "Step", s.String(), "Reason", err.Error())
			return errors.Wrap(err, s.String())
		}
		d.Logger.V(1).Info("Step", "Step", s.String(), "Took", d.Clock.Since(started).String())
	}
	return nil
}

func defaultSettings(d *Daemon, _ context.Context) error {
	d.Settings.ApplyDefaults()
	return nil
}

func checkSettings(d *Daemon, _ context.Context) error {
	return d.Settings.Check()
}

func openMetrics(d *Daemon, _ context.Context) error {
	set, err := metric.New()
	if err != nil {
		return err
	}
	d.metrics = set
	d.runner = &run.Runner{
		Clock:   d.Clock,
		Policy:  router.Policy(d.Settings.Policy),
		Fleet:   d.fleet,
		Links:   d.links,
		Peers:   d.peers,
		Cluster: d,
		Log:     d.log,
		History: d.history,
		Metrics: set,
	}
	return nil
}

func listen(d *Daemon, _ context.Context) error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&d.listeners.caller, d.Settings.Address.Caller},
		{&d.listeners.operator, d.Settings.Address.Operator},
		{&d.listeners.peer, d.Settings.Address.Peer},
		{&d.listeners.metrics, d.Settings.Address.Metrics},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		*l.listener = listener
	}
	return nil
}

func openKeys(d *Daemon, _ context.Context) error {
	d.claims.Open()
	return nil
}

func servePeers(d *Daemon, ctx context.Context) error {
	server := &peer.Server{Handler: d}
	d.tasks.start(ctx, "peers", func(ctx context.Context) error {
		return server.Serve(ctx, d.listeners.peer)
	})
	return nil
}

// loadConfiguration takes the highest configuration of the platform's table, whose
// reads may be stale, and of a few other daemons. Without either the daemon listens to
// callers but isn't ready.
func loadConfiguration(d *Daemon, ctx context.Context) error {
	d.poll(ctx)
	d.askNeighbours(ctx)
	if !d.registry.Loaded() {
		d.askSeeds(ctx)
	}
	return nil
}

func startTasks(d *Daemon, ctx context.Context) error {
	t := d.Settings.Timing
	d.tasks.start(ctx, "poll", d.every(t.Poll, "poll", d.pollInTurn))
	d.tasks.start(ctx, "gossip", d.every(t.Gossip, "gossip", d.gossip))
	d.tasks.start(ctx, "spread", d.spreadChanges)
	d.tasks.start(ctx, "adoption", d.every(adoptionInterval, "adoption", d.announceAdoption))
	d.tasks.start(ctx, "reports", d.every(t.Report, "reports", d.readReports))
	d.tasks.start(ctx, "sweep", d.every(sweepInterval, "sweep", d.sweep))
	d.tasks.start(ctx, "pause", d.watchPauses)
	d.tasks.start(ctx, "drafts", d.every(recoveryInterval, "drafts", d.recoverDrafts))
	return nil
}

func serveOperators(d *Daemon, ctx context.Context) error {
	guard := operator.Authenticator{Token: d.Settings.Security.OperatorToken}
	d.rpc = grpc.NewServer(grpc.UnaryInterceptor(guard.Intercept), grpc.MaxRecvMsgSize(d.Settings.Limit.BodyBytes))
	operatorpb.RegisterOperatorServer(d.rpc, &operator.Server{System: d})
	d.tasks.start(ctx, "operators", func(context.Context) error {
		return d.rpc.Serve(d.listeners.operator)
	})
	metrics := &fasthttp.Server{Handler: d.metrics.Handler(), NoDefaultServerHeader: true}
	d.tasks.start(ctx, "metrics", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = metrics.Shutdown() })
		defer stop()
		return metrics.Serve(d.listeners.metrics)
	})
	return nil
}

func serveCallers(d *Daemon, ctx context.Context) error {
	front := &caller.Server{Service: d, MaxBodyBytes: d.Settings.Limit.BodyBytes}
	d.tasks.start(ctx, "callers", func(ctx context.Context) error {
		return front.Serve(ctx, d.listeners.caller)
	})
	d.ready.Store(true)
	d.log.Emit(event.DaemonStarted, "Incarnation", d.incarnation, "DataCentre", d.Settings.DataCentre, "Version", d.registry.Document().Version)
	return nil
}

func turnUnready(d *Daemon, _ context.Context) error {
	d.ready.Store(false)
	d.log.Emit(event.DaemonStopping, "InFlight", d.inFlight.Load())
	d.Clock.Sleep(d.Settings.Timing.DrainDelay)
	return nil
}

func finishCallers(d *Daemon, _ context.Context) error {
	return d.tasks.stop("callers")
}

// finishRequests waits for drafts and forwarded work, and for outcomes to be saved.
func finishRequests(d *Daemon, _ context.Context) error {
	d.stopping.Store(true)
	if err := d.tasks.stop("drafts"); err != nil {
		return err
	}
	d.work.wait(d.Clock, d.Settings.Timing.DrainLimit)
	d.claims.Close()
	return nil
}

// finishForwarded waits for what other daemons have sent here before they learnt that
// this one has left.
func finishForwarded(d *Daemon, _ context.Context) error {
	d.work.wait(d.Clock, d.Settings.Timing.DrainLimit)
	return nil
}

func stopTasks(d *Daemon, _ context.Context) error {
	for _, name := range []string{"poll", "gossip", "spread", "adoption", "reports", "sweep", "pause"} {
		if err := d.tasks.stop(name); err != nil {
			return err
		}
	}
	d.Clock.Sleep(lastReplies)
	d.rpc.Stop()
	d.peers.Close()
	_ = d.tasks.stop("peers")
	_ = d.tasks.stop("metrics")
	d.log.Emit(event.DaemonStopped, "Incarnation", d.incarnation)
	return nil
}

// lastReplies is the time in which replies to other daemons leave before a stop ends.
const lastReplies = 200 * time.Millisecond
