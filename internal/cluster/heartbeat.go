package cluster

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
)

const (
	// heartbeatInterval is the time between two heartbeats on the links of the leader and
	// between hubs, where a failure must be detected quickly.
	heartbeatInterval = 100 * time.Millisecond
	// slowHeartbeatDivisor is the number of heartbeat intervals between two heartbeats on all
	// other links.
	slowHeartbeatDivisor = 3
	// heartbeatTimeout is the time without a heartbeat after which a member isn't alive any more.
	// It is longer than three intervals, since a busy host may be late by two or three heartbeats.
	heartbeatTimeout = 400 * time.Millisecond
	// slowHeartbeatTimeout is the same limit for links with slow heartbeats.
	slowHeartbeatTimeout = 1100 * time.Millisecond
	// claimDelay is the Election.ClaimDelay of all daemons.
	claimDelay = 150 * time.Millisecond
	// hubStartDelay is the time after its start during which a hub claims leadership only if
	// it has checked all other hubs, see hubsChecked. leafStartDelay is the same time for a leaf;
	// it is longer because a leaf leads only if it reaches no hub.
	hubStartDelay  = 500 * time.Millisecond
	leafStartDelay = 2 * time.Second
	// sendTimesLength is the number of heartbeats whose send times are retained.
	sendTimesLength = 32
)

// sendTimes is a ring buffer of the send times of the latest heartbeats. Each heartbeat has one
// sequence number on all links; the first one is 1.
type sendTimes struct {
	sequence uint64
	times    [sendTimesLength]time.Time
}

// record assigns the next sequence number to a heartbeat sent now.
func (s *sendTimes) record(now time.Time) {
	s.sequence++
	s.times[s.sequence%sendTimesLength] = now
}

// lookup returns when the heartbeat was sent, or the zero time if its send time is no longer
// retained.
func (s *sendTimes) lookup(sequence uint64) time.Time {
	if sequence == 0 || sequence > s.sequence || s.sequence-sequence >= sendTimesLength {
		return time.Time{}
	}
	return s.times[sequence%sendTimesLength]
}

// fastHeartbeats reports whether heartbeats are exchanged with the member at every interval.
func (m *Mesh) fastHeartbeats(p *peer) bool {
	return p.term > 0 || m.election.Term() > 0 || m.isHub(p.member.Host) && m.isHub(m.Self.Host)
}

// isHub reports whether the daemon is a hub according to its rank in its data centre.
func (m *Mesh) isHub(host string) bool {
	if m.hubCache == nil {
		m.hubCache = map[string]bool{}
		for _, members := range m.membersByDataCentre() {
			for i, member := range members {
				m.hubCache[member.Host] = m.allHubs() || i < hubsPerDataCentre
			}
		}
	}
	return m.hubCache[host]
}

// alive reports whether recent heartbeats of the member have arrived and have echoed recent ones
// of this daemon.
func (m *Mesh) alive(p *peer, now time.Time) bool {
	limit := slowHeartbeatTimeout
	if m.fastHeartbeats(p) {
		limit = heartbeatTimeout
	}
	return !p.ended() && now.Sub(p.receivedAt) < limit && now.Sub(p.echoedSendTime) < limit
}

// runHeartbeats sends heartbeats and updates the leader and the links until the context ends.
func (m *Mesh) runHeartbeats(ctx context.Context) {
	ticker := m.Clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		m.updateLeader()
		m.sendHeartbeats(tick%slowHeartbeatDivisor == 0)
		if tick%slowHeartbeatDivisor == 0 {
			m.mu.Lock()
			m.updateLinks(m.Clock.Now())
			m.mu.Unlock()
		}
	}
}

