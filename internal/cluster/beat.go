package cluster

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
)

const (
	// beatInterval is the time between two beats on the links of the leader and between
	// hubs, where a failure must be noticed at once.
	beatInterval = 100 * time.Millisecond
	// slowBeats is the number of intervals between two beats on all other links.
	slowBeats = 3
	// silenceLimit is the time without a beat after which a member counts as dead. A busy
	// host may be late by two or three beats.
	silenceLimit = 400 * time.Millisecond
	// slowSilenceLimit is that time on links with slow beats.
	slowSilenceLimit = 1100 * time.Millisecond
	// electionPatience is the time without a leader after which a daemon claims.
	electionPatience = 150 * time.Millisecond
	// startPatience is the time after its start in which a hub doesn't claim unless it has
	// heard from all others, and slowStartPatience that of another daemon, which leads only
	// if it reaches no hub.
	startPatience     = 500 * time.Millisecond
	slowStartPatience = 2 * time.Second
	// sentLength is the number of beats whose time is kept.
	sentLength = 32
)

// sendTimes are the times of the last beats.
type sendTimes struct {
	sequence uint64
	at       [sentLength]time.Time
}

func (s *sendTimes) next(now time.Time) {
	s.sequence++
	s.at[s.sequence%sentLength] = now
}

// of returns when the beat was sent; the zero time if that is long ago.
func (s *sendTimes) of(sequence uint64) time.Time {
	if sequence == 0 || sequence > s.sequence || s.sequence-sequence >= sentLength {
		return time.Time{}
	}
	return s.at[sequence%sentLength]
}

// fast reports whether beats go to and from the member at each interval.
func (m *Mesh) fast(p *peer) bool {
	return p.term > 0 || m.election.Term() > 0 || m.isHub(p.member.Host) && m.isHub(m.Self.Host)
}

// isHub reports whether the daemon ranks as a hub of its data centre.
func (m *Mesh) isHub(host string) bool {
	if m.ranked == nil {
		m.ranked = map[string]bool{}
		for _, members := range m.byDataCentre() {
			for i, member := range members {
				m.ranked[member.Host] = m.small() || i < hubsPerDataCentre
			}
		}
	}
	return m.ranked[host]
}

// alive reports whether the member answers and hears this daemon.
func (m *Mesh) alive(p *peer, now time.Time) bool {
	limit := slowSilenceLimit
	if m.fast(p) {
		limit = silenceLimit
	}
	return !p.departed() && now.Sub(p.heardAt) < limit && now.Sub(p.echoAt) < limit
}

func (m *Mesh) beat(ctx context.Context) {
	ticker := m.Clock.NewTicker(beatInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		m.elect()
		m.sendBeats(turn%slowBeats == 0)
		if turn%slowBeats == 0 {
			m.mu.Lock()
			m.contact(m.Clock.Now())
			m.mu.Unlock()
		}
	}
}

// sendBeats sends a beat on the fast links, or on all.
func (m *Mesh) sendBeats(all bool) {
	configuration := m.ConfigurationVersion()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent.next(m.Clock.Now())
	for _, p := range m.peers {
		if !p.up || !all && !m.fast(p) {
			continue
		}
		p.queue(&clusterpb.Envelope{Kind: &clusterpb.Envelope_Beat{Beat: &clusterpb.Beat{
			Sequence:      m.sent.sequence,
			Heard:         p.heard,
			Term:          m.election.Term(),
			HighestTerm:   m.election.HighestTerm(),
			Stopping:      m.stopping,
			Configuration: configuration,
		}}})
	}
}

// takeBeat takes a beat of another member.
func (m *Mesh) takeBeat(host string, beat *clusterpb.Beat) {
	m.mu.Lock()
	p := m.peers[host]
	if p == nil {
		m.mu.Unlock()
		return
	}
	p.heardAt, p.heard = m.Clock.Now(), beat.GetSequence()
	p.closed = false
	if at := m.sent.of(beat.GetHeard()); at.After(p.echoAt) {
		p.echoAt = at
	}
	p.term, p.highestTerm = beat.GetTerm(), beat.GetHighestTerm()
	turned := beat.GetStopping() != p.stopping || p.term > 0 && m.leader != host
	p.stopping = beat.GetStopping()
	m.mu.Unlock()
	if turned {
		m.elect()
	}
}

// elect takes one step of the election and tells of a change.
func (m *Mesh) elect() {
	m.mu.Lock()
	now := m.Clock.Now()
	candidates := []Candidate{{Host: m.Self.Host, Rank: rank(m.Self), Hub: m.isHub(m.Self.Host), Alive: true, Stopping: m.stopping}}
	departed := false
	for host, p := range m.peers {
		if host == m.leader && (p.departed() || p.stopping) {
			departed = true
		}
		candidates = append(candidates, Candidate{
			Host:             host,
			Rank:             rank(p.member),
			Hub:              m.isHub(host),
			Alive:            m.alive(p, now),
			HeartbeatsArrive: !p.departed() && now.Sub(p.heardAt) < silenceLimit,
			Stopping:         p.stopping,
			Term:             p.term,
			HighestTerm:      p.highestTerm,
		})
	}
	led := m.election.Term() > 0
	switch {
	case !candidates[0].Hub:
		m.election.EarliestClaim = m.began.Add(slowStartPatience)
	case m.settled(now):
		m.election.EarliestClaim = m.began
	default:
		m.election.EarliestClaim = m.began.Add(startPatience)
	}
	leader := m.election.Step(now, candidates, departed)
	changed := leader != m.leader
	m.leader = leader
	leads := m.election.Term() > 0
	m.mu.Unlock()
	if changed {
		m.Handler.LeaderChanged(leader)
	}
	if leads != led {
		m.sendBeats(true)
	}
}
