// Package cluster maintains the links between the daemons of entry hosts. It tracks which
// members exist and which are alive, and elects the leader, which dispatches stages for all.
//
// In each data centre, a few daemons with the largest CPU share are the hubs; the others are
// leaves. Hubs have links to all daemons and leaves have links to hubs only, so that the number
// of links grows linearly with the number of daemons instead of quadratically: every daemon opens
// links to all hubs, and a daemon to which a link is opened opens one back. In a small cluster
// all daemons are hubs. If hubs of a data centre aren't alive, links to its next-ranked daemons
// replace theirs.
//
// Each daemon sends heartbeats (clusterpb.Beat) over its links. A heartbeat echoes the
// sequence number of the last heartbeat that was received from the other side. A member is
// alive as long as its heartbeats arrive and echo recent ones, so that a partition in one
// direction counts as a partition.
//
// # Usage
//
//	mesh := &cluster.Mesh{Self: member, Clock: clock, Handler: handler, ConfigurationVersion: version}
//	go mesh.Serve(ctx, listener)
//	mesh.SetMembers(members)
//	ok := mesh.Send(host, envelope)
package cluster

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/memory"
)

// Member describes one daemon. It is stored as JSON in the platform's table of members.
type Member struct {
	Host       string
	DataCentre string
	// Address is the IP:port on which the daemon accepts links.
	Address string
	// Incarnation is the ID of one start of the daemon; each start has a new one.
	Incarnation string
	// Weight is the daemon's CPU share in cores, see platform.HostLimits; for its rank, more than
	// 1 counts as 1.
	Weight float64
}

// Handler handles received envelopes and changes of the cluster. Its methods must not block.
type Handler interface {
	// Receive handles an envelope from the daemon on the host. The envelope was sent at sentAfter
	// or later, by the clock of this daemon; a zero time means that there is no such bound yet.
	Receive(from string, sentAfter time.Time, e *clusterpb.Envelope)
	// LeaderChanged reports the host of the new leader, which is empty if there is none.
	LeaderChanged(leader string)
	// MembersDiscovered reports members that were unknown or have changed, as learned from
	// other members rather than from SetMembers.
	MembersDiscovered(members []Member)
	// LinkOpened reports that a link to or from the daemon on the host was opened.
	LinkOpened(host string)
}

// Mesh manages the links of one daemon. The exported fields are set before Serve is called.
type Mesh struct {
	Self    Member
	Clock   clockwork.Clock
	Handler Handler
	Log     event.Log
	// ConfigurationVersion returns the version of the configuration that this daemon uses, which
	// its heartbeats carry; 0 means that it has none.
	ConfigurationVersion func() int64
	// Memory bounds the queues of links; nil bounds only their lengths.
	Memory *memory.Budget

	// queueMemory counts what waits in the queues of links.
	queueMemory linkMemory
	// mu guards all fields below except wg, and the changing fields of each peer. Unexported
	// methods that neither lock it nor serve a link expect that the caller holds it.
	mu sync.Mutex
	// ctx is the context of Serve.
	ctx       context.Context
	startedAt time.Time
	members   map[string]Member
	// hubCache holds, by host, whether a daemon is a hub; nil if it must be computed again.
	hubCache map[string]bool
	// peers holds, by host, the members to which this daemon opens links; nil before Serve.
	peers map[string]*peer
	// required holds the hosts of the links that this daemon needs, see requiredLinks.
	required map[string]bool
	// probes holds, by host, the members that seemed to be dead when there was last a link to them.
	probes   map[string]probe
	election Election
	leader   string
	stopping bool
	// membersListed means that SetMembers has supplied other members.
	membersListed bool
	sendTimes     sendTimes
	// wg waits for the goroutines of Serve and of the links.
	wg sync.WaitGroup
}

// Serve accepts and opens links until the context ends, then closes the listener and the
// links and returns nil. An accept that fails for lack of descriptors, for example, is retried. If the
// listener is closed earlier, Serve accepts no more links, but returns only after the context has ended.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	m.queueMemory.holder = m.Memory.Open("")
	defer m.queueMemory.holder.Close()
	m.mu.Lock()
	m.ctx = ctx
	m.peers = map[string]*peer{}
	if m.members == nil {
		m.members = map[string]Member{}
	}
	m.startedAt = m.Clock.Now()
	m.election = Election{Host: m.Self.Host, ClaimDelay: claimDelay}
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		m.runHeartbeats(ctx)
	}()
	for {
		c, err := listener.Accept()
		if err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
			m.Log.Emit(event.LoopFailed, "Task", "accept links", "Reason", err.Error())
			m.Clock.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			m.wg.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			m.serveLink(ctx, c)
		}()
	}
}

