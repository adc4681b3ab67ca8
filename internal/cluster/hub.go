package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAllHubs is the number of daemons up to which all of them are hubs: the few links that
	// fewer hubs would save in so small a cluster cost little.
	maxAllHubs = 12
	// hubsPerDataCentre is the number of hubs of each data centre: one, and a second one in
	// case the first fails.
	hubsPerDataCentre = 2
	// newLinkGrace is the time after opening a link during which requiredLinks takes its member
	// as alive. If the member isn't alive after it, a link to the next-ranked member is required
	// as well.
	newLinkGrace = 1500 * time.Millisecond
	// silentLinkTimeout is the time without an echo of its heartbeats after which a link is opened
	// anew. A device between the daemons may have lost track of the connection, which the
	// operating system notices only after minutes.
	silentLinkTimeout = 1500 * time.Millisecond
	// unusedLinkTimeout is the time without a heartbeat after which a link that isn't required is
	// closed.
	unusedLinkTimeout = 10 * time.Second
)

// updateLinks opens the required links that are missing and those that have fallen silent, and
// closes the links to other daemons from which no heartbeat has arrived for unusedLinkTimeout.
func (m *Mesh) updateLinks(now time.Time) {
	required := m.requiredLinks(now)
	for host := range required {
		if m.peers[host] == nil {
			m.openLink(m.members[host])
		}
	}
	for host, p := range m.peers {
		if p.connected && now.Sub(p.connectedAt) > silentLinkTimeout && now.Sub(p.echoedSendTime) > silentLinkTimeout {
			p.connectedAt = now // once for each timeout
			p.reconnectNow(errLinkSilent)
		}
		if !required[host] && now.Sub(p.receivedAt) > unusedLinkTimeout && now.Sub(p.openedAt) > unusedLinkTimeout {
			p.cancel()
			delete(m.peers, host)
		}
	}
}

// requiredLinks returns the hosts of the other daemons to which this one must have links: all if
// all daemons are hubs, else in each data centre the best-ranked members, as many as it takes until
// hubsPerDataCentre of them are alive. A member without a link or with a new one counts as alive.
func (m *Mesh) requiredLinks(now time.Time) map[string]bool {
	required := map[string]bool{}
	if m.allHubs() {
		for host := range m.members {
			required[host] = true
		}
		return required
	}
	for _, members := range m.membersByDataCentre() {
		live := 0
		for _, member := range members {
			if live >= hubsPerDataCentre {
				break
			}
			if member.Host == m.Self.Host {
				live++
				continue
			}
			required[member.Host] = true
			if p := m.peers[member.Host]; p == nil || m.alive(p, now) || now.Sub(p.openedAt) < newLinkGrace {
				live++
			}
		}
	}
	return required
}

// allHubs reports whether the cluster is so small that all daemons are hubs.
func (m *Mesh) allHubs() bool { return len(m.members)+1 <= maxAllHubs }

// membersByDataCentre returns the members of each data centre, this daemon included, sorted by
// rank.
func (m *Mesh) membersByDataCentre() map[string][]Member {
	grouped := map[string][]Member{m.Self.DataCentre: {m.Self}}
	for _, member := range m.members {
		grouped[member.DataCentre] = append(grouped[member.DataCentre], member)
	}
	for _, members := range grouped {
		slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	}
	return grouped
}

// weightLevels is the number of levels above 0 to which a weight is rounded down in a rank.
const weightLevels = 255

// rank orders the daemons as hubs and as candidates for leadership: first by weight, largest
// first, then by a hash of the host name. The best rank is the lowest; all are above 0.
func rank(m Member) uint64 {
	level := uint64(min(max(m.Weight, 0), 1) * weightLevels)
	return (weightLevels-level+1)<<48 | xxhash.Sum64String(m.Host)>>16
}

// maxStandbys is the largest number of standbys, which are the daemons to which the leader sends
// its state so that they can resume its work. There is more than one because several daemons may
// end at once.
const maxStandbys = 3

// Standbys returns the hosts of the live hubs that would lead next, the best-ranked first.
func (m *Mesh) Standbys() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	var members []Member
	for host, p := range m.peers {
		if m.isHub(host) && !p.stopping && m.alive(p, now) {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	hosts := make([]string, 0, maxStandbys)
	for _, member := range members[:min(len(members), maxStandbys)] {
		hosts = append(hosts, member.Host)
	}
	return hosts
}
