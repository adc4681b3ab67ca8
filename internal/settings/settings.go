// Package settings defines all settings of a daemon. They are read from flags and environment
// variables and checked before the daemon starts.
//
// # Usage
//
//	var s settings.Settings
//	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
//	s.Register(fs)
//	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(settings.EnvPrefix))
//	s.ApplyDefaults()
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

// EnvPrefix starts the name of every environment variable. The flag's name in capitals with
// underscores follows, as in SEQUOIAPICK_MAX_IN_FLIGHT.
const EnvPrefix = "SEQUOIAPICK"

// Settings holds all settings of one daemon.
type Settings struct {
	// Host is the name of this host in the platform's host list.
	Host string
	// DataCentre is the data centre of this host.
	DataCentre string
	Address    Address
	Platform   Platform
	// Peers lists the addresses of other daemons, separated by commas; see Seeds.
	Peers    string
	Security Security
	Limit    Limit
	Timing   Timing
	// Policy is one of router.Policies.
	Policy string
	// LogLevel is from -8 (everything) to 8 (errors only).
	LogLevel int
}

// Address holds the addresses on which the daemon listens, each as IP:port.
type Address struct {
	Caller   string
	Operator string
	Peer     string
	// PeerAdvertised is the address that other daemons dial; empty means Peer.
	PeerAdvertised string
	// Metrics is the address from which metrics are read.
	Metrics string
}

// Platform holds the settings of the connection to the platform.
type Platform struct {
	// Address is the IP:port of the platform.
	Address string
	// Timeout limits the duration of one call.
	Timeout time.Duration
}

// Security holds the settings that control who may call.
type Security struct {
	// OperatorToken is the bearer token of operators. Empty admits every call and is allowed
	// only if the daemon listens for operators on a loopback address.
	OperatorToken string
	// TrustAccountHeader takes the account from a header. It is allowed only if the daemon
	// listens for callers on a loopback address.
	TrustAccountHeader bool
}

// Limit holds limits of requests.
type Limit struct {
	// BodyBytes limits the length in bytes of one request body.
	BodyBytes int
	// InFlight limits the requests in flight in the daemon.
	InFlight int
}

// Timing holds the intervals of periodic work and the durations of a planned stop.
type Timing struct {
	// Poll is the time between reads of the platform's table.
	Poll time.Duration
	// Gossip is the time between gossip exchanges, in which this daemon and another one
	// exchange digests of what they know.
	Gossip time.Duration
	// Report is the time between reads of a target's report.
	Report time.Duration
	// DrainDelay is the time between becoming unready and closing the callers' listener.
	DrainDelay time.Duration
	// DrainLimit limits the wait for requests in flight at a planned stop.
	DrainLimit time.Duration
}

// Register defines a flag with its default for each setting. The help texts must equal those in
// docs/SETTINGS.md.
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
	fs.StringVar(&s.Peers, "peers", "", "IP:port list of other daemons, separated by commas, that are asked while the platform can't be reached")
	fs.StringVar(&s.Security.OperatorToken, "operator-token", "", "bearer token of operators; may be empty only if operator-address is a loopback address")
	fs.BoolVar(&s.Security.TrustAccountHeader, "trust-account-header", false, "take the account from the Account header; allowed only if caller-address is a loopback address")
	fs.IntVar(&s.Limit.BodyBytes, "max-body-bytes", 4<<20, "largest request body in bytes")
	fs.IntVar(&s.Limit.InFlight, "max-in-flight", 1000, "limit of requests in flight in the daemon")
	fs.DurationVar(&s.Timing.Poll, "poll-interval", time.Second, "time between reads of the platform's table by the daemons that poll it")
	fs.DurationVar(&s.Timing.Gossip, "gossip-interval", time.Second, "time between gossip exchanges with another daemon")
	fs.DurationVar(&s.Timing.Report, "report-interval", 4*time.Second, "time between reads of a target's report")
	fs.DurationVar(&s.Timing.DrainDelay, "drain-delay", 2*time.Second, "time between becoming unready and closing the callers' listener")
	fs.DurationVar(&s.Timing.DrainLimit, "drain-limit", 10*time.Minute, "longest wait for requests in flight at a planned stop")
	fs.StringVar(&s.Policy, "policy", string(router.Price), "routing policy: Price, RoundRobin or LeastReported")
	fs.IntVar(&s.LogLevel, "log-level", 0, "verbosity from -8 (everything) to 8 (errors only)")
}

// ApplyDefaults sets the settings whose defaults depend on other settings.
func (s *Settings) ApplyDefaults() {
	if s.Address.PeerAdvertised == "" {
		s.Address.PeerAdvertised = s.Address.Peer
	}
}

// Seeds returns the addresses of the daemons that are asked while the platform can't be reached.
func (s *Settings) Seeds() []string {
	var seeds []string
	for _, seed := range strings.Split(s.Peers, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// Check returns an error of kind Invalid for the first invalid setting. The error contains the
// setting, its value and the allowed values.
func (s *Settings) Check() error {
	checks := []func() error{s.checkNames, s.checkAddresses, s.checkSecurity, s.checkLimits, s.checkTiming, s.checkPolicy}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// invalidSetting returns the error for a setting with a value that isn't allowed.
func invalidSetting(setting string, value any, allowed string) error {
	return problem.New(problem.Invalid, "setting %s has the value %q, allowed is %s", setting, value, allowed)
}

func (s *Settings) checkNames() error {
	for _, n := range []struct{ setting, value string }{{"host", s.Host}, {"data-centre", s.DataCentre}} {
		if n.value == "" || strings.ContainsAny(n.value, "/ ") {
			return invalidSetting(n.setting, n.value, "a name without spaces and slashes")
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
			return invalidSetting(a.setting, a.value, "IP:port")
		}
	}
	return nil
}

func (s *Settings) checkSecurity() error {
	if s.Security.TrustAccountHeader && !isLoopback(s.Address.Caller) {
		return invalidSetting("trust-account-header", "true", "false, unless caller-address is a loopback address")
	}
	if s.Security.OperatorToken == "" && !isLoopback(s.Address.Operator) {
		return invalidSetting("operator-token", "", "a token, unless operator-address is a loopback address")
	}
	return nil
}

// isLoopback reports whether the address is IP:port with a loopback IP address.
func isLoopback(address string) bool {
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
			return invalidSetting(d.setting, d.value.String(), "a duration above 0, such as 500ms")
		}
	}
	if s.Timing.DrainDelay < 0 {
		return invalidSetting("drain-delay", s.Timing.DrainDelay.String(), "a duration of 0 or more")
	}
	return nil
}

func (s *Settings) checkPolicy() error {
	for _, p := range router.Policies() {
		if s.Policy == string(p) {
			return nil
		}
	}
	return invalidSetting("policy", s.Policy, "Price, RoundRobin or LeastReported")
}
