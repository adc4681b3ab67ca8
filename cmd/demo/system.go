package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/sequoiapick/sequoiapick/internal/daemon"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/internal/settings"
	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// centres are the data centres of the demonstration.
var centres = []string{"ga-a", "ga-b", "ga-c"}

// world is everything that the demonstration starts.
type world struct {
	platformAddress string
	daemons         []settings.Settings
	targets         []*operator.Target
	ended           []chan error
}

// back is a sort of target that stands in each data centre.
type back struct {
	name    string
	cost    int64
	profile standintarget.Profile
}

var backs = []back{
	{"llm", 100, standintarget.Profile{Kind: "llm", FirstMillis: 30, Tokens: 20, TokenMillis: 4, Batch: 4, ColdLimit: 1, WarmAfter: 5, StartCold: true}},
	{"llm-fast", 400, standintarget.Profile{Kind: "llm", FirstMillis: 15, Tokens: 20, TokenMillis: 2, Batch: 4, ColdLimit: 1, WarmAfter: 5}},
	{"retriever", 10, standintarget.Profile{Kind: "retriever", FirstMillis: 3}},
	{"reranker", 10, standintarget.Profile{Kind: "reranker", FirstMillis: 3}},
	{"orders", 20, standintarget.Profile{Kind: "orders", FirstMillis: 5, HidesAttempt: true}},
}

// start starts the stand-ins and the daemons and waits until they are ready.
func start(ctx context.Context) (*world, error) {
	w := &world{}
	stand := &standinplatform.Server{}
	address, err := w.serve(ctx, stand.Serve)
	if err != nil {
		return nil, err
	}
	w.platformAddress = address
	var hosts []platform.Host
	for _, centre := range centres {
		hosts = append(hosts, platform.Host{Name: centre + "-entry", DataCentre: centre, State: platform.Live})
		if err := w.startTargets(ctx, centre); err != nil {
			return nil, err
		}
	}
	if err := stand.SetHosts(hosts); err != nil {
		return nil, err
	}
	for _, host := range hosts {
		if err := w.startDaemon(ctx, host); err != nil {
			return nil, err
		}
	}
	for _, s := range w.daemons {
		if err := awaitReady(ctx, s.Address.Caller); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// serve runs a server on an address of its own until the context ends.
func (w *world) serve(ctx context.Context, serve func(context.Context, net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	ended := make(chan error, 1)
	w.ended = append(w.ended, ended)
	go func() { ended <- serve(ctx, listener) }()
	return listener.Addr().String(), nil
}

func (w *world) startTargets(ctx context.Context, centre string) error {
	for _, b := range backs {
		server := &standintarget.Server{Profile: b.profile}
		address, err := w.serve(ctx, server.Serve)
		if err != nil {
			return err
		}
		w.targets = append(w.targets, &operator.Target{
			Name: b.name + "-" + centre, DataCentre: centre, Kind: b.profile.Kind, Address: address,
			ColdLimit: 1, MaxInFlight: 4, CostMicros: b.cost, EchoesAttempt: !b.profile.HidesAttempt,
		})
	}
	return nil
}

func (w *world) startDaemon(ctx context.Context, host platform.Host) error {
	s := settings.Settings{
		Host:       host.Name,
		DataCentre: host.DataCentre,
		Platform:   settings.Platform{Address: w.platformAddress, Timeout: time.Second},
		Security:   settings.Security{TrustAccountHeader: true},
		Limit:      settings.Limit{BodyBytes: 1 << 20, InFlight: 1000},
		Timing:     settings.Timing{Poll: time.Second, Gossip: time.Second, Report: time.Second, DrainDelay: 100 * time.Millisecond, DrainLimit: time.Minute},
		Policy:     "Price",
	}
	for _, address := range []*string{&s.Address.Caller, &s.Address.Operator, &s.Address.Peer, &s.Address.Metrics} {
		free, err := freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	logger := logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	d := &daemon.Daemon{Settings: s, Clock: clockwork.NewRealClock(), Logger: logger}
	ended := make(chan error, 1)
	w.ended = append(w.ended, ended)
	go func() { ended <- d.Serve(ctx) }()
	w.daemons = append(w.daemons, s)
	return nil
}

// stop waits for everything that was started; the context must have ended.
func (w *world) stop() {
	for _, ended := range w.ended {
		<-ended
	}
}

// operate calls the operators' interface of the first daemon.
func (w *world) operate(ctx context.Context, call func(client operator.OperatorClient) error) error {
	conn, err := grpc.NewClient("passthrough:///"+w.daemons[0].Address.Operator, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer conn.Close()
	return call(operator.NewOperatorClient(conn))
}

func awaitReady(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/readyz", time.Second)
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("daemon at %s is not ready", address)
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free address")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
