// Package admission decides whether a request is let in: within the limits of its
// account, within those of the daemon, and only if its deadline can be met.
//
// When the daemon is nearly full, the places that are left go to accounts with little
// in flight, so that one large account can't keep a small one out.
//
// # Usage
//
//	gate := &admission.Gate{Clock: clock, MaxInFlight: 1000}
//	if err := gate.Enter(account); err != nil { ... }
//	defer gate.Leave(account.Name)
package admission

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/sequoiapick/sequoiapick/pkg/account"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// reservedShare is the share of the daemon's places that no account may take beyond
// its equal part.
const reservedShare = 0.25

// Controller is safe for concurrent use.
type Controller struct {
	Clock clockwork.Clock
	// MaxInFlight bounds the requests of all accounts.
	MaxInFlight int

	mu       sync.Mutex
	total    int
	active   int
	accounts map[string]*state
}

type state struct {
	inFlight int
	limiter  *rate.Limiter
}

// Admit admits one request of the account or refuses it with kind OverLimit or Overloaded.
func (g *Controller) Admit(a account.Account) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(a)
	if a.MaxInFlight > 0 && s.inFlight >= a.MaxInFlight {
		return problem.New(problem.OverLimit, "account %q has %d requests in flight, allowed are %d", a.Name, s.inFlight, a.MaxInFlight)
	}
	if g.total >= g.MaxInFlight || g.greedy(s) {
		return problem.New(problem.Overloaded, "%d requests are in flight, allowed are %d", g.total, g.MaxInFlight)
	}
	if a.RequestsPerSecond > 0 && !g.allow(s, a.RequestsPerSecond) {
		return problem.New(problem.OverLimit, "account %q is over %g requests a second", a.Name, a.RequestsPerSecond)
	}
	if s.inFlight == 0 {
		g.active++
	}
	s.inFlight++
	g.total++
	return nil
}

// greedy reports whether the account has more than its equal part while the daemon is
// nearly full.
func (g *Controller) greedy(s *state) bool {
	open := float64(g.MaxInFlight) * (1 - reservedShare)
	if float64(g.total) < open {
		return false
	}
	active := g.active
	if s.inFlight == 0 {
		active++
	}
	return active > 1 && s.inFlight >= g.MaxInFlight/active
}

func (g *Controller) allow(s *state, perSecond float64) bool {
	if s.limiter == nil || s.limiter.Limit() != rate.Limit(perSecond) {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return s.limiter.AllowN(g.Clock.Now(), 1)
}

func (g *Controller) state(a account.Account) *state {
	if g.accounts == nil {
		g.accounts = map[string]*state{}
	}
	s := g.accounts[a.Name]
	if s == nil {
		s = &state{}
		g.accounts[a.Name] = s
	}
	return s
}

// Release ends one request of the account.
func (g *Controller) Release(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.accounts[name]
	s.inFlight--
	g.total--
	if s.inFlight == 0 {
		g.active--
	}
}

// CheckDeadline refuses a deadline that is shorter than the typical durations together.
func (g *Controller) CheckDeadline(deadline time.Time, typical []time.Duration) error {
	var total time.Duration
	for _, d := range typical {
		total += d
	}
	if left := deadline.Sub(g.Clock.Now()); total > left {
		return problem.New(problem.Infeasible, "the stages typically take %v, %v are left", total, left)
	}
	return nil
}
