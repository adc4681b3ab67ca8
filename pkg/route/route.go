// Package route is the configuration of one version: which requests are accepted, under
// which deadline and aim, and which pipeline of stages and service they run on.
//
// # Usage
//
//	table := route.NewTable(version, routes, services, limits, accounts)
//	r, ok := table.Match(host, path)
//	account, ok := table.AccountOf(key)
package route

import (
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Kind says what may be repeated.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = "Safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "Unsafe"
	// Streaming requests are answered by a series of events.
	Streaming Kind = "Streaming"
)

// Route is one entry of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a request may be kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer earns its full price; for streams, the first event.
	LatencyObjective time.Duration
	// Priority is the rank, 0 is the highest.
	Priority int
	Backends []Backend
	// MaxAttempts bounds the targets to which one request may be sent.
	MaxAttempts int
	// Stages is the work before the request itself.
	Stages []Stage
	// Public requests need no key.
	Public bool
	// Sticky requests describe the parts of their prompt.
	Sticky bool
	// Resumable streams may go on at another target.
	Resumable bool
	// MaxGap is the longest pause between events with which a stream is still on time.
	MaxGap time.Duration
}

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Stage is one step of a pipeline before the request itself.
type Stage struct {
	Service string
	// After lists the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Idempotent reports whether requests of the route may be sent again after they may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Limits bounds what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is one customer with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the rank of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Table is the configuration of one version; it isn't changed after NewTable.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]service.Service
	Limits   Limits
	Accounts []Account

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// NewTable returns a table with its indexes.
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

// Match returns the route of the host with the longest prefix that begins the path.
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

// AccountByKey returns the account that holds the key.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.byKey[key]
	return a, ok
}

// NeedsKey reports whether requests of the route must carry the key of an account.
func (t *Table) NeedsKey(r *Route) bool {
	return len(t.Accounts) > 0 && !r.Public
}