// sendHeartbeats sends a heartbeat on the links with fast heartbeats, or on all links.
func (m *Mesh) sendHeartbeats(all bool) {
	version := m.ConfigurationVersion()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendTimes.record(m.Clock.Now())
	for host, p := range m.peers {
		if !p.connected || !all && !m.fastHeartbeats(p) {
			continue
		}
		p.enqueue(&clusterpb.Envelope{Kind: &clusterpb.Envelope_Beat{Beat: &clusterpb.Beat{
			Sequence:      m.sendTimes.sequence,
			Heard:         p.receivedSequence,
			Term:          m.election.Term(),
			HighestTerm:   m.election.HighestTerm(),
			Stopping:      m.stopping,
			Configuration: version,
			Spare:         !m.required[host],
		}}})
	}
}

// handleHeartbeat updates the state of the member that sent the heartbeat, and the leader if
// the heartbeat may change it. It returns when this daemon sent the heartbeat that is echoed, or
// the zero time if that isn't known.
func (m *Mesh) handleHeartbeat(sender Member, beat *clusterpb.Beat) time.Time {
	host := sender.Host
	m.mu.Lock()
	p := m.peers[host]
	if p == nil && !beat.GetSpare() {
		p = m.restorePeer(sender)
	}
	if p == nil {
		m.mu.Unlock()
		return time.Time{}
	}
	p.receivedAt, p.receivedSequence = m.Clock.Now(), beat.GetSequence()
	p.incomingClosed = false
	echoed := m.sendTimes.lookup(beat.GetHeard())
	if echoed.After(p.echoedSendTime) {
		p.echoedSendTime = echoed
	}
	p.spare = beat.GetSpare()
	p.term, p.highestTerm = beat.GetTerm(), beat.GetHighestTerm()
	mayChangeLeader := beat.GetStopping() != p.stopping || p.term > 0 && m.leader != host
	p.stopping = beat.GetStopping()
	m.mu.Unlock()
	if mayChangeLeader {
		m.updateLeader()
	}
	return echoed
}

// restorePeer returns the peer of a member whose heartbeats arrive and who needs the link. It opens a link to the member if
// there is none: the member may have been removed because the members table was read before it
// had registered. It returns nil once this daemon stops.
func (m *Mesh) restorePeer(sender Member) *peer {
	if p := m.peers[sender.Host]; p != nil || m.ctx.Err() != nil {
		return p
	}
	if _, known := m.members[sender.Host]; !known {
		m.putMember(sender)
	}
	return m.openLink(m.members[sender.Host])
}

// updateLeader runs one step of the election. It reports a new leader to the handler and
// sends heartbeats at once if this daemon has started or stopped leading.
func (m *Mesh) updateLeader() {
	m.mu.Lock()
	now := m.Clock.Now()
	candidates := []Candidate{{Host: m.Self.Host, Rank: rank(m.Self), Hub: m.isHub(m.Self.Host), Alive: true, Stopping: m.stopping}}
	leaderEnded := false
	for host, p := range m.peers {
		if host == m.leader && (p.ended() || p.stopping) {
			leaderEnded = true
		}
		candidates = append(candidates, Candidate{
			Host:             host,
			Rank:             rank(p.member),
			Hub:              m.isHub(host),
			Alive:            m.alive(p, now),
			HeartbeatsArrive: !p.ended() && now.Sub(p.receivedAt) < heartbeatTimeout,
			Stopping:         p.stopping,
			Term:             p.term,
			HighestTerm:      p.highestTerm,
		})
	}
	wasLeader := m.election.Term() > 0
	switch {
	case !candidates[0].Hub:
		m.election.EarliestClaim = m.startedAt.Add(leafStartDelay)
	case m.hubsChecked(now):
		m.election.EarliestClaim = m.startedAt
	default:
		m.election.EarliestClaim = m.startedAt.Add(hubStartDelay)
	}
	leader := m.election.Step(now, candidates, leaderEnded)
	changed := leader != m.leader
	m.leader = leader
	isLeader := m.election.Term() > 0
	m.mu.Unlock()
	if changed {
		m.Handler.LeaderChanged(leader)
	}
	if isLeader != wasLeader {
		m.sendHeartbeats(true)
	}
}
