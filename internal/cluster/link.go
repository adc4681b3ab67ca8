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
	"github.com/sequoiapick/sequoiapick/internal/event"
)

const (
	// dialTimeout bounds the opening of a link.
	dialTimeout = time.Second
	// redialPause is the wait before a failed link is opened again. A link that fails after
	// it was open is opened anew without one, and the waits grow from firstRedialPause: that
	// shows within milliseconds whether the daemon has ended or only the link.
	redialPause      = 200 * time.Millisecond
	firstRedialPause = 10 * time.Millisecond
	// writeTimeout closes a link that takes no bytes for that long.
	writeTimeout = time.Second
	// queueLength bounds the envelopes that wait for a link.
	queueLength = 4096
	// maxEnvelopeBytes bounds one envelope; a large configuration takes some hundred KB.
	maxEnvelopeBytes = 16 << 20
	// helloTimeout bounds the wait for the first envelope of a link.
	helloTimeout = 2 * time.Second
	// linkSilence closes an incoming link on which nothing arrives for that long.
	linkSilence = 5 * time.Second
)

// peer is a member that this daemon has a link to.
type peer struct {
	member Member
	out    chan *clusterpb.Envelope
	cancel context.CancelFunc
	// retry makes the link be opened anew at once.
	retry  chan struct{}
	opened time.Time
	up     bool
	// heardAt is when the last beat arrived, heard its sequence.
	heardAt time.Time
	heard   uint64
	// echoAt is when the newest beat was sent that the member has heard.
	echoAt      time.Time
	term        uint64
	highestTerm uint64
	stopping    bool
	// closed says that the member's link to this daemon was closed and no new one came,
	// refused that its port takes no connections.
	closed, refused bool
}

// departed reports whether the daemon has ended. A closed link alone doesn't say so, since
// network devices reset connections between daemons that live.
func (p *peer) departed() bool { return p.closed && p.refused }

// open starts a link to the member.
func (m *Mesh) open(member Member) *peer {
	ctx, cancel := context.WithCancel(m.ctx)
	p := &peer{
		member: member,
		out:    make(chan *clusterpb.Envelope, queueLength),
		cancel: cancel,
		retry:  make(chan struct{}, 1),
		opened: m.Clock.Now(),
	}
	m.peers[member.Host] = p
	m.ended.Add(1)
	go func() {
		defer m.ended.Done()
		m.link(ctx, p)
	}()
	return p
}

// queue adds an envelope and reports whether there was room for it.
func (p *peer) queue(e *clusterpb.Envelope) bool {
	select {
	case p.out <- e:
		return true
	default:
		return false
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

// link keeps the link to a member open.
func (m *Mesh) link(ctx context.Context, p *peer) {
	var pause time.Duration
	for ctx.Err() == nil {
		err := m.runLink(ctx, p)
		m.mu.Lock()
		if p.up {
			pause = 0
		}
		p.up = false
		p.refused = errors.Is(err, syscall.ECONNREFUSED)
		departed := p.departed()
		drain(p.out)
		host := p.member.Host
		m.mu.Unlock()
		if ctx.Err() == nil {
			m.Log.Emit(event.LinkLost, "Member", host, "Reason", reason(err))
		}
		if departed {
			m.elect()
		}
		select {
		case <-ctx.Done():
		case <-p.retry:
		case <-m.Clock.After(pause):
		}
		pause = min(max(2*pause, firstRedialPause), redialPause)
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

func (m *Mesh) dial(ctx context.Context, p *peer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialed := make(chan struct{})
	defer close(dialed)
	go func() {
		select {
		case <-p.retry:
			cancel()
			p.wake() // for the next attempt, which then doesn't wait
		case <-dialed:
		}
	}()
	dialer := net.Dialer{}
	if ip := net.ParseIP(hostOf(m.Self.Address)); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	m.mu.Lock()
	address := p.member.Address
	m.mu.Unlock()
	return dialer.DialContext(ctx, "tcp", address)
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
	writer := bufio.NewWriter(stream)
	if err := write(writer, stream, m.hello(), nil); err != nil {
		return err
	}
	m.mu.Lock()
	p.up, p.refused = true, false
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
		case <-p.retry:
			p.wake() // for the next attempt, which then doesn't wait
			return errReopened
		case e := <-p.out:
			if err := write(writer, stream, e, p.out); err != nil {
				return err
			}
		}
	}
}

// hello introduces this daemon and tells of the others that it knows.
func (m *Mesh) hello() *clusterpb.Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	hello := &clusterpb.Hello{Sender: encode(m.Self)}
	for _, member := range m.known {
		hello.Known = append(hello.Known, encode(member))
	}
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_Hello{Hello: hello}}
}

// write writes an envelope and those queued behind it in one go.
func write(writer *bufio.Writer, stream *yamux.Stream, e *clusterpb.Envelope, queue chan *clusterpb.Envelope) error {
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	for {
		if _, err := protodelim.MarshalTo(writer, e); err != nil {
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
	restarted := m.known[sender.Host].Incarnation != sender.Incarnation
	if m.learn(sender) {
		news = append(news, sender)
	}
	for _, k := range hello.GetKnown() {
		member := decode(k)
		if _, known := m.known[member.Host]; known || member.Host == m.Self.Host {
			continue // what a member says of itself goes before what others say
		}
		m.learn(member)
		news = append(news, member)
	}
	p := m.peers[sender.Host]
	if p == nil {
		p = m.open(sender)
	}
	if !p.up {
		p.wake()
	}
	p.closed = false
	if restarted {
		p.stopping, p.term = false, 0
	}
	m.contact(m.Clock.Now())
	m.mu.Unlock()
	if len(news) > 0 {
		m.Handler.MembersDiscovered(news)
	}
	m.Handler.LinkOpened(sender.Host)
	return sender.Host
}

// lost notes that an incoming link was closed by the other side.
func (m *Mesh) lost(host, incarnation string, err error) {
	if !isClosed(err) {
		return
	}
	m.mu.Lock()
	if p := m.peers[host]; p != nil && p.member.Incarnation == incarnation {
		p.closed = true
	}
	m.mu.Unlock()
	m.elect()
}

func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, yamux.ErrSessionShutdown) ||
		errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)
}
