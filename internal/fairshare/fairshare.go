// Package fairshare does weighted fair queuing over accounts. It does no I/O, and the caller passes in
// the time.
//
// Each account has a counter of the work that was charged to it, which decays over Horizon. The fair
// level is the mean of the counters divided by the weights over the accounts that had demand within
// Horizon. An account below the level gets a factor above 1 for its jobs, one above the level a factor
// below 1. The factor orders jobs and rejects none, so an account can use all capacity that others
// leave. It is bounded by MaxFactor: it decides among jobs of comparable value only.
//
// Idle time earns nothing beyond Horizon: an account without demand for that long is forgotten, and
// is new when it returns. A new account has the factor 1 at first and its full advantage after WarmUp,
// so that accounts which are created for a burst gain little.
//
// Only ratios of the counters matter. Two planners that each see a random part of the work therefore
// compute about the same factors without exchanging anything.
//
// # Usage
//
//	shares := &fairshare.Shares{}
//	shares.Demand(account)            // when a job arrives
//	shares.Advance(now)               // once before a round of decisions
//	factor := shares.Factor(account)  // multiplies the value of a job in the order
//	shares.Charge(account, seconds)   // once the job is admitted
package fairshare

import (
	"math"
	"time"
)

// The defaults of Shares.
const (
	// DefaultHorizon covers a burst of some seconds and the retries that follow it.
	DefaultHorizon = 10 * time.Second
	// DefaultWarmUp is about the time of one queue of work.
	DefaultWarmUp = time.Second
	// DefaultMaxFactor lets fairness outweigh one rank (values differ by 1.7) but not a rank and a
	// long request together.
	DefaultMaxFactor = 3.0
	// DefaultMaxAccounts bounds the memory to some hundred KB.
	DefaultMaxAccounts = 4096
)

// Shares holds the standing of all accounts. The zero value is ready to use with the defaults. It isn't
// safe for concurrent use.
type Shares struct {
	// Horizon is the time after which past work no longer counts; 0 means DefaultHorizon.
	Horizon time.Duration
	// WarmUp is the time from the first demand of an account until its factor is in full force if
	// that is above 1; 0 means DefaultWarmUp.
	WarmUp time.Duration
	// MaxFactor bounds the factors, to 1/MaxFactor below; 0 means DefaultMaxFactor. With 1, accounts
	// don't matter.
	MaxFactor float64
	// MaxAccounts bounds the number of accounts; 0 means DefaultMaxAccounts.
	MaxAccounts int
	// Weights holds the weights of accounts; accounts that aren't in it have the weight 1.
	Weights map[string]float64

	accounts map[string]*account
	now      time.Time
	// level is the fair amount of work per weight.
	level float64
}

// account is the state of one account.
type account struct {
	// work is the charged work, decayed, divided by the account's weight.
	work float64
	// since is the time of the first demand, last that of the last one.
	since, last time.Time
}

// Standing describes an account at the last Advance.
type Standing struct {
	// Account is the name of the account.
	Account string
	// Work is the decayed work of the account per weight, Level the mean of all active accounts.
	Work, Level float64
	// Factor is the result of Shares.Factor.
	Factor float64
	// Known is whether the account had demand within the horizon.
	Known bool
}

func (s *Shares) horizon() time.Duration {
	if s.Horizon > 0 {
		return s.Horizon
	}
	return DefaultHorizon
}

func (s *Shares) weight(name string) float64 {
	if w := s.Weights[name]; w > 0 {
		return w
	}
	return 1
}

// Advance decays the counters until now, forgets idle accounts and computes the fair level.
func (s *Shares) Advance(now time.Time) {
	elapsed := now.Sub(s.now)
	if s.now.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	s.now = now
	// A charge has lost 95% of its weight at the end of the horizon.
	decay := math.Exp(-3 * elapsed.Seconds() / s.horizon().Seconds())
	sum := 0.0
	for name, a := range s.accounts {
		if now.Sub(a.last) >= s.horizon() {
			delete(s.accounts, name)
			continue
		}
		a.work *= decay
		sum += a.work
	}
	s.level = 0
	if n := len(s.accounts); n > 0 {
		s.level = sum / float64(n)
	}
}

// Factor returns the factor by which the value of the account's jobs counts, 1 for an account that is
// at its share, that is unknown, or if there is only one.
func (s *Shares) Factor(name string) float64 {
	a := s.accounts[name]
	if a == nil || s.level <= 0 {
		return 1
	}
	most := s.MaxFactor
	if most <= 0 {
		most = DefaultMaxFactor
	}
	factor := min(max(s.level/max(a.work, s.level/(2*most)), 1/most), most)
	warmUp := s.WarmUp
	if warmUp <= 0 {
		warmUp = DefaultWarmUp
	}
	if age := s.now.Sub(a.since); factor > 1 && age < warmUp {
		factor = math.Pow(factor, age.Seconds()/warmUp.Seconds())
	}
	return factor
}

// Demand records that a job of the account has arrived, as of the last Advance.
func (s *Shares) Demand(name string) {
	a := s.accounts[name]
	if a == nil {
		a = s.add(name)
	}
	a.last = s.now
}

// Charge adds work to the counter of an account. Work below 0 takes back an earlier charge. Accounts
// without demand are ignored. The unit is the caller's, usually seconds.
func (s *Shares) Charge(name string, work float64) {
	if a := s.accounts[name]; a != nil {
		a.work = max(a.work+work/s.weight(name), 0)
	}
}

// add adds an account. If there are too many, it replaces the one that has used least, which loses the
// least by being new.
func (s *Shares) add(name string) *account {
	most := s.MaxAccounts
	if most <= 0 {
		most = DefaultMaxAccounts
	}
	if s.accounts == nil {
		s.accounts = map[string]*account{}
	}
	if len(s.accounts) >= most {
		least := ""
		for other, a := range s.accounts {
			if b := s.accounts[least]; b == nil || a.work < b.work || a.work == b.work && other < least {
				least = other
			}
		}
		delete(s.accounts, least)
	}
	a := &account{since: s.now, last: s.now}
	s.accounts[name] = a
	return a
}

// Standing returns the standing of an account at the last Advance.
func (s *Shares) Standing(name string) Standing {
	st := Standing{Account: name, Level: s.level, Factor: s.Factor(name)}
	if a := s.accounts[name]; a != nil {
		st.Work, st.Known = a.work, true
	}
	return st
}

// Len returns the number of known accounts.
func (s *Shares) Len() int { return len(s.accounts) }
