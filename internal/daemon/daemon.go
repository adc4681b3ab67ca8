// Package daemon assembles the parts of one daemon process and runs them: the interfaces to
// callers, operators and other daemons, the periodic tasks, and the planned stop.
//
// # Usage
//
//	d := &daemon.Daemon{Settings: s, Clock: clockwork.NewRealClock(), Logger: logger}
//	err := d.Serve(ctx) // returns after the context ends and the planned stop is complete
package daemon

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"github.com/sequoiapick/sequoiapick/internal/admission"
	"github.com/sequoiapick/sequoiapick/internal/claim"
	"github.com/sequoiapick/sequoiapick/internal/draft"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/fleet"
	"github.com/sequoiapick/sequoiapick/internal/history"
	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/peer"
	"github.com/sequoiapick/sequoiapick/internal/registry"
	"github.com/sequoiapick/sequoiapick/internal/run"
	"github.com/sequoiapick/sequoiapick/internal/settings"
	store "github.com/sequoiapick/sequoiapick/platform"
)

// Daemon is one daemon process. Set Settings, Clock and Logger before Serve.
type Daemon struct {
	Settings settings.Settings
	Clock    clockwork.Clock
	Logger   logr.Logger

	// incarnation identifies this run of the process.
	incarnation  string
	log          event.Log
	metrics      *metric.Instruments
	platform     *store.ProductStore
	registry     *registry.Registry
	fleet        *fleet.Fleet
	links        *link.Pool
	peers        *peer.Client
	deduplicator *claim.Deduplicator
	drafts       *draft.Store
	runner       *run.Runner
	admission    *admission.Controller
	history      *history.Store

	listeners      listeners
	operatorServer *grpc.Server

	mu sync.Mutex
	// views holds the newest known view by data centre.
	views map[string]membership.View
	// viewEra is the era of the platform's table in which the view of this data centre was last read
	// or written; viewEraKnown is set once it was.
	viewEra      uint64
	viewEraKnown bool
	// left holds the incarnations that are no longer in the view of this data centre, the oldest
	// first.
	left []string
	// successions holds the successors of stopped daemons, by stopped incarnation.
	successions map[string]succession
	// seenMessages holds the IDs of the relayed notices and changes.
	seenMessages map[string]bool
	// announced isn't guarded by mu: only the adoption task uses it, and only the poll task
	// its pollTick.
	announced announcedState
	// outSince holds the time at which a data centre was first found out of service.
	outSince map[string]time.Time
	// orderLocks serializes the orders to a target, by target.
	orderLocks map[string]*sync.Mutex
	// changeSignal wakes the task that broadcasts changes.
	changeSignal chan struct{}

	// broadcastMu guards lastBroadcast and is held while received changes are applied, so
	// that those of a broadcast aren't broadcast again as this daemon's own.
	broadcastMu   sync.Mutex
	lastBroadcast broadcastState

	// ready is set between the end of the start and the beginning of the planned stop.
	ready atomic.Bool
	// stopping is set when a planned stop no longer admits work.
	stopping atomic.Bool
	// inFlight counts the running synchronous requests of callers.
	inFlight atomic.Int64
	// pendingWork counts the running requests, forwarded work, drafts and background calls,
	// which a planned stop waits for.
	pendingWork workCounter
	tasks       tasks
}

// listeners are the daemon's listening sockets.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
	metrics  net.Listener
}

// Serve runs the daemon until the context ends, then stops it as planned: requests are
// completed first, for at most the drain limit of the settings.
func (d *Daemon) Serve(ctx context.Context) error {
	d.assemble()
	if err := d.runSteps(ctx, startSteps()); err != nil {
		return err
	}
	<-ctx.Done()
	return d.runSteps(context.WithoutCancel(ctx), stopSteps())
}

// assemble generates the incarnation, 12 hexadecimal digits, and creates the parts of the
// daemon. It starts nothing.
func (d *Daemon) assemble() {
	d.incarnation = strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	d.log = event.Log{Logger: d.Logger.WithValues("Host", d.Settings.Host)}
	d.views = map[string]membership.View{}
	d.successions = map[string]succession{}
	d.seenMessages = map[string]bool{}
	d.changeSignal = make(chan struct{}, 1)
	d.platform = &store.ProductStore{Store: &store.Store{
		Address:     d.Settings.Platform.Address,
		Caller:      d.Settings.Host,
		CallTimeout: d.Settings.Platform.Timeout,
	}}
	d.registry = &registry.Registry{Table: d.platform, Objects: d.platform, Log: d.log, OnChange: d.signalChange}
	d.fleet = &fleet.Fleet{Clock: d.Clock, Host: d.Settings.Host, DataCentre: d.Settings.DataCentre}
	d.links = &link.Pool{LocalAddress: hostPart(d.Settings.Address.Peer)}
	d.peers = &peer.Client{LocalAddress: hostPart(d.Settings.Address.Peer)}
	d.history = &history.Store{}
	d.admission = &admission.Controller{Clock: d.Clock, MaxInFlight: d.Settings.Limit.InFlight}
	d.deduplicator = &claim.Deduplicator{
		Incarnation: d.incarnation,
		Table:       d.platform,
		Forwarder:   d,
		Clock:       d.Clock,
		Log:         d.log,
		RestoreWait: (backupPollIntervals + 2) * d.Settings.Timing.Poll,
	}
	d.drafts = &draft.Store{
		Table:       d.platform,
		Objects:     d.platform,
		Incarnation: d.incarnation,
		DataCentre:  d.Settings.DataCentre,
		Clock:       d.Clock,
	}
}

// selfMember returns this daemon as a member of its data centre.
func (d *Daemon) selfMember() membership.Member {
	return membership.Member{
		Host:          d.Settings.Host,
		Incarnation:   d.incarnation,
		PeerAddress:   d.Settings.Address.PeerAdvertised,
		CallerAddress: d.Settings.Address.Caller,
	}
}

// hostPart returns the host of a host:port address, or "" if it is malformed.
func hostPart(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
