package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallCluster is the number of daemons up to which all are hubs: the links of each
	// then cost less than what hubs would save.
	smallCluster = 12
	// hubsPerDataCentre is the number of hubs of each data centre: one and a second one for
	// when it fails.
	hubsPerDataCentre = 2
	// presumedAlive is the time in which a new link must show that its member lives before
	// another hub is looked for.
	presumedAlive = 1500 * time.Millisecond
	// forgetAfter is the time without a sign of life after which the link to a daemon that
	// isn't a hub is given up.
	forgetAfter = 10 * time.Second
)

// contact opens links to the hubs, and closes those to daemons that have long been silent
// and aren't hubs.
func (m *Mesh) contact(now time.Time) {
	wanted := m.hubs(now)
	for host := range wanted {
		if m.peers[host] == nil {
			m.open(m.known[host])
		}
	}
	for host, p := range m.peers {
		if !wanted[host] && now.Sub(p.heardAt) > forgetAfter && now.Sub(p.opened) > forgetAfter {
			p.cancel()
			delete(m.peers, host)
		}
	}
}

// hubs returns the other daemons that this one must have links to.
func (m *Mesh) hubs(now time.Time) map[string]bool {
	wanted := map[string]bool{}
	if m.small() {
		for host := range m.known {
			wanted[host] = true
		}
		return wanted
	}
	for _, members := range m.byDataCentre() {
		living := 0
		for _, member := range members {
			if living >= hubsPerDataCentre {
				break
			}
			if member.Host == m.Self.Host {
				living++
				continue
			}
			wanted[member.Host] = true
			if p := m.peers[member.Host]; p == nil || m.alive(p, now) || now.Sub(p.opened) < presumedAlive {
				living++
			}
		}
	}
	return wanted
}

func (m *Mesh) small() bool { return len(m.known)+1 <= smallCluster }

// byDataCentre returns all members, this one included, by data centre and rank.
func (m *Mesh) byDataCentre() map[string][]Member {
	grouped := map[string][]Member{m.Self.DataCentre: {m.Self}}
	for _, member := range m.known {
		grouped[member.DataCentre] = append(grouped[member.DataCentre], member)
	}
	for _, members := range grouped {
		slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	}
	return grouped
}

// weightSteps is the number of steps in which weights are told apart.
const weightSteps = 255

// rank orders the daemons as hubs and as candidates for the lead: those with more
// processor first, then by a hash of their names. It is above 0.
func rank(m Member) uint64 {
	step := uint64(min(max(m.Weight, 0), 1) * weightSteps)
	return (weightSteps-step+1)<<48 | xxhash.Sum64String(m.Host)>>16
}

// maxStandbys is the number of daemons that are kept ready to lead: several may end at
// once.
const maxStandbys = 3

// Standbys returns the living hubs that would lead next, the best-ranked first.
func (m *Mesh) Standbys() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	var next []Member
	for host, p := range m.peers {
		if m.isHub(host) && !p.stopping && m.alive(p, now) {
			next = append(next, p.member)
		}
	}
	slices.SortFunc(next, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	hosts := make([]string, 0, maxStandbys)
	for _, member := range next[:min(len(next), maxStandbys)] {
		hosts = append(hosts, member.Host)
	}
	return hosts
}
