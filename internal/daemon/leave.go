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

// releaseLimit bounds the time spent on leaving the membership; when the platform is out
// of reach the daemon stays a member until its host starts anew or is no longer listed.
const releaseLimit = 5 * time.Second

// settleTime is the time in which the others adopt the epoch without this daemon.
const settleTime = time.Second

// handoverTries bounds the tries to hand the keys to the named successor.
const handoverTries = 5

// handOverKeys gives keys and kept answers to one successor. Once a byte may have
// reached one, no other is tried, since it could run what the first has been given.
func handOverKeys(d *Daemon, ctx context.Context) error {
	handover := d.claims.Seal()
	entries, err := json.Marshal(handover)
	if err != nil {
		return err
	}
	message := &peerpb.Handover{Incarnation: d.incarnation, Entries: entries}
	for _, m := range d.successorCandidates() {
		accepted, sent := d.handTo(ctx, m, message)
		if accepted {
			d.noteHeirs(handover.Incarnations, m.Incarnation)
			d.log.Emit(event.KeysHandedOver, "Successor", m.Host, "Entries", len(handover.Entries))
		}
		if sent {
			return nil
		}
	}
	return nil
}

// handTo hands the keys to one member and reports whether it has accepted them and
// whether it may have received them.
func (d *Daemon) handTo(ctx context.Context, m membership.Member, message *peerpb.Handover) (accepted, sent bool) {
	for range handoverTries {
		callCtx, cancel := context.WithTimeout(ctx, backgroundLimit)
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

// successorCandidates returns the members that may take over this daemon's keys: others
// of its data centre, or of another one if it is the last.
func (d *Daemon) successorCandidates() []membership.Member {
	candidates := ring(d.fleet.View(), d.Settings.Host, d.incarnation)
	if len(candidates) == 0 {
		for _, n := range d.neighbours() {
			candidates = append(candidates, n.member)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// releaseTargets leaves the membership, so that others guard this daemon's targets.
func releaseTargets(d *Daemon, ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	d.mu.Lock()
	successor := d.heirs[d.incarnation].successor
	d.mu.Unlock()
	err := d.changeView(ctx, func(view membership.View) (membership.View, bool) {
		return view.Leave(d.incarnation, successor)
	})
	if err != nil {
		d.log.Emit(event.MembershipFrozen, "Reason", err.Error())
		return nil
	}
	d.Clock.Sleep(settleTime)
	return nil
}
