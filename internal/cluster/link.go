package cluster

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dialer"
	"github.com/sequoiapick/sequoiapick/internal/event"
)

const (
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// maxRedialDelay limits the wait before a failed link is opened again. A link that was open
	// is opened again without a wait, and the waits then double from minRedialDelay: this shows
	// within milliseconds whether the daemon has ended or only its connection was lost.
	maxRedialDelay = 200 * time.Millisecond
	minRedialDelay = 10 * time.Millisecond
	// writeTimeout is the time after which a link that accepts no bytes is closed.
	writeTimeout = time.Second
	// sendQueueLength limits the number of envelopes that are queued for a link.
	sendQueueLength = 4096
	// maxEnvelopeBytes limits the size of a received envelope; one with a large configuration has
	// some hundred KB.
	maxEnvelopeBytes = 16 << 20
	// helloTimeout limits the wait for the first envelope of an incoming link.
	helloTimeout = 2 * time.Second
	// readTimeout is the time without an envelope after which an incoming link is closed.
	readTimeout = 5 * time.Second
)

// peer is the state of a member to which this daemon opens a link. A link is one-way: the
// member sends its envelopes over a link of its own.
type peer struct {
	member    Member
	sendQueue chan *clusterpb.Envelope
	// memory counts what waits in sendQueue; it is that of the mesh.
	memory *linkMemory
	cancel context.CancelFunc
	// reconnect holds at most one request to close the link, if it is open, and to open it again
	// at once. The request is the reason.
	reconnect chan error
	// openedAt is when the link was first opened, connectedAt when its present connection was.
	openedAt, connectedAt time.Time
	connected             bool
	// receivedAt is when the last heartbeat arrived, receivedSequence its sequence number.
	receivedAt       time.Time
	receivedSequence uint64
	// echoedSendTime is when this daemon sent the newest heartbeat that the member has echoed.
	echoedSendTime time.Time
	// term, highestTerm and stopping are those of the member's last heartbeat, see Candidate.
	term        uint64
	highestTerm uint64
	stopping    bool
	// incomingClosed means that the member's link to this daemon was closed and not replaced,
	// dialRefused that its port refuses connections, dialFailed that the last attempt to connect failed.
	incomingClosed, dialRefused, dialFailed bool
	// spare is set if the member doesn't need the link with this daemon.
	spare bool
	// usedAt is when an envelope other than a heartbeat was last queued.
	usedAt time.Time
}

// ended reports whether the daemon is known to have ended. A closed link alone doesn't prove it,
// since network devices reset connections between live daemons.
func (p *peer) ended() bool { return p.incomingClosed && p.dialRefused }

// openLink starts a goroutine that maintains a link to the member.
func (m *Mesh) openLink(member Member) *peer {
	ctx, cancel := context.WithCancel(m.ctx)
	p := &peer{
		member:    member,
		sendQueue: make(chan *clusterpb.Envelope, sendQueueLength),
		memory:    &m.queueMemory,
		cancel:    cancel,
		reconnect: make(chan error, 1),
		openedAt:  m.Clock.Now(),
	}
	m.peers[member.Host] = p
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		m.maintainLink(ctx, p)
	}()
	return p
}

// enqueue adds an envelope to the send queue and reports false if the queue is full or there is no memory
// for the envelope.
func (p *peer) enqueue(e *clusterpb.Envelope) bool {
	if !p.memory.add(e) {
		return false
	}
	select {
	case p.sendQueue <- e:
		return true
	default:
		p.memory.remove(e)
		return false
	}
}

var (
	// errMemberRestarted ends a link that may belong to a former incarnation of a daemon.
	errMemberRestarted = errors.New("the daemon has restarted")
	// errLinkSilent ends a link over which no heartbeat seems to have arrived for
	// silentLinkTimeout.
	errLinkSilent = errors.New("heartbeats are not echoed")
)

// reconnectNow requests that the link be opened again at once. A dial in progress is
// cancelled, since it may have begun while the host was down.
func (p *peer) reconnectNow(reason error) {
	select {
	case p.reconnect <- reason:
	default:
	}
}

// maintainLink opens the link to a member again whenever it fails, until the context ends.
func (m *Mesh) maintainLink(ctx context.Context, p *peer) {
	var delay time.Duration
	for ctx.Err() == nil {
		err := m.runLink(ctx, p)
		m.mu.Lock()
		if p.connected {
			delay = 0
		}
		p.dialFailed = !p.connected
		p.connected = false
		p.dialRefused = errors.Is(err, syscall.ECONNREFUSED)
		ended := p.ended()
		p.drainQueue()
		host := p.member.Host
		m.mu.Unlock()
		if ctx.Err() == nil {
			m.Log.Emit(event.LinkLost, "Member", host, "Reason", closeReason(err))
		}
		if ended {
			m.updateLeader()
		}
		select {
		case <-ctx.Done():
		case <-p.reconnect:
		case <-m.Clock.After(delay):
		}
		delay = min(max(2*delay, minRedialDelay), maxRedialDelay)
	}
}

// closeReason returns the text for the log of why a link ended.
func closeReason(err error) string {
	if err == nil {
		return "closed"
	}
	return err.Error()
}

// drainQueue drops the queued envelopes of a failed link. Handler.LinkOpened is called when the
// link is open again.
func (p *peer) drainQueue() {
	for {
		select {
		case e := <-p.sendQueue:
			p.memory.remove(e)
		default:
			return
		}
	}
}

