// Package cluster knows the other daemons: which there are, which answer, and which one
// leads the dispatch of stages. Daemons hold one link to each contact and send a beat on
// it several times a second.
//
// A member is alive for another one while beats arrive from it and tell that it hears
// the other's beats as well; a cut in one direction thus counts as a cut.
//
// # Usage
//
//	mesh := &cluster.Mesh{Self: member, Clock: clock, Handler: handler}
//	err := mesh.Serve(ctx, listener)
//	mesh.SetMembers(members)
//	ok := mesh.Send(host, envelope)
package cluster

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
)

const (
	// BeatInterval is the time between two beats on a link.
	BeatInterval = 100 * time.Millisecond
	// SilenceLimit is the time without a beat after which a member counts as dead. A busy
	// host may be late by two or three beats.
	SilenceLimit = 400 * time.Millisecond
	// electionPatience is the time without a leader after which a daemon claims.
	electionPatience = 150 * time.Millisecond
	// startPatience is the time after its start in which a daemon doesn't claim.
	startPatience = 500 * time.Millisecond
	// dialTimeout bounds the opening of a link.
	dialTimeout = time.Second
	// redialPause is the wait before a failed link is opened again.
	redialPause = 200 * time.Millisecond
	// writeTimeout closes a link that takes no bytes for that long.
	writeTimeout = time.Second
	// queueLength bounds the envelopes that wait for a link.
	queueLength = 4096
	// maxEnvelopeBytes bounds one envelope; a large configuration takes some hundred KB.
	maxEnvelopeBytes = 16 << 20
)

// Member is one daemon.
type Member struct {
	Host        string
	DataCentre  string
	Address     string
	Incarnation string
	Weight      float64
}

// Handler takes what arrives and what changes. Its methods must not block.
type Handler interface {
	// Receive takes an envelope of another member.
	Receive(from string, e *clusterpb.Envelope)
	// LeaderChanged says who leads now; empty means nobody.
	LeaderChanged(leader string)
	// Learned says that members were heard of that weren't known.
	Learned(members []Member)
	// Linked says that a link to a member was opened.
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

	mu       sync.Mutex
	ctx      context.Context
	peers    map[string]*peer
	election Election
	leader   string
	stopping bool
	sequence uint64
	ended    sync.WaitGroup
}

// peer is the state of one other member.
type peer struct {
	member Member
	out    chan *clusterpb.Envelope
	cancel context.CancelFunc
	// retry makes the link be opened at once.
	retry chan struct{}
	up    bool
	// heardAt is when the last beat arrived, heard its sequence.
	heardAt time.Time
	heard   uint64
	// echoAt is when the last beat arrived that shows that the member hears us.
	echoAt        time.Time
	term          uint64
	highestTerm   uint64
	stopping      bool
	departed      bool
	configuration int64
}

// Serve runs the links until the context ends.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	m.mu.Lock()
	m.ctx = ctx
	m.peers = map[string]*peer{}
	m.election = Election{Host: m.Self.Host, Patience: electionPatience, NotBefore: m.Clock.Now().Add(startPatience)}
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

// SetMembers sets the members that are known; links to others are closed.
func (m *Mesh) SetMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil || m.ctx.Err() != nil {
		return
	}
	present := map[string]bool{}
	for _, member := range members {
		if member.Host == m.Self.Host {
			continue
		}
		present[member.Host] = true
		m.ensure(member)
	}
	for host, p := range m.peers {
		if !present[host] && !m.alive(p, m.Clock.Now()) {
			p.cancel()
			delete(m.peers, host)
		}
	}
}

// Members returns the other members that are known.
func (m *Mesh) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []Member
	for _, p := range m.peers {
		members = append(members, p.member)
	}
	return members
}

// ensure opens a link to the member if there is none to its present incarnation.
func (m *Mesh) ensure(member Member) {
	old := m.peers[member.Host]
	if old != nil && old.member.Address == member.Address {
		if old.member.Incarnation != member.Incarnation {
			old.member = member
			old.wake() // the link to the former start may not have failed yet
		}
		return
	}
	if old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(m.ctx)
	p := &peer{member: member, out: make(chan *clusterpb.Envelope, queueLength), cancel: cancel, retry: make(chan struct{}, 1)}
	m.peers[member.Host] = p
	m.ended.Add(1)
	go func() {
		defer m.ended.Done()
		m.link(ctx, p)
	}()
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

func (p *peer) queue(e *clusterpb.Envelope) bool {
	select {
	case p.out <- e:
		return true
	default:
		return false
	}
}

// Stop tells the others that this daemon is about to end.
func (m *Mesh) Stop() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.sendBeats()
}

// Leader returns the daemon that leads as known here, empty if there is none.
func (m *Mesh) Leader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// IsAlive reports whether the member answers.
func (m *Mesh) IsAlive(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	return p != nil && m.alive(p, m.Clock.Now())
}

// Alive returns the number of living members, this one included, and of all known ones.
func (m *Mesh) Alive() (alive, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	alive, known = 1, 1+len(m.peers)
	for _, p := range m.peers {
		if m.alive(p, now) {
			alive++
		}
	}
	return alive, known
}

