// Package cluster knows the other daemons: which there are, which answer, and which one
// leads the dispatch of stages.
//
// A few daemons of each data centre, those with the largest share of a processor, are
// hubs. Every daemon has a link to each hub and hubs have links to all, so that the number
// of links grows with the number of daemons and not with its square; in a small cluster
// all are hubs. When the hubs of a data centre are silent the next ones take their place.
// Beats on the links show who lives. A member is alive for another one while beats arrive
// from it and tell that it hears the other's beats as well; a cut in one direction thus
// counts as a cut.
//
// # Usage
//
//	mesh := &cluster.Mesh{Self: member, Clock: clock, Handler: handler}
//	err := mesh.Serve(ctx, listener)
//	mesh.SetMembers(members)
//	ok := mesh.Send(host, envelope)
package cluster

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
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

// Member is one daemon.
type Member struct {
	Host        string
	DataCentre  string
	Address     string
	Incarnation string
	// Weight is the share of a processor that the daemon has.
	Weight float64
}

// Handler takes what arrives and what changes. Its methods must not block.
type Handler interface {
	// Receive takes an envelope of another member.
	Receive(from string, e *clusterpb.Envelope)
	// LeaderChanged says who leads now; empty means nobody.
	LeaderChanged(leader string)
	// Learned says that members were heard of that weren't known.
	Learned(members []Member)
	// Linked says that a link to or from a member was opened.
	Linked(host string)
}

// Mesh holds the links of one daemon.
type Mesh struct {
	Self    Member
	Clock   clockwork.Clock
	Handler Handler
	Log     event.Log
	// Configuration returns the version in force here.
	Configuration func() int64

	mu    sync.Mutex
	ctx   context.Context
	began time.Time
	known map[string]Member
	// ranked says which daemons are hubs; nil until it is needed again.
	ranked   map[string]bool
	peers    map[string]*peer
	election Election
	leader   string
	stopping bool
	// listed says that the other registered members are known.
	listed bool
	sent   sendTimes
	ended  sync.WaitGroup
}

// Serve runs the links until the context ends.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	m.mu.Lock()
	m.ctx = ctx
	m.peers = map[string]*peer{}
	if m.known == nil {
		m.known = map[string]Member{}
	}
	m.began = m.Clock.Now()
	m.election = Election{Host: m.Self.Host, Patience: electionPatience}
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	m.ended.Add(1)
	go func() {
		defer m.ended.Done()
		m.beat(ctx)
	}()
	for {
		c, err := listener.Accept()
		if err != nil {
			m.ended.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		m.ended.Add(1)
		go func() {
			defer m.ended.Done()
			m.receive(ctx, c)
		}()
	}
}

// SetMembers sets the members that are registered; those that aren't any more are
// forgotten unless they live.
func (m *Mesh) SetMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil || m.ctx.Err() != nil {
		return
	}
	now := m.Clock.Now()
	present := map[string]bool{}
	for _, member := range members {
		if member.Host == m.Self.Host {
			continue
		}
		present[member.Host] = true
		m.learn(member)
	}
	for host := range m.known {
		if p := m.peers[host]; !present[host] && (p == nil || !m.alive(p, now)) {
			m.forget(host)
		}
	}
	m.listed = m.listed || len(present) > 0
	m.contact(now)
}

// settled reports whether a leader can't have been missed since the start: every hub was
// heard, or its port refuses connections.
func (m *Mesh) settled(now time.Time) bool {
	if !m.listed {
		return false
	}
	for host := range m.hubs(now) {
		if p := m.peers[host]; p == nil || p.heardAt.IsZero() && !p.refused {
			return false
		}
	}
	return true
}

// learn takes what is told of a member, and reports whether it is new.
func (m *Mesh) learn(member Member) bool {
	old, known := m.known[member.Host]
	if known && old == member {
		return false
	}
	m.known[member.Host] = member
	m.ranked = nil
	p := m.peers[member.Host]
	switch {
	case p == nil:
	case p.member.Address != member.Address:
		p.cancel()
		m.open(member)
	default:
		p.member = member
		p.wake() // the link to the former start may not have failed yet
	}
	return true
}

func (m *Mesh) forget(host string) {
	delete(m.known, host)
	m.ranked = nil
	if p := m.peers[host]; p != nil {
		p.cancel()
		delete(m.peers, host)
	}
}

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

// Send queues an envelope for a member and reports whether there is a link to it.
func (m *Mesh) Send(host string, e *clusterpb.Envelope) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil || !p.up {
		return false
	}
	return p.queue(e)
}

// Broadcast queues an envelope for every member with a link.
func (m *Mesh) Broadcast(e *clusterpb.Envelope) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.up {
			p.queue(e)
		}
	}
}

// Stop tells the others that this daemon is about to end.
func (m *Mesh) Stop() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.sendBeats(true)
}

// Leader returns the daemon that leads as known here, empty if there is none.
func (m *Mesh) Leader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// Incarnation returns the present start of a member, empty if it doesn't answer.
func (m *Mesh) Incarnation(host string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil || !m.alive(p, m.Clock.Now()) {
		return ""
	}
	return p.member.Incarnation
}

// Ended reports whether a member is known to have ended: its link is closed and its port
// refuses a new one.
func (m *Mesh) Ended(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	return p != nil && p.departed()
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

// Size returns the number of daemons that are known, this one included.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) + 1
}

// Silent returns, for each data centre with links to members, whether none of them
// answers.
func (m *Mesh) Silent() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	silent := map[string]bool{}
	for _, p := range m.peers {
		if _, known := silent[p.member.DataCentre]; !known {
			silent[p.member.DataCentre] = true
		}
		if m.alive(p, now) {
			silent[p.member.DataCentre] = false
		}
	}
	silent[m.Self.DataCentre] = false
	return silent
}

// Position is the number of daemons that rank before this one and aren't known to be dead.
func (m *Mesh) Position() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	position := 0
	for host, member := range m.known {
		if p := m.peers[host]; rank(member) < rank(m.Self) && (p == nil || m.alive(p, now)) {
			position++
		}
	}
	return position
}
