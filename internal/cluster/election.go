package cluster

import (
	"time"
)

// Election decides which daemon leads. It needs no consensus, since two leaders at once are
// possible but only reduce efficiency: a daemon follows the live claimant with the highest
// term, and the best-ranked live daemon claims leadership if there is no claimant. A claim is
// a term above 0 in a daemon's heartbeats.
//
// Leaves, which are the daemons that aren't hubs, don't see each other's claims. Therefore a
// hub takes precedence over any leaf, whatever the terms, and hubs ignore the claims of
// leaves; a leaf leads only where no hub can be reached.
type Election struct {
	// Host is the host of this daemon.
	Host string
	// ClaimDelay is the time without a claimant after which the best-ranked daemon claims
	// leadership; each further rank waits that much longer.
	ClaimDelay time.Duration
	// EarliestClaim is the time before which this daemon doesn't claim: a daemon that has just
	// started may not yet have received a heartbeat of the leader.
	EarliestClaim time.Time

	term        uint64
	highestTerm uint64
	leader      string
	vacantSince time.Time
}

// Candidate is the state of one daemon as input of the election.
type Candidate struct {
	Host string
	// Rank orders the candidates; the candidate with the lowest rank claims first.
	Rank uint64
	// Hub means that the daemon is a hub, to which every other daemon has a link.
	Hub bool
	// Alive means that heartbeats are exchanged with the daemon in both directions.
	Alive bool
	// HeartbeatsArrive means that heartbeats arrive from the daemon, whether or not it receives
	// those of this daemon.
	HeartbeatsArrive bool
	// Stopping means that the daemon has announced a planned stop.
	Stopping bool
	// Term is the term under which the daemon claims leadership, 0 if it doesn't claim it.
	Term uint64
	// HighestTerm is the highest term that the daemon has seen.
	HighestTerm uint64
}

// Step runs one step of the election with the current candidates, which include this daemon,
// and returns the host of the leader, or an empty string if there is none. It sets the Term of
// this daemon's candidate itself. LeaderEnded means that the former leader is known to have
// ended or to be stopping, so that the best-ranked daemon claims without delay.
func (e *Election) Step(now time.Time, candidates []Candidate, leaderEnded bool) string {
	var best, self *Candidate
	for i := range candidates {
		c := &candidates[i]
		e.highestTerm = max(e.highestTerm, c.Term, c.HighestTerm)
		if c.Host == e.Host {
			self = c
			c.Term = e.term
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if self != nil && self.Hub && !c.Hub || !c.Alive || c.Stopping || c.Term == 0 {
			continue
		}
		if best == nil || outranks(c, best) {
			best = c
		}
	}
	if best != nil {
		e.vacantSince = time.Time{}
		if best.Host != e.Host {
			e.term = 0
		}
		e.leader = best.Host
		return e.leader
	}
	e.leader = ""
	for i := range candidates {
		// A new link shows a claimant's heartbeats before it shows that the claimant is alive:
		// wait for it instead of claiming.
		if c := &candidates[i]; c.Host != e.Host && c.HeartbeatsArrive && !c.Alive && !c.Stopping && c.Term > 0 && (c.Hub || self == nil || !self.Hub) {
			e.vacantSince = now
		}
	}
	if self == nil || self.Stopping {
		e.term = 0
		return ""
	}
	if e.vacantSince.IsZero() {
		e.vacantSince = now
	}
	// Better-ranked daemons claim first: wait one more delay for each of them.
	better := 0
	for i := range candidates {
		if c := &candidates[i]; c.Alive && !c.Stopping && c.Rank < self.Rank {
			better++
		}
	}
	wait := e.ClaimDelay * time.Duration(better+1)
	if leaderEnded {
		wait = e.ClaimDelay * time.Duration(better)
	}
	if now.Sub(e.vacantSince) < wait || now.Before(e.EarliestClaim) {
		return ""
	}
	e.highestTerm++
	e.term = e.highestTerm
	e.leader = e.Host
	return e.leader
}

// outranks reports whether claimant a takes precedence over claimant b.
func outranks(a, b *Candidate) bool {
	if a.Hub != b.Hub {
		return a.Hub
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Rank < b.Rank
}

// Term returns the term under which this daemon leads, 0 if it doesn't lead.
func (e *Election) Term() uint64 { return e.term }

// HighestTerm returns the highest term seen.
func (e *Election) HighestTerm() uint64 { return e.highestTerm }
