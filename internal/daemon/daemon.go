// Package daemon assembles the parts of one daemon and runs them: the interfaces to
// callers, operators and other daemons, the periodic tasks, and the planned stop.
//
// # Usage
//
//	d := &daemon.Daemon{Settings: s, Clock: clockwork.NewRealClock(), Logger: logger}
//	err := d.Serve(ctx) // until the context ends and every request has been answered
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

// Daemon is one process of the system.
type Daemon struct {
	Settings settings.Settings
	Clock    clockwork.Clock
	Logger   logr.Logger

	incarnation string
	log         event.Log
	metrics     *metric.Instruments
	platform    *store.ProductStore
	registry    *registry.Registry
	fleet       *fleet.Fleet
	links       *link.Pool
	peers       *peer.Client
	claims      *claim.Deduplicator
	drafts      *draft.Store
	runner      *run.Runner
	admission   *admission.Controller
	history     *history.Store

	listeners listeners
	rpc       *grpc.Server

	mu       sync.Mutex
	views    map[string]membership.View
	heirs    map[string]heir
	notices  map[string]bool
	adopted  adoptedState
	outSince map[string]time.Time
	turns    map[string]*sync.Mutex
	moved    chan struct{}

	spreadMu sync.Mutex
	spread   spreadState

	ready    atomic.Bool
	stopping atomic.Bool
	inFlight atomic.Int64
	work     work
	tasks    tasks
}

// listeners are the daemon's open addresses.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
	metrics  net.Listener
}

// Serve runs until the context ends, then stops without cutting off a request.
func (d *Daemon) Serve(ctx context.Context) error {
	d.assemble()
	if err := d.runSteps(ctx, startSteps()); err != nil {
		return err
	}
	<-ctx.Done()
	return d.runSteps(context.WithoutCancel(ctx), stopSteps())
}

// assemble builds the parts; nothing runs yet.
func (d *Daemon) assemble() {
	d.incarnation = strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	d.log = event.Log{Logger: d.Logger.WithValues("Host", d.Settings.Host)}
	d.views = map[string]membership.View{}
	d.heirs = map[string]heir{}
	d.notices = map[string]bool{}
	d.moved = make(chan struct{}, 1)
	d.platform = &store.ProductStore{Store: &store.Store{
		Address:     d.Settings.Platform.Address,
		Caller:      d.Settings.Host,
		CallTimeout: d.Settings.Platform.Timeout,
	}}
	d.registry = &registry.Registry{Table: d.platform, Objects: d.platform, Log: d.log, OnChange: d.changed}
	d.fleet = &fleet.Fleet{Clock: d.Clock, Host: d.Settings.Host, DataCentre: d.Settings.DataCentre}
	d.links = &link.Pool{LocalAddress: hostOf(d.Settings.Address.Peer)}
	d.peers = &peer.Client{LocalAddress: hostOf(d.Settings.Address.Peer)}
	d.history = &history.Store{}
	d.admission = &admission.Controller{Clock: d.Clock, MaxInFlight: d.Settings.Limit.InFlight}
	d.claims = &claim.Deduplicator{
		Incarnation: d.incarnation,
		Table:       d.platform,
		Forwarder:   d,
		Clock:       d.Clock,
		Log:         d.log,
	}
	d.drafts = &draft.Store{
		Table:       d.platform,
		Objects:     d.platform,
		Incarnation: d.incarnation,
		DataCentre:  d.Settings.DataCentre,
	}
}

// me is this daemon as a member.
func (d *Daemon) me() membership.Member {
	return membership.Member{
		Host:          d.Settings.Host,
		Incarnation:   d.incarnation,
		PeerAddress:   d.Settings.Address.PeerAdvertised,
		CallerAddress: d.Settings.Address.Caller,
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
