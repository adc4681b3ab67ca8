package cluster

import (
	"cmp"
	"slices"
)

// MemberState is what is known of another daemon.
type MemberState struct {
	Host       string
	DataCentre string
	Hub        bool
	Linked     bool
	Alive      bool
	// Term is above 0 if the daemon claims the lead.
	Term uint64
}

// State returns what is known of all other daemons, by name.
func (m *Mesh) State() []MemberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	states := make([]MemberState, 0, len(m.known))
	for host, member := range m.known {
		s := MemberState{Host: host, DataCentre: member.DataCentre, Hub: m.isHub(host)}
		if p := m.peers[host]; p != nil {
			s.Linked, s.Alive, s.Term = p.up, m.alive(p, now), p.term
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b MemberState) int { return cmp.Compare(a.Host, b.Host) })
	return states
}
