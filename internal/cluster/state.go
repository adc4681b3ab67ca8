package cluster

import (
	"cmp"
	"slices"
)

// MemberState is the state of another daemon as seen by this one.
type MemberState struct {
	Host       string
	DataCentre string
	// Hub means that the daemon is a hub, see the package comment.
	Hub bool
	// Linked means that this daemon's link to the other one is open.
	Linked bool
	// Alive means that heartbeats are exchanged in both directions; it is false if this daemon
	// has no link to the other one, as between two leaves.
	Alive bool
	// Term is the term under which the daemon claims leadership, 0 if it doesn't claim it.
	Term uint64
}

// State returns the states of all other known daemons, sorted by host.
func (m *Mesh) State() []MemberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	states := make([]MemberState, 0, len(m.members))
	for host, member := range m.members {
		s := MemberState{Host: host, DataCentre: member.DataCentre, Hub: m.isHub(host)}
		if p := m.peers[host]; p != nil {
			s.Linked, s.Alive, s.Term = p.connected, m.alive(p, now), p.term
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b MemberState) int { return cmp.Compare(a.Host, b.Host) })
	return states
}
