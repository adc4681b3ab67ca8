// Package route holds one version of the configuration that operators store in the platform:
// which requests are accepted, with which deadline and latency objective, and which stages and
// services run them.
//
// # Usage
//
//	table := route.NewTable(version, routes, services, limits, accounts)
//	r, ok := table.Match(host, path)
//	account, ok := table.AccountByKey(key)
package route

import (
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Kind defines whether requests of a route may be repeated, and how they are answered.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "Safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "Unsafe"
	// Streaming requests are answered by a stream of events.
	Streaming Kind = "Streaming"
)

// Route defines how requests with one host name and path prefix are handled.
type Route struct {
	Name string
	// Host is the host name of the requests, without a port.
	Host string
	// Prefix is the start of the request path.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from the arrival of a request to its complete answer; 0 means
	// that the client or a default sets the bound.
	Timeout time.Duration
	// LatencyObjective is the time from the arrival of a request within which its answer is worth
	// its full price. For streams, it applies to the first event.
	LatencyObjective time.Duration
	// Priority ranks the requests; 0 is the highest.
	Priority int
	// Backends are the services that handle the requests.
	Backends []Backend
	// MaxAttempts bounds the targets that may run one request.
	MaxAttempts int
	// Stages are run before the request itself, which receives their results.
	Stages []Stage
	// Public is set if requests need no key of an account.
	Public bool
	// Sticky is set if requests name the parts of their prompts, so that requests with the
	// same parts can be sent to the same engine.
	Sticky bool
	// Resumable is set if a broken stream may be resumed at another target.
	Resumable bool
	// MaxGap is the objective for the longest pause between two events of a stream.
	MaxGap time.Duration
}

// Backend is one of the services among which the requests of a route are divided. Each service
// has one or more targets.
type Backend struct {
	Service string
	// Weight is the share of the requests, relative to the weights of the other services.
	Weight int
}

// Stage is one step that runs before the request itself. It is split into pieces, independent
// units of work whose number the request states.
type Stage struct {
	Service string
	// After holds the indexes of the earlier stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
}

// Idempotent reports whether requests of the route may be sent again after they may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Generates reports whether the target of a request is an engine, which the leader chooses; otherwise the
// request is plain.
func (r *Route) Generates() bool {
	return r.Kind == Streaming || len(r.Stages) > 0
}

// Limits bounds the size of requests and the time to receive them; 0 means unset.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Account is one customer, as the configuration of routes names it; package account describes
// the customers that run pipelines.
type Account struct {
	Name string
	// Keys are the API keys of the customer.
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Table is one version of the configuration; it is immutable.
type Table struct {
	// Version increases with each change of the configuration.
	Version  int64
	Routes   []Route
	Services map[string]service.Service
	Limits   Limits
	Accounts []Account

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// NewTable returns the configuration with indexes of routes by host and of accounts by key.
func NewTable(version int64, routes []Route, services []service.Service, limits Limits, accounts []Account) *Table {
	t := &Table{
		Version:  version,
		Routes:   routes,
		Services: make(map[string]service.Service, len(services)),
		Limits:   limits,
		Accounts: accounts,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Account{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for i := range t.Accounts {
		for _, key := range t.Accounts[i].Keys {
			t.byKey[key] = &t.Accounts[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path. The host may have
// a port, which is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	var best *Route
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Kinds reports whether the service runs plain requests and whether it runs others.
func (t *Table) Kinds(service string) (plain, generating bool) {
	for i := range t.Routes {
		for _, b := range t.Routes[i].Backends {
			if b.Service == service {
				generates := t.Routes[i].Generates()
				plain, generating = plain || !generates, generating || generates
			}
		}
	}
	return plain, generating
}

// AccountByKey returns the account that has the key.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.byKey[key]
	return a, ok
}

// NeedsKey reports whether requests of the route must carry the key of an account.
func (t *Table) NeedsKey(r *Route) bool {
	return len(t.Accounts) > 0 && !r.Public
}
