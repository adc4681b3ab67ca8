package cluster

import (
	"time"
)

// Election decides which daemon leads. Two leaders at once are possible and cost
// efficiency only, so that no agreement is needed: a daemon follows the living claimant
// with the highest term, and the best-ranked living daemon claims when there is none.
//
// Daemons that aren't hubs don't see each other's claims. So a hub goes before any other
// claimant, whatever the terms, and hubs pay no heed to the claims of others; a daemon that
// isn't a hub leads only where no hub can be reached.
type Election struct {
	// Host is this daemon.
	Host string
	// ClaimDelay is the time without a claimant after which a daemon claims.
	ClaimDelay time.Duration
	// EarliestClaim is when this daemon may claim at the earliest: one that has just started
	// must first have had the time to hear of a leader.
	EarliestClaim time.Time

	term       uint64
	highest    uint64
	leader     string
	vacantFrom time.Time
}

// Candidate is a daemon as the election sees it.
type Candidate struct {
	Host string
	// Rank orders the candidates; the lowest claims first.
	Rank uint64
	// Hub says that every other daemon has a link to this one.
	Hub bool
	// Alive says that the daemon answers.
	Alive bool
	// HeartbeatsArrive says that beats arrive from the daemon, whether or not it hears ours.
	HeartbeatsArrive bool
	// Stopping says that the daemon is about to end.
	Stopping bool
	// Term is above 0 if the daemon claims to lead.
	Term uint64
	// HighestTerm is the highest term that the daemon knows of.
	HighestTerm uint64
}

// Step takes the present candidates, this daemon among them, and returns the leader,
// which is empty if there is none. Departed says that the former leader is known to have
// ended, so that there is nothing to wait for.
func (e *Election) Step(now time.Time, candidates []Candidate, departed bool) string {
	var best, self *Candidate
	for i := range candidates {
		c := &candidates[i]
		e.highest = max(e.highest, c.Term, c.HighestTerm)
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
		e.vacantFrom = time.Time{}
		if best.Host != e.Host {
			e.term = 0
		}
		e.leader = best.Host
		return e.leader
	}
	e.leader = ""
	for i := range candidates {
		// A claimant that is only just linked is waited for.
		if c := &candidates[i]; c.Host != e.Host && c.HeartbeatsArrive && !c.Alive && !c.Stopping && c.Term > 0 && (c.Hub || self == nil || !self.Hub) {
			e.vacantFrom = now
		}
	}
	if self == nil || self.Stopping {
		e.term = 0
		return ""
	}
	if e.vacantFrom.IsZero() {
		e.vacantFrom = now
	}
	// Better-ranked daemons go first; each one that doesn't claim costs one more wait.
	better := 0
	for i := range candidates {
		if c := &candidates[i]; c.Alive && !c.Stopping && c.Rank < self.Rank {
			better++
		}
	}
	wait := e.ClaimDelay * time.Duration(better+1)
	if departed {
		wait = e.ClaimDelay * time.Duration(better)
	}
	if now.Sub(e.vacantFrom) < wait || now.Before(e.EarliestClaim) {
		return ""
	}
	e.highest++
	e.term = e.highest
	e.leader = e.Host
	return e.leader
}

// outranks reports whether a goes before b as a claimant.
func outranks(a, b *Candidate) bool {
	if a.Hub != b.Hub {
		return a.Hub
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Rank < b.Rank
}

// Term returns the term under which this daemon leads, 0 if it doesn't.
func (e *Election) Term() uint64 { return e.term }

// HighestTerm returns the highest term seen.
func (e *Election) HighestTerm() uint64 { return e.highest }
