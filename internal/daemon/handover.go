package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/peer"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
)

// leaveTimeout is the maximum time for leaving the membership. If the platform is
// unreachable for that long, the daemon remains a member until another one starts on its
// host or the host is no longer listed.
const leaveTimeout = 5 * time.Second

// leaveSettleDelay is the time that the other members get to adopt the epoch without this
// daemon.
const leaveSettleDelay = time.Second

// maxHandoverAttempts is the maximum number of attempts to hand the keys to one successor.
const maxHandoverAttempts = 5

// handOverKeys hands the idempotency keys and stored answers to one successor. Once a
// candidate may have received them, no other is tried, since two daemons that own the same
// key could both run its request.
func handOverKeys(d *Daemon, ctx context.Context) error {
	handover := d.deduplicator.Seal()
	entries, err := json.Marshal(handover)
	if err != nil {
		return err
	}
	message := &peerpb.Handover{Incarnation: d.incarnation, Entries: entries}
	for _, m := range d.successorCandidates() {
		accepted, sent := d.sendHandover(ctx, m, message)
		if accepted {
			d.recordSuccessions(handover.Incarnations, m.Incarnation)
			d.log.Emit(event.KeysHandedOver, "Successor", m.Host, "Entries", len(handover.Entries))
		}
		if sent {
			return nil
		}
	}
	return nil
}

// sendHandover sends the keys to one member and reports whether it accepted them and
// whether it may have taken them over. It hasn't if it rejected them and no earlier call may
// have arrived.
func (d *Daemon) sendHandover(ctx context.Context, m membership.Member, message *peerpb.Handover) (accepted, sent bool) {
	for range maxHandoverAttempts {
		callCtx, cancel := context.WithTimeout(ctx, backgroundTimeout)
		reply, err := d.peers.Call(callCtx, m.PeerAddress, &peerpb.Call{Kind: &peerpb.Call_Handover{Handover: message}})
		cancel()
		if err == nil {
			accepted = reply.GetAck().GetAccepted()
			return accepted, accepted || sent
		}
		sent = sent || !peer.NotSent(err)
		if !sent {
			return false, false
		}
	}
	return false, sent
}

// successorCandidates returns, in random order, the members that may take over this
// daemon's keys: those of its data centre, or its remote neighbours if it is the last there.
func (d *Daemon) successorCandidates() []membership.Member {
	candidates := ringSuccessors(d.fleet.View(), d.Settings.Host, d.incarnation)
	if len(candidates) == 0 {
		for _, n := range d.neighbours() {
			candidates = append(candidates, n.member)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// leaveMembership removes this daemon from the view of its data centre, so that the other
// members become guardians of its targets. A failure is logged and doesn't fail the step.
func leaveMembership(d *Daemon, ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.mu.Lock()
	successor := d.successions[d.incarnation].successor
	d.mu.Unlock()
	err := d.changeView(ctx, func(view membership.View) (membership.View, bool) {
		return view.Leave(d.incarnation, successor)
	})
	if err != nil {
		d.log.Emit(event.MembershipFrozen, "Reason", err.Error())
		return nil
	}
	d.Clock.Sleep(leaveSettleDelay)
	return nil
}