// acceptRetryDelay is the wait after an accept has failed. Without links from others a daemon counts as
// dead, so it is short.
const acceptRetryDelay = 50 * time.Millisecond

// SetMembers sets the registered members. Members that are no longer registered are removed
// unless they are alive. The call has no effect while Serve doesn't run.
func (m *Mesh) SetMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil || m.ctx.Err() != nil {
		return
	}
	now := m.Clock.Now()
	registered := map[string]bool{}
	for _, member := range members {
		if member.Host == m.Self.Host {
			continue
		}
		registered[member.Host] = true
		m.putMember(member)
	}
	for host := range m.members {
		if p := m.peers[host]; !registered[host] && (p == nil || !m.alive(p, now)) {
			m.removeMember(host)
		}
	}
	m.membersListed = m.membersListed || len(registered) > 0
	m.updateLinks(now)
}

// hubsChecked reports whether this daemon would know of a leader among the hubs: from every
// hub a heartbeat has arrived, or its port refuses connections.
func (m *Mesh) hubsChecked(now time.Time) bool {
	if !m.membersListed {
		return false
	}
	for host := range m.requiredLinks(now) {
		if p := m.peers[host]; p == nil || p.receivedAt.IsZero() && !p.dialRefused {
			return false
		}
	}
	return true
}

// putMember stores a member and updates the link to it. It reports whether the member was
// unknown or has changed.
func (m *Mesh) putMember(member Member) bool {
	old, known := m.members[member.Host]
	if known && old == member {
		return false
	}
	m.members[member.Host] = member
	m.hubCache = nil
	p := m.peers[member.Host]
	switch {
	case p == nil:
	case p.member.Address != member.Address:
		p.cancel()
		m.openLink(member)
	default:
		p.member = member
		p.reconnectNow(errMemberRestarted) // an open link may still lead to the former incarnation
	}
	return true
}

// removeMember removes a member and closes the link to it.
func (m *Mesh) removeMember(host string) {
	delete(m.members, host)
	delete(m.probes, host)
	m.hubCache = nil
	if p := m.peers[host]; p != nil {
		p.cancel()
		delete(m.peers, host)
	}
}

// Send queues an envelope for the daemon on the host. It reports false if the link to it isn't
// open or its queue is full.
func (m *Mesh) Send(host string, e *clusterpb.Envelope) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil || !p.connected {
		return false
	}
	p.usedAt = m.Clock.Now()
	return p.enqueue(e)
}

// Broadcast queues an envelope for every member to which a link is open.
func (m *Mesh) Broadcast(e *clusterpb.Envelope) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.connected {
			p.enqueue(e)
		}
	}
}

// AnnounceStop informs the other daemons that this one is stopping, so that it neither leads
// nor is elected any more. Links stay open until the context of Serve ends.
func (m *Mesh) AnnounceStop() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.sendHeartbeats(true)
}

// Leader returns the host of the leader as seen by this daemon, empty if there is none.
func (m *Mesh) Leader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// Incarnation returns the current incarnation of the daemon on the host, empty if it isn't
// alive.
func (m *Mesh) Incarnation(host string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil || !m.alive(p, m.Clock.Now()) {
		return ""
	}
	return p.member.Incarnation
}

// Ended reports whether the daemon on the host is known to have ended: it has closed its link
// to this daemon and its port refuses connections.
func (m *Mesh) Ended(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	return p != nil && p.ended()
}

// Size returns the number of known daemons, this one included.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members) + 1
}

// Live returns the number of daemons that may be alive, this one included. A daemon to which this one opens no link counts
// as alive.
func (m *Mesh) Live() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	live := 1
	for host := range m.members {
		if p := m.peers[host]; p == nil || m.alive(p, now) {
			live++
		}
	}
	return live
}

// SilentDataCentres returns, for each data centre to whose members there are links, whether
// none of these members is alive. The data centre of this daemon is never silent.
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

// LiveRank returns the number of better-ranked daemons that may be alive. A daemon to which this
// one opens no link counts as alive.
func (m *Mesh) LiveRank() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	better := 0
	for host, member := range m.members {
		if p := m.peers[host]; rank(member) < rank(m.Self) && (p == nil || m.alive(p, now)) {
			better++
		}
	}
	return better
}
