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
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
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
	// MembersDiscovered says that members were heard of that weren't known.
	MembersDiscovered(members []Member)
	// LinkOpened says that a link to or from a member was opened.
	LinkOpened(host string)
}

// Mesh holds the links of one daemon.
type Mesh struct {
	Self    Member
	Clock   clockwork.Clock
	Handler Handler
	Log     event.Log
	// ConfigurationVersion returns the version in force here.
	ConfigurationVersion func() int64

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
	m.election = Election{Host: m.Self.Host, ClaimDelay: electionPatience}
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

// AnnounceStop tells the others that this daemon is about to end.
func (m *Mesh) AnnounceStop() {
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

// Size returns the number of daemons that are known, this one included.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) + 1
}

// SilentDataCentres returns, for each data centre with links to members, whether none of them
// answers.
func (m *Mesh) SilentDataCentres() map[string]bool {
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

// LiveRank is the number of daemons that rank before this one and aren't known to be dead.
func (m *Mesh) LiveRank() int {
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
