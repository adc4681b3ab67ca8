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

// step is one step of the start or the planned stop.
type step struct {
	name string
	run  func(d *Daemon, ctx context.Context) error
}

// String returns the name of the step.
func (s step) String() string { return s.name }

// startSteps returns the steps of the start, in order.
func startSteps() []step {
	return []step{
		{"default settings", applyDefaultSettings},
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

// stopSteps returns the steps of a planned stop, in order.
func stopSteps() []step {
	return []step{
		{"turn unready", markUnready},
		{"finish callers", drainCallers},
		{"finish requests", drainRequests},
		{"hand over keys", handOverKeys},
		{"release targets", leaveMembership},
		{"finish forwarded", drainForwarded},
		{"stop tasks", stopTasks},
	}
}

// runSteps runs the steps in order and returns the first error.
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

func applyDefaultSettings(d *Daemon, _ context.Context) error {
	d.Settings.ApplyDefaults()
	return nil
}

func checkSettings(d *Daemon, _ context.Context) error {
	return d.Settings.Check()
}

// openMetrics creates the metrics and the runner, which needs them.
func openMetrics(d *Daemon, _ context.Context) error {
	instruments, err := metric.New()
	if err != nil {
		return err
	}
	d.metrics = instruments
	d.runner = &run.Runner{
		Clock:   d.Clock,
		Policy:  router.Policy(d.Settings.Policy),
		Fleet:   d.fleet,
		Links:   d.links,
		Peers:   d.peers,
		Cluster: d,
		Log:     d.log,
		History: d.history,
		Metrics: instruments,
	}
	return nil
}

// listen opens the listening sockets of all interfaces.
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

// openKeys opens the table that deduplicates requests by their idempotency keys.
func openKeys(d *Daemon, _ context.Context) error {
	d.deduplicator.Open()
	return nil
}

// servePeers starts the interface to other daemons.
func servePeers(d *Daemon, ctx context.Context) error {
	server := &peer.Server{Handler: d}
	d.tasks.start(ctx, "peers", func(ctx context.Context) error {
		return server.Serve(ctx, d.listeners.peer)
	})
	return nil
}

// loadConfiguration loads the newest configuration of the platform's table, whose reads may
// be stale, and of a few other daemons. If neither is reachable, the daemon accepts
// connections of callers but isn't ready.
func loadConfiguration(d *Daemon, ctx context.Context) error {
	d.poll(ctx)
	d.exchangeWithNeighbours(ctx)
	if !d.registry.Loaded() {
		d.exchangeWithSeeds(ctx)
	}
	return nil
}

// startTasks starts the periodic tasks.
func startTasks(d *Daemon, ctx context.Context) error {
	t := d.Settings.Timing
	d.tasks.start(ctx, "poll", d.runEvery(t.Poll, "poll", d.pollInTurn))
	d.tasks.start(ctx, "gossip", d.runEvery(t.Gossip, "gossip", d.gossip))
	d.tasks.start(ctx, "spread", d.broadcastChanges)
	d.tasks.start(ctx, "adoption", d.runEvery(adoptionInterval, "adoption", d.announceAdoption))
	d.tasks.start(ctx, "reports", d.runEvery(t.Report, "reports", d.fetchReports))
	d.tasks.start(ctx, "sweep", d.runEvery(expiryInterval, "sweep", d.expireEntries))
	d.tasks.start(ctx, "pause", d.detectPauses)
	d.tasks.start(ctx, "claims", d.runEvery(claimCheckInterval, "claims", d.deduplicator.RewriteClaims))
	d.tasks.start(ctx, "own drafts", d.runEvery(claimCheckInterval, "own drafts", d.drafts.Rewrite))
	d.tasks.start(ctx, "drafts", d.runEvery(recoveryInterval, "drafts", d.recoverDrafts))
	return nil
}

// serveOperators starts the gRPC interface to operators and the metrics endpoint.
func serveOperators(d *Daemon, ctx context.Context) error {
	authenticator := operator.Authenticator{Token: d.Settings.Security.OperatorToken}
	d.operatorServer = grpc.NewServer(grpc.UnaryInterceptor(authenticator.Intercept), grpc.MaxRecvMsgSize(d.Settings.Limit.BodyBytes))
	operatorpb.RegisterOperatorServer(d.operatorServer, &operator.Server{System: d})
	d.tasks.start(ctx, "operators", func(context.Context) error {
		return d.operatorServer.Serve(d.listeners.operator)
	})
	metrics := &fasthttp.Server{Handler: d.metrics.Handler(), NoDefaultServerHeader: true}
	d.tasks.start(ctx, "metrics", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = metrics.Shutdown() })
		defer stop()
		return metrics.Serve(d.listeners.metrics)
	})
	return nil
}

// serveCallers starts the HTTP interface to callers and makes the daemon ready.
func serveCallers(d *Daemon, ctx context.Context) error {
	server := &caller.Server{Service: d, MaxBodyBytes: d.Settings.Limit.BodyBytes}
	d.tasks.start(ctx, "callers", func(ctx context.Context) error {
		return server.Serve(ctx, d.listeners.caller)
	})
	d.ready.Store(true)
	d.log.Emit(event.DaemonStarted, "Incarnation", d.incarnation, "DataCentre", d.Settings.DataCentre, "Version", d.registry.Document().Version)
	return nil
}

// markUnready makes the daemon unready and waits the drain delay, so that the load balancer
// stops sending callers here.
func markUnready(d *Daemon, _ context.Context) error {
	d.ready.Store(false)
	d.log.Emit(event.DaemonStopping, "InFlight", d.inFlight.Load())
	d.Clock.Sleep(d.Settings.Timing.DrainDelay)
	return nil
}

// drainCallers stops the interface to callers after its open requests are answered.
func drainCallers(d *Daemon, _ context.Context) error {
	return d.tasks.stop("callers")
}

// drainRequests stops admitting work, then waits for drafts and forwarded work, at most for
// the drain limit, and for outcomes to be saved.
func drainRequests(d *Daemon, _ context.Context) error {
	d.stopping.Store(true)
	if err := d.tasks.stop("drafts"); err != nil {
		return err
	}
	d.pendingWork.wait(d.Clock, d.Settings.Timing.DrainLimit)
	d.deduplicator.Close()
	return nil
}

// drainForwarded waits for the work that other daemons forwarded before they adopted the
// view without this one, at most for the drain limit.
func drainForwarded(d *Daemon, _ context.Context) error {
	d.pendingWork.wait(d.Clock, d.Settings.Timing.DrainLimit)
	return nil
}

// stopTasks stops the remaining tasks and interfaces.
func stopTasks(d *Daemon, _ context.Context) error {
	for _, name := range []string{"poll", "gossip", "spread", "adoption", "reports", "sweep", "pause"} {
		if err := d.tasks.stop(name); err != nil {
			return err
		}
	}
	d.Clock.Sleep(replyFlushDelay)
	d.operatorServer.Stop()
	d.peers.Close()
	_ = d.tasks.stop("peers")
	_ = d.tasks.stop("metrics")
	d.log.Emit(event.DaemonStopped, "Incarnation", d.incarnation)
	return nil
}

// replyFlushDelay is the time that the last replies to other daemons get to be sent before
// connections are closed.
const replyFlushDelay = 200 * time.Millisecond
