package daemon

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
)

// succession is the successor of a stopped incarnation: it answers for the idempotency keys
// of that one.
type succession struct {
	// successor is an incarnation.
	successor string
	// expires is the time after which none of the keys is retained any more.
	expires time.Time
}

// keyOwner returns the member that answers for the keys of an incarnation: that member
// itself, or after planned stops the last successor in the chain, and whether it is known.
// It follows at most membership.MaxDeparted successions.
func (d *Daemon) keyOwner(incarnation string) (membership.Member, bool) {
	successors := d.successors()
	for range membership.MaxDeparted {
		successor, stopped := successors[incarnation]
		if !stopped {
			return d.findMember(incarnation)
		}
		incarnation = successor
	}
	return membership.Member{}, false
}

// successors returns the successor of each stopped incarnation that this daemon knows of.
func (d *Daemon) successors() map[string]string {
	known := map[string]string{}
	for _, view := range d.allViews() {
		for _, s := range view.Heirs {
			known[s.Incarnation] = s.Successor
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for incarnation, s := range d.successions {
		known[incarnation] = s.successor
	}
	return known
}

// recordSuccessions records that the keys of the incarnations were handed to the successor,
// and broadcasts it.
func (d *Daemon) recordSuccessions(incarnations []string, successor string) {
	expires := d.Clock.Now().Add(idempotency.Retention)
	d.mu.Lock()
	for _, incarnation := range incarnations {
		d.successions[incarnation] = succession{successor: successor, expires: expires}
	}
	d.mu.Unlock()
	d.signalChange()
}

// mergeSuccessions adds the successions that another daemon has sent, unless they expired.
func (d *Daemon) mergeSuccessions(messages []*peerpb.Heir) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range messages {
		if expires := time.Unix(m.UntilUnix, 0); expires.After(now) {
			d.successions[m.Incarnation] = succession{successor: m.Successor, expires: expires}
		}
	}
}

// expireSuccessions discards the successions of keys that are no longer retained.
func (d *Daemon) expireSuccessions() {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for incarnation, s := range d.successions {
		if !s.expires.After(now) {
			delete(d.successions, incarnation)
		}
	}
}

// successionMessages returns the known successions for other daemons.
func (d *Daemon) successionMessages() []*peerpb.Heir {
	d.mu.Lock()
	defer d.mu.Unlock()
	messages := make([]*peerpb.Heir, 0, len(d.successions))
	for incarnation, s := range d.successions {
		messages = append(messages, &peerpb.Heir{Incarnation: incarnation, Successor: s.successor, UntilUnix: s.expires.Unix()})
	}
	return messages
}

// successionCount returns the number of known successions. Daemons compare it in digests.
func (d *Daemon) successionCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.successions)
}
