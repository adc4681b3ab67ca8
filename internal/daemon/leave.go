package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/membership"
)

// releaseLimit bounds the time spent on leaving the membership; when the platform is out
// of reach the daemon stays a member until its host starts anew or is no longer listed.
const releaseLimit = 5 * time.Second

// settleTime is the time in which the others adopt the epoch without this daemon.
const settleTime = time.Second

// successor returns the member that takes over this daemon's keys: another one of its
// data centre, or of another one if it is the last.
func (d *Daemon) successor() (membership.Member, bool) {
	candidates := ring(d.fleet.View(), d.Settings.Host, d.incarnation)
	if len(candidates) == 0 {
		for _, n := range d.neighbours() {
			candidates = append(candidates, n.member)
		}
	}
	if len(candidates) == 0 {
		return membership.Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// releaseTargets leaves the membership, so that others guard this daemon's targets.
func releaseTargets(d *Daemon, ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	d.mu.Lock()
	successor := d.heirs[d.incarnation]
	d.mu.Unlock()
	err := d.changeView(ctx, func(view membership.View) (membership.View, bool) {
		return view.Release(d.incarnation, successor)
	})
	if err != nil {
		d.log.Emit(event.MembershipFrozen, "Reason", err.Error())
		return nil
	}
	d.Clock.Sleep(settleTime)
	return nil
}