// Silent returns the data centres of which members are known and none answers.
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

// Position is the number of living members that rank before this one.
func (m *Mesh) Position() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	position := 0
	for host, p := range m.peers {
		if m.alive(p, now) && rank(host) < rank(m.Self.Host) {
			position++
		}
	}
	return position
}

// NewestConfiguration returns the highest version that another living member told of.
func (m *Mesh) NewestConfiguration() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := int64(0)
	for _, p := range m.peers {
		newest = max(newest, p.configuration)
	}
	return newest
}

func (m *Mesh) alive(p *peer, now time.Time) bool {
	return !p.departed && now.Sub(p.heardAt) < SilenceLimit && now.Sub(p.echoAt) < SilenceLimit
}

func (m *Mesh) beat(ctx context.Context) {
	ticker := m.Clock.NewTicker(BeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			m.elect()
			m.sendBeats()
		}
	}
}

func (m *Mesh) sendBeats() {
	configuration := m.Configuration()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	for _, p := range m.peers {
		if !p.up {
			continue
		}
		p.queue(&clusterpb.Envelope{Kind: &clusterpb.Envelope_Beat{Beat: &clusterpb.Beat{
			Sequence:      m.sequence,
			Heard:         p.heard,
			Term:          m.election.Term(),
			HighestTerm:   m.election.HighestTerm(),
			Stopping:      m.stopping,
			Configuration: configuration,
		}}})
	}
}

// rank orders the daemons as candidates for the lead.
func rank(host string) uint64 { return xxhash.Sum64String(host) }

// elect takes one step of the election and tells of a change.
func (m *Mesh) elect() {
	m.mu.Lock()
	now := m.Clock.Now()
	candidates := []Candidate{{Host: m.Self.Host, Rank: rank(m.Self.Host), Alive: true, Stopping: m.stopping, Term: m.election.Term()}}
	departed := false
	for host, p := range m.peers {
		if host == m.leader && (p.departed || p.stopping) {
			departed = true
		}
		candidates = append(candidates, Candidate{
			Host:        host,
			Rank:        rank(host),
			Alive:       m.alive(p, now),
			Heard:       !p.departed && now.Sub(p.heardAt) < SilenceLimit,
			Stopping:    p.stopping,
			Term:        p.term,
			HighestTerm: p.highestTerm,
		})
	}
	leader := m.election.Step(now, candidates, departed)
	changed := leader != m.leader
	m.leader = leader
	m.mu.Unlock()
	if changed {
		m.Handler.LeaderChanged(leader)
	}
}

// link keeps the link to a member open.
func (m *Mesh) link(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		err := m.runLink(ctx, p)
		m.mu.Lock()
		p.up = false
		drain(p.out)
		m.mu.Unlock()
		if ctx.Err() == nil {
			m.Log.Emit(event.LinkLost, "Member", p.member.Host, "Reason", reason(err))
		}
		select {
		case <-ctx.Done():
		case <-p.retry:
		case <-m.Clock.After(redialPause):
		}
	}
}

func reason(err error) string {
	if err == nil {
		return "closed"
	}
	return err.Error()
}

func drain(queue chan *clusterpb.Envelope) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// errReopened is the end of a link to a former start of a daemon.
var errReopened = errors.New("the daemon has started anew")

// wake makes the link be opened anew at once; a dial that is under way is given up, since
// it may have been waiting for a host that has only just come back.
func (p *peer) wake() {
	select {
	case p.retry <- struct{}{}:
	default:
	}
}

func (m *Mesh) dial(ctx context.Context, p *peer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialed := make(chan struct{})
	defer close(dialed)
	go func() {
		select {
		case <-p.retry:
			cancel()
			p.wake()
		case <-dialed:
		}
	}()
	dialer := net.Dialer{}
	if ip := net.ParseIP(hostOf(m.Self.Address)); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer.DialContext(ctx, "tcp", p.member.Address)
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // beats show whether the link lives
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}

// runLink opens the link, says hello and sends what is queued until the link fails.
func (m *Mesh) runLink(ctx context.Context, p *peer) error {
	c, err := m.dial(ctx, p)
	if err != nil {
		return err
	}
	session, err := yamux.Client(c, muxConfig())
	if err != nil {
		_ = c.Close()
		return err
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.OpenStream()
	if err != nil {
		return err
	}
	hello := &clusterpb.Hello{Sender: encode(m.Self)}
	for _, member := range m.Members() {
		hello.Known = append(hello.Known, encode(member))
	}
	writer := bufio.NewWriter(stream)
	if err := write(writer, stream, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Hello{Hello: hello}}); err != nil {
		return err
	}
	m.mu.Lock()
	p.up = true
	m.mu.Unlock()
	m.Handler.Linked(p.member.Host)
	closed := session.CloseChan()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-closed:
			return io.EOF
		case <-p.retry:
			p.wake() // for the next attempt, which then doesn't wait
			return errReopened
		case e := <-p.out:
			if err := writeAll(writer, stream, e, p.out); err != nil {
				return err
			}
		}
	}
}

