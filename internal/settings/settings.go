// Package settings is the one tree of a daemon's settings, read from flags and
// environment variables and checked before anything runs.
//
// # Usage
//
//	var s settings.Settings
//	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
//	s.Register(fs)
//	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(settings.EnvPrefix))
//	err = s.Check()
package settings

import (
	"flag"
	"net"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/router"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "SEQUOIAPICK"

// Settings is everything that an operator sets for one daemon.
type Settings struct {
	Host       string
	DataCentre string
	Address    Address
	Platform   Platform
	Peers      string
	Security   Security
	Limit      Limit
	Timing     Timing
	Policy     string
	LogLevel   int
}

// Address is where the daemon listens; each one is an IP address and a port.
type Address struct {
	Caller   string
	Operator string
	Peer     string
	// PeerAdvertised is what other daemons dial; empty means Peer.
	PeerAdvertised string
	Metrics        string
}

// Platform is how the platform is reached.
type Platform struct {
	Address string
	Timeout time.Duration
}

// Security is who may call.
type Security struct {
	OperatorToken string
	// TrustAccountHeader takes the account from a header; allowed on loopback only.
	TrustAccountHeader bool
}

// Limit bounds what one request and one daemon may take.
type Limit struct {
	BodyBytes int
	InFlight  int
}

// Timing is how often the daemon asks others and how it stops.
type Timing struct {
	Poll   time.Duration
	Gossip time.Duration
	Report time.Duration
	// DrainDelay is the time between turning unready and closing the listener.
	DrainDelay time.Duration
	// DrainLimit bounds the time for which a planned stop waits for requests.
	DrainLimit time.Duration
}

// Register defines a flag with its default for each setting.
func (s *Settings) Register(fs *flag.FlagSet) {
	fs.StringVar(&s.Host, "host", "", "name of this host in the platform's host list (required)")
	fs.StringVar(&s.DataCentre, "data-centre", "", "data centre of this host (required)")
	fs.StringVar(&s.Address.Caller, "caller-address", "127.0.0.1:8080", "IP:port for callers")
	fs.StringVar(&s.Address.Operator, "operator-address", "127.0.0.1:8081", "IP:port for operators")
	fs.StringVar(&s.Address.Peer, "peer-address", "127.0.0.1:8082", "IP:port for other daemons")
	fs.StringVar(&s.Address.PeerAdvertised, "peer-advertised", "", "IP:port that other daemons dial (default: the peer address)")
	fs.StringVar(&s.Address.Metrics, "metrics-address", "127.0.0.1:8083", "IP:port from which metrics are read")
	fs.StringVar(&s.Platform.Address, "platform-address", "127.0.0.1:7000", "IP:port of the platform")
	fs.DurationVar(&s.Platform.Timeout, "platform-timeout", time.Second, "time limit of one call to the platform")
	fs.StringVar(&s.Peers, "peers", "", "IP:port list of daemons to ask while the platform is out of reach, separated by commas")
	fs.StringVar(&s.Security.OperatorToken, "operator-token", "", "bearer token of operators; none is allowed on loopback only")
	fs.BoolVar(&s.Security.TrustAccountHeader, "trust-account-header", false, "take the account from the Account header; allowed on loopback only")
	fs.IntVar(&s.Limit.BodyBytes, "max-body-bytes", 4<<20, "largest request body in bytes")
	fs.IntVar(&s.Limit.InFlight, "max-in-flight", 1000, "requests that the daemon serves at a time")
	fs.DurationVar(&s.Timing.Poll, "poll-interval", time.Second, "time between reads of the platform's table by the daemons that poll it")
	fs.DurationVar(&s.Timing.Gossip, "gossip-interval", time.Second, "time between exchanges with one other daemon")
	fs.DurationVar(&s.Timing.Report, "report-interval", 4*time.Second, "time between reads of a target's report")
	fs.DurationVar(&s.Timing.DrainDelay, "drain-delay", 2*time.Second, "time between turning unready and closing the callers' listener")
	fs.DurationVar(&s.Timing.DrainLimit, "drain-limit", 10*time.Minute, "longest wait for requests in flight at a planned stop")
	fs.StringVar(&s.Policy, "policy", string(router.Price), "routing policy: Price, RoundRobin or LeastReported")
	fs.IntVar(&s.LogLevel, "log-level", 0, "verbosity from -8 (everything) to 8 (errors only)")
}

// ApplyDefaults fills in what follows from other settings.
func (s *Settings) ApplyDefaults() {
	if s.Address.PeerAdvertised == "" {
		s.Address.PeerAdvertised = s.Address.Peer
	}
}

// Seeds returns the daemons to ask while the platform is out of reach.
func (s *Settings) Seeds() []string {
	var seeds []string
	for _, seed := range strings.Split(s.Peers, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// Check returns an error of kind Invalid that names the first bad setting, its value
// and what is allowed.
func (s *Settings) Check() error {
	checks := []func() error{s.checkNames, s.checkAddresses, s.checkSecurity, s.checkLimits, s.checkTiming, s.checkPolicy}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func invalid(setting string, value any, allowed string) error {
	return problem.New(problem.Invalid, "setting %s has the value %q, allowed is %s", setting, value, allowed)
}

func (s *Settings) checkNames() error {
	for _, n := range []struct{ setting, value string }{{"host", s.Host}, {"data-centre", s.DataCentre}} {
		if n.value == "" || strings.ContainsAny(n.value, "/ ") {
			return invalid(n.setting, n.value, "a name without spaces and slashes")
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	addresses := []struct{ setting, value string }{
		{"caller-address", s.Address.Caller},
		{"operator-address", s.Address.Operator},
		{"peer-address", s.Address.Peer},
		{"peer-advertised", s.Address.PeerAdvertised},
		{"metrics-address", s.Address.Metrics},
		{"platform-address", s.Platform.Address},
	}
	for _, seed := range s.Seeds() {
		addresses = append(addresses, struct{ setting, value string }{"peers", seed})
	}
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			return invalid(a.setting, a.value, "IP:port")
		}
	}
	return nil
}

func (s *Settings) checkSecurity() error {
	if s.Security.TrustAccountHeader && !loopback(s.Address.Caller) {
		return invalid("trust-account-header", "true", "false, unless caller-address is a loopback address")
	}
	if s.Security.OperatorToken == "" && !loopback(s.Address.Operator) {
		return invalid("operator-token", "", "a token, unless operator-address is a loopback address")
	}
	return nil
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}

func (s *Settings) checkLimits() error {
	if s.Limit.BodyBytes < 1 {
		return problem.New(problem.Invalid, "setting max-body-bytes has the value %d, allowed is 1 or more", s.Limit.BodyBytes)
	}
	if s.Limit.InFlight < 1 {
		return problem.New(problem.Invalid, "setting max-in-flight has the value %d, allowed is 1 or more", s.Limit.InFlight)
	}
	return nil
}

func (s *Settings) checkTiming() error {
	for _, d := range []struct {
		setting string
		value   time.Duration
	}{
		{"platform-timeout", s.Platform.Timeout},
		{"poll-interval", s.Timing.Poll},
		{"gossip-interval", s.Timing.Gossip},
		{"report-interval", s.Timing.Report},
		{"drain-limit", s.Timing.DrainLimit},
	} {
		if d.value <= 0 {
			return invalid(d.setting, d.value.String(), "a duration above 0, such as 500ms")
		}
	}
	if s.Timing.DrainDelay < 0 {
		return invalid("drain-delay", s.Timing.DrainDelay.String(), "a duration of 0 or more")
	}
	return nil
}

func (s *Settings) checkPolicy() error {
	for _, p := range router.Policies() {
		if s.Policy == string(p) {
			return nil
		}
	}
	return invalid("policy", s.Policy, "Price, RoundRobin or LeastReported")
}
