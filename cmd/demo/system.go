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

// dataCentres are the data centres of the demonstration.
var dataCentres = []string{"ga-a", "ga-b", "ga-c"}

// system holds everything that the demonstration starts.
type system struct {
	// platformAddress is the IP address and port of the platform's stand-in.
	platformAddress string
	// daemons holds the settings of each daemon.
	daemons []settings.Settings
	targets []*operator.Target
	// ended holds one channel per server and daemon, which receives the result of its Serve.
	ended []chan error
}

// backEnd describes a target that runs in each data centre.
type backEnd struct {
	// name is the name of the target without that of its data centre.
	name string
	// costMicros is the cost of one attempt in millionths of the currency unit.
	costMicros int64
	profile    standintarget.Profile
}

// backEnds includes two targets for the kind llm: one that is slow and cold at first, and one that is
// fast and costs more.
var backEnds = []backEnd{
	{"llm", 100, standintarget.Profile{Kind: "llm", FirstMillis: 30, Tokens: 20, TokenMillis: 4, Batch: 4, ColdLimit: 1, WarmAfter: 5, StartCold: true}},
	{"llm-fast", 400, standintarget.Profile{Kind: "llm", FirstMillis: 15, Tokens: 20, TokenMillis: 2, Batch: 4, ColdLimit: 1, WarmAfter: 5}},
	{"retriever", 10, standintarget.Profile{Kind: "retriever", FirstMillis: 3}},
	{"reranker", 10, standintarget.Profile{Kind: "reranker", FirstMillis: 3}},
	{"orders", 20, standintarget.Profile{Kind: "orders", FirstMillis: 5, HidesAttempt: true}},
}

// start starts the stand-ins for the platform and for the targets, then the daemons, and waits until
// the daemons are ready. Everything runs until the context ends.
func start(ctx context.Context) (*system, error) {
	s := &system{}
	platformServer := &standinplatform.Server{}
	address, err := s.serve(ctx, platformServer.Serve)
	if err != nil {
		return nil, err
	}
	s.platformAddress = address
	var hosts []platform.Host
	for _, dataCentre := range dataCentres {
		hosts = append(hosts, platform.Host{Name: dataCentre + "-entry", DataCentre: dataCentre, State: platform.Live})
		if err := s.startTargets(ctx, dataCentre); err != nil {
			return nil, err
		}
	}
	if err := platformServer.SetHosts(hosts); err != nil {
		return nil, err
	}
	for _, host := range hosts {
		if err := s.startDaemon(ctx, host); err != nil {
			return nil, err
		}
	}
	for _, d := range s.daemons {
		if err := awaitReady(ctx, d.Address.Caller); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// serve runs a server on a free local address until the context ends, and returns the address.
func (s *system) serve(ctx context.Context, serve func(context.Context, net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	ended := make(chan error, 1)
	s.ended = append(s.ended, ended)
	go func() { ended <- serve(ctx, listener) }()
	return listener.Addr().String(), nil
}

// startTargets starts a stand-in for each of backEnds in a data centre.
func (s *system) startTargets(ctx context.Context, dataCentre string) error {
	for _, b := range backEnds {
		server := &standintarget.Server{Profile: b.profile}
		address, err := s.serve(ctx, server.Serve)
		if err != nil {
			return err
		}
		s.targets = append(s.targets, &operator.Target{
			Name: b.name + "-" + dataCentre, DataCentre: dataCentre, Kind: b.profile.Kind, Address: address,
			ColdLimit: 1, MaxInFlight: 4, CostMicros: b.costMicros, EchoesAttempt: !b.profile.HidesAttempt,
		})
	}
	return nil
}

// startDaemon starts a daemon on free local addresses for a host.
func (s *system) startDaemon(ctx context.Context, host platform.Host) error {
	daemonSettings := settings.Settings{
		Host:       host.Name,
		DataCentre: host.DataCentre,
		Platform:   settings.Platform{Address: s.platformAddress, Timeout: time.Second},
		Security:   settings.Security{TrustAccountHeader: true},
		Limit:      settings.Limit{BodyBytes: 1 << 20, InFlight: 1000},
		Timing:     settings.Timing{Poll: time.Second, Gossip: time.Second, Report: time.Second, DrainDelay: 100 * time.Millisecond, DrainLimit: time.Minute},
		Policy:     "Price",
	}
	for _, address := range []*string{&daemonSettings.Address.Caller, &daemonSettings.Address.Operator, &daemonSettings.Address.Peer, &daemonSettings.Address.Metrics} {
		free, err := freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	logger := logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	d := &daemon.Daemon{Settings: daemonSettings, Clock: clockwork.NewRealClock(), Logger: logger}
	ended := make(chan error, 1)
	s.ended = append(s.ended, ended)
	go func() { ended <- d.Serve(ctx) }()
	s.daemons = append(s.daemons, daemonSettings)
	return nil
}

// wait waits until all servers and daemons have ended. They end only after the context that was
// passed to start.
func (s *system) wait() {
	for _, ended := range s.ended {
		<-ended
	}
}

// operate runs call with a client of the first daemon's interface for operators.
func (s *system) operate(ctx context.Context, call func(client operator.OperatorClient) error) error {
	conn, err := grpc.NewClient("passthrough:///"+s.daemons[0].Address.Operator, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer conn.Close()
	return call(operator.NewOperatorClient(conn))
}

// awaitReady polls a daemon's readiness until it is ready or the context ends.
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

// freeAddress returns a local address and port that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free address")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