// writeAll writes an envelope and those queued behind it in one go.
func writeAll(writer *bufio.Writer, stream *yamux.Stream, e *clusterpb.Envelope, queue chan *clusterpb.Envelope) error {
	for {
		if _, err := protodelim.MarshalTo(writer, e); err != nil {
			return err
		}
		select {
		case e = <-queue:
			continue
		default:
		}
		_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
		return writer.Flush()
	}
}

func write(writer *bufio.Writer, stream *yamux.Stream, e *clusterpb.Envelope) error {
	if _, err := protodelim.MarshalTo(writer, e); err != nil {
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writer.Flush()
}

func encode(member Member) *clusterpb.Member {
	return &clusterpb.Member{
		Host:        member.Host,
		DataCentre:  member.DataCentre,
		Address:     member.Address,
		Incarnation: member.Incarnation,
		Weight:      member.Weight,
	}
}

func decode(member *clusterpb.Member) Member {
	return Member{
		Host:        member.GetHost(),
		DataCentre:  member.GetDataCentre(),
		Address:     member.GetAddress(),
		Incarnation: member.GetIncarnation(),
		Weight:      member.GetWeight(),
	}
}

// helloTimeout bounds the wait for the first envelope of a link.
const helloTimeout = 2 * time.Second

// linkSilence closes an incoming link on which nothing arrives for that long.
const linkSilence = 3 * time.Second

// receive takes the envelopes of an incoming link.
func (m *Mesh) receive(ctx context.Context, c net.Conn) {
	session, err := yamux.Server(c, muxConfig())
	if err != nil {
		_ = c.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.AcceptStream()
	if err != nil {
		return
	}
	reader := bufio.NewReader(stream)
	options := protodelim.UnmarshalOptions{MaxSize: maxEnvelopeBytes}
	first := &clusterpb.Envelope{}
	_ = stream.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := options.UnmarshalFrom(reader, first); err != nil || first.GetHello().GetSender().GetHost() == "" {
		return
	}
	from := m.greet(first.GetHello())
	if from == "" {
		return
	}
	for {
		e := &clusterpb.Envelope{}
		_ = stream.SetReadDeadline(time.Now().Add(linkSilence))
		if err := options.UnmarshalFrom(reader, e); err != nil {
			m.lost(from, first.GetHello().GetSender().GetIncarnation(), err)
			return
		}
		if beat := e.GetBeat(); beat != nil {
			m.takeBeat(from, beat)
			continue
		}
		m.Handler.Receive(from, e)
	}
}

// greet makes the sender of a hello a peer and tells of members that weren't known.
func (m *Mesh) greet(hello *clusterpb.Hello) string {
	sender := decode(hello.GetSender())
	if sender.Host == m.Self.Host {
		return ""
	}
	var news []Member
	m.mu.Lock()
	if m.ctx.Err() != nil {
		m.mu.Unlock()
		return ""
	}
	old := m.peers[sender.Host]
	if old == nil || old.member != sender {
		news = append(news, sender)
	}
	m.ensure(sender)
	p := m.peers[sender.Host]
	if !p.up {
		p.wake()
	}
	p.departed = false
	p.stopping = false
	p.term = 0
	for _, k := range hello.GetKnown() {
		member := decode(k)
		if member.Host != m.Self.Host && m.peers[member.Host] == nil {
			m.ensure(member)
			news = append(news, member)
		}
	}
	m.mu.Unlock()
	if len(news) > 0 {
		m.Handler.Learned(news)
	}
	return sender.Host
}

// lost notes that an incoming link ended; one that was closed by the other side, while no
// new one has come, means that the daemon has ended.
func (m *Mesh) lost(host, incarnation string, err error) {
	if !isClosed(err) {
		return
	}
	m.mu.Lock()
	p := m.peers[host]
	if p != nil && p.member.Incarnation == incarnation {
		p.departed = true
	}
	m.mu.Unlock()
}

func isClosed(err error) bool {
	return err == io.EOF || err == yamux.ErrSessionShutdown || err == yamux.ErrStreamClosed || err == yamux.ErrConnectionReset || err == io.ErrUnexpectedEOF
}

func (m *Mesh) takeBeat(host string, beat *clusterpb.Beat) {
	m.mu.Lock()
	p := m.peers[host]
	if p == nil {
		m.mu.Unlock()
		return
	}
	now := m.Clock.Now()
	p.heardAt, p.heard = now, beat.GetSequence()
	p.departed = false
	if heard := beat.GetHeard(); heard > 0 && m.sequence-heard <= uint64(SilenceLimit/BeatInterval) {
		p.echoAt = now
	}
	p.term, p.highestTerm = beat.GetTerm(), beat.GetHighestTerm()
	p.configuration = beat.GetConfiguration()
	turned := beat.GetStopping() && !p.stopping
	p.stopping = beat.GetStopping()
	m.mu.Unlock()
	if turned {
		m.elect()
	}
}
