// Package admission decides whether a request is admitted: within the limits of its account
// and of the daemon, and only if its deadline can be met.
//
// When the daemon is close to its limit, it admits only accounts that use less than their
// equal share, so that one large account can't block a small one. The equal share is the
// daemon's limit divided by the number of accounts with requests in flight.
//
// # Usage
//
//	controller := &admission.Controller{Clock: clock, MaxInFlight: 1000}
//	if err := controller.Admit(account); err != nil { ... }
//	defer controller.Release(account.Name)
package admission

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/sequoiapick/sequoiapick/pkg/account"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// reservedShare is the part of the daemon's limit, from 0 to 1, that is reserved for accounts
// below their equal share. The reserve doesn't apply while only one account has requests in
// flight.
const reservedShare = 0.25

// Controller admits requests and counts those in flight. It is safe for concurrent use.
type Controller struct {
	Clock clockwork.Clock
	// MaxInFlight limits the requests in flight of all accounts together.
	MaxInFlight int

	mu       sync.Mutex
	inFlight int
	// activeAccounts is the number of accounts with requests in flight.
	activeAccounts int
	accounts       map[string]*accountState
}

// accountState holds the requests in flight and the rate limiter of one account.
type accountState struct {
	inFlight int
	// limiter is nil until the account's rate is checked for the first time.
	limiter *rate.Limiter
}

// Admit admits one request of the account, which must end with Release, or returns an error
// of kind OverLimit or Overloaded.
func (c *Controller) Admit(a account.Account) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.accountState(a)
	if a.MaxInFlight > 0 && s.inFlight >= a.MaxInFlight {
		return problem.New(problem.OverLimit, "account %q has %d requests in flight, the limit is %d", a.Name, s.inFlight, a.MaxInFlight)
	}
	if c.inFlight >= c.MaxInFlight || c.reachedEqualShare(s) {
		return problem.New(problem.Overloaded, "the daemon is at or close to its limit: %d of at most %d requests are in flight", c.inFlight, c.MaxInFlight)
	}
	if a.RequestsPerSecond > 0 && !c.withinRate(s, a.RequestsPerSecond) {
		return problem.New(problem.OverLimit, "account %q exceeds its limit of %g requests per second", a.Name, a.RequestsPerSecond)
	}
	if s.inFlight == 0 {
		c.activeAccounts++
	}
	s.inFlight++
	c.inFlight++
	return nil
}

// reachedEqualShare reports whether the account uses its equal share or more while only the
// reserved part of the daemon's limit is left.
func (c *Controller) reachedEqualShare(s *accountState) bool {
	unreserved := float64(c.MaxInFlight) * (1 - reservedShare)
	if float64(c.inFlight) < unreserved {
		return false
	}
	active := c.activeAccounts
	if s.inFlight == 0 {
		active++
	}
	return active > 1 && s.inFlight >= c.MaxInFlight/active
}

// withinRate reports whether the rate limit of the account allows one more request. The burst is
// one second's worth of requests.
func (c *Controller) withinRate(s *accountState, perSecond float64) bool {
	if s.limiter == nil || s.limiter.Limit() != rate.Limit(perSecond) {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return s.limiter.AllowN(c.Clock.Now(), 1)
}

// accountState returns the state of the account. The caller must hold the lock.
func (c *Controller) accountState(a account.Account) *accountState {
	if c.accounts == nil {
		c.accounts = map[string]*accountState{}
	}
	s := c.accounts[a.Name]
	if s == nil {
		s = &accountState{}
		c.accounts[a.Name] = s
	}
	return s
}

// Release ends one admitted request of the account with the name. It must be called once for
// each request that was admitted.
func (c *Controller) Release(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.accounts[name]
	s.inFlight--
	c.inFlight--
	if s.inFlight == 0 {
		c.activeAccounts--
	}
}

// CheckDeadline returns an error of kind Infeasible if the time left until the deadline is
// shorter than the sum of the typical durations of the request's stages.
func (c *Controller) CheckDeadline(deadline time.Time, typical []time.Duration) error {
	var total time.Duration
	for _, d := range typical {
		total += d
	}
	if left := deadline.Sub(c.Clock.Now()); total > left {
		return problem.New(problem.Infeasible, "the stages typically take %v, the time left is %v", total, left)
	}
	return nil
}