// dial connects to the member from this daemon's own address. A request to reconnect cancels
// the attempt.
func (m *Mesh) dial(ctx context.Context, p *peer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialed := make(chan struct{})
	defer close(dialed)
	go func() {
		select {
		case reason := <-p.reconnect:
			cancel()
			p.reconnectNow(reason) // the request was consumed here; the next attempt must not wait
		case <-dialed:
		}
	}()
	d := dialer.From(hostOf(m.Self.Address))
	m.mu.Lock()
	address := p.member.Address
	m.mu.Unlock()
	return d.DialContext(ctx, "tcp", address)
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // heartbeats already detect dead links
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}

// runLink opens the link, sends a hello and then the queued envelopes until the link fails.
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
	writer := bufio.NewWriter(stream)
	if err := p.writeEnvelopes(writer, stream, m.hello(), nil); err != nil {
		return err
	}
	m.mu.Lock()
	p.connected, p.connectedAt, p.dialRefused, p.dialFailed = true, m.Clock.Now(), false, false
	host := p.member.Host
	m.mu.Unlock()
	m.Handler.LinkOpened(host)
	closed := session.CloseChan()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-closed:
			return io.EOF
		case reason := <-p.reconnect:
			p.reconnectNow(reason) // the request was consumed here; the next attempt must not wait
			return reason
		case e := <-p.sendQueue:
			if err := p.writeEnvelopes(writer, stream, e, p.sendQueue); err != nil {
				return err
			}
		}
	}
}

// hello returns the first envelope of a link, which describes this daemon and lists the other
// members that it knows.
func (m *Mesh) hello() *clusterpb.Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	hello := &clusterpb.Hello{Sender: encodeMember(m.Self)}
	for _, member := range m.members {
		hello.Known = append(hello.Known, encodeMember(member))
	}
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_Hello{Hello: hello}}
}

// writeEnvelopes writes an envelope and all that are queued behind it, then flushes once.
func (p *peer) writeEnvelopes(writer *bufio.Writer, stream *yamux.Stream, e *clusterpb.Envelope, queue chan *clusterpb.Envelope) error {
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	for {
		_, err := protodelim.MarshalTo(writer, e)
		p.memory.remove(e)
		if err != nil {
			return err
		}
		select {
		case e = <-queue:
			continue
		default:
		}
		return writer.Flush()
	}
}

func encodeMember(member Member) *clusterpb.Member {
	return &clusterpb.Member{
		Host:        member.Host,
		DataCentre:  member.DataCentre,
		Address:     member.Address,
		Incarnation: member.Incarnation,
		Weight:      member.Weight,
	}
}

func decodeMember(member *clusterpb.Member) Member {
	return Member{
		Host:        member.GetHost(),
		DataCentre:  member.GetDataCentre(),
		Address:     member.GetAddress(),
		Incarnation: member.GetIncarnation(),
		Weight:      member.GetWeight(),
	}
}

// serveLink reads the envelopes of an incoming link until it fails or the context ends.
func (m *Mesh) serveLink(ctx context.Context, c net.Conn) {
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
	from := m.handleHello(first.GetHello())
	if from == "" {
		return
	}
	sender := decodeMember(first.GetHello().GetSender())
	// A link keeps the order of envelopes, so that those behind a heartbeat were sent after the
	// heartbeat of this daemon that it echoes.
	var sentAfter time.Time
	for {
		e := &clusterpb.Envelope{}
		_ = stream.SetReadDeadline(time.Now().Add(readTimeout))
		if err := options.UnmarshalFrom(reader, e); err != nil {
			m.handleClosedLink(from, sender.Incarnation, err)
			return
		}
		if beat := e.GetBeat(); beat != nil {
			if at := m.handleHeartbeat(sender, beat); at.After(sentAfter) {
				sentAfter = at
			}
			continue
		}
		m.Handler.Receive(from, sentAfter, e)
	}
}

// handleHello makes the sender of a hello a peer, stores the members that it lists and reports
// those that weren't known. It returns the sender's host, or an empty string if the link must
// be closed.
func (m *Mesh) handleHello(hello *clusterpb.Hello) string {
	sender := decodeMember(hello.GetSender())
	if sender.Host == m.Self.Host {
		return ""
	}
	var discovered []Member
	m.mu.Lock()
	if m.ctx.Err() != nil {
		m.mu.Unlock()
		return ""
	}
	restarted := m.members[sender.Host].Incarnation != sender.Incarnation
	if m.putMember(sender) {
		discovered = append(discovered, sender)
	}
	for _, k := range hello.GetKnown() {
		member := decodeMember(k)
		if _, known := m.members[member.Host]; known || member.Host == m.Self.Host {
			continue // a member's own description takes precedence over that of others
		}
		m.putMember(member)
		discovered = append(discovered, member)
	}
	p := m.peers[sender.Host]
	if p == nil {
		p = m.openLink(sender)
	}
	if !p.connected {
		p.reconnectNow(errMemberRestarted)
	}
	p.incomingClosed = false
	if restarted {
		p.stopping, p.term = false, 0
	}
	m.updateLinks(m.Clock.Now())
	m.mu.Unlock()
	if len(discovered) > 0 {
		m.Handler.MembersDiscovered(discovered)
	}
	m.Handler.LinkOpened(sender.Host)
	return sender.Host
}

// handleClosedLink updates the peer if err shows that the other side closed the incoming link.
func (m *Mesh) handleClosedLink(host, incarnation string, err error) {
	if !isClosed(err) {
		return
	}
	m.mu.Lock()
	if p := m.peers[host]; p != nil && p.member.Incarnation == incarnation {
		p.incomingClosed = true
	}
	m.mu.Unlock()
	m.updateLeader()
}

// isClosed reports whether the error means that the other side has closed the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, yamux.ErrSessionShutdown) ||
		errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)
}
