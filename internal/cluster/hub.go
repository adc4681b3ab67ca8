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
	// minProbeInterval is the time after which a link is opened again to a member that isn't a hub and
	// seemed to be dead. It doubles with each further failure, maxProbeDoublings times at most.
	minProbeInterval  = 10 * time.Second
	maxProbeDoublings = 3
	// unusedLinkTimeout is the time after which a link that isn't required is closed, without a
	// heartbeat or without a need of the other daemon.
	unusedLinkTimeout = 10 * time.Second
)

// updateLinks opens the required links that are missing and those that have fallen silent, and
// closes links that are not required: those to members that were probed in vain, those from which no
// heartbeat has arrived for unusedLinkTimeout, and those that the other daemon doesn't need either.
//
// The number of links is bounded also while all other daemons seem to be dead, for example since this
// one has no processor time: every link costs both sides time, so that a daemon which links to ever
// more members delays the heartbeats of all and makes them seem dead to each other for good.
func (m *Mesh) updateLinks(now time.Time) {
	m.required = m.requiredLinks(now)
	for host := range m.required {
		if m.peers[host] == nil {
			m.openLink(m.members[host])
		}
	}
	for host, p := range m.peers {
		switch {
		case m.alive(p, now):
			delete(m.probes, host)
		case p.connected && now.Sub(p.connectedAt) > silentLinkTimeout && now.Sub(p.echoedSendTime) > silentLinkTimeout:
			p.connectedAt = now // once for each timeout
			p.reconnectNow(errLinkSilent)
		}
		if !m.required[host] && m.isUnused(p, now) {
			if !m.alive(p, now) {
				m.recordFailedProbe(host, now)
			}
			p.cancel()
			delete(m.peers, host)
		}
	}
}

// isUnused reports whether a link that isn't required can be closed.
func (m *Mesh) isUnused(p *peer, now time.Time) bool {
	if m.alive(p, now) {
		return p.spare && now.Sub(p.openedAt) > unusedLinkTimeout && now.Sub(p.usedAt) > unusedLinkTimeout
	}
	probed := p.receivedAt.IsZero() && !m.isNew(p, now)
	return probed || now.Sub(p.receivedAt) > unusedLinkTimeout && now.Sub(p.openedAt) > unusedLinkTimeout
}

// isNew reports whether the link was opened so recently that its member may be alive although none of
// its heartbeats has arrived.
func (m *Mesh) isNew(p *peer, now time.Time) bool { return now.Sub(p.openedAt) < newLinkGrace }

// probe counts the links to a member in succession that were closed because it seemed to be dead.
type probe struct {
	failures int
	failedAt time.Time
}

// recordFailedProbe records that a link to a member was closed because it seems to be dead.
func (m *Mesh) recordFailedProbe(host string, now time.Time) {
	if m.probes == nil {
		m.probes = map[string]probe{}
	}
	m.probes[host] = probe{failures: m.probes[host].failures + 1, failedAt: now}
}

// mayProbe reports whether a link may be opened to a member that is not a hub. The wait after a failed
// one doubles, so that members further down the ranks are probed as well.
func (m *Mesh) mayProbe(host string, now time.Time) bool {
	failed, ok := m.probes[host]
	if !ok {
		return true
	}
	wait := minProbeInterval << min(failed.failures-1, maxProbeDoublings)
	return now.Sub(failed.failedAt) >= wait
}

// requiredLinks returns the hosts of the other daemons to which this one must have links: all if
// all daemons are hubs, else in each data centre the hubs, and as many of the next-ranked members as it
// takes until hubsPerDataCentre members are alive. A member without a link or with a new one counts as
// alive.
func (m *Mesh) requiredLinks(now time.Time) map[string]bool {
	required := map[string]bool{}
	if m.allHubs() {
		for host := range m.members {
			required[host] = true
		}
		return required
	}
	for _, members := range m.membersByDataCentre() {
		m.requireHubs(now, members, required)
	}
	return required
}

// requireHubs adds the hosts of one data centre to which links are required. Members are sorted by rank.
func (m *Mesh) requireHubs(now time.Time, members []Member, required map[string]bool) {
	live := 0
	for i, member := range members {
		if live >= hubsPerDataCentre {
			return
		}
		if member.Host == m.Self.Host {
			live++
			continue
		}
		p := m.peers[member.Host]
		switch {
		case i < hubsPerDataCentre:
			required[member.Host] = true
			if p == nil || m.alive(p, now) || m.isNew(p, now) {
				live++
			}
		case p != nil && (m.alive(p, now) || m.isNew(p, now) && !p.dialFailed), p == nil && m.mayProbe(member.Host, now):
			required[member.Host] = true
			live++
		}
	}
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
