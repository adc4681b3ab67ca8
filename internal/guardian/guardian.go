// Package guardian decides whether this daemon may send work to a target in a cold
// start. Each cold target has one guardian among the members of its data centre; only
// the guardian sends to it, within the cold limit of its contract.
//
// The rule has no clock in it: a daemon becomes active as guardian only after every
// other member has said that it acts on the same or a later epoch, with the requests
// that it still has in flight. A paused daemon therefore keeps its targets, and none
// else sends to them, until the platform says that its host is gone. What a departed
// guardian may have in flight counts against the limit for the target's longest run.
//
// # Usage
//
//	var gate guardian.Gate
//	gate.Adopt(now, self, view)
//	gate.PeerAdopted(peer, epoch, busy)
//	switch d := gate.Acquire(now, contract).(type) {
//	case guardian.Granted:
//		defer gate.Release(contract.Name)
//	case guardian.Elsewhere:
//		forward(d.Guardian)
//	case guardian.Full, guardian.Pending:
//		chooseAnother()
//	}
package guardian

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// Decision is the answer to Acquire: Granted, Full, Pending or Elsewhere.
type Decision interface{ decision() }

// Granted lets one request through; the caller must release it.
type Granted struct{}

// Full says that the cold limit is used up.
type Full struct{ InFlight, Limit int }

// Pending says that this daemon guards the target but isn't active yet.
type Pending struct {
	// Reason names what is awaited.
	Reason string
}

// OtherGuardian says that another daemon guards the target.
type OtherGuardian struct{ Guardian membership.Member }

// NoGuardian says that the data centre has no members known to this daemon.
type NoGuardian struct{}

func (Granted) decision()       {}
func (Full) decision()          {}
func (Pending) decision()       {}
func (OtherGuardian) decision() {}
func (NoGuardian) decision()    {}

// Gate is the guardian's state of one daemon; the zero value guards nothing. It is
// not safe for concurrent use.
type Gate struct {
	self      string
	view      membership.View
	guardians map[string]membership.Member
	peers     map[string]adoption
	inFlight  map[string]int
	cold      map[string]int
	active    map[string]uint64
	departed  map[string]bool
	deaths    []death
	orphans   []orphan
}

// death is a departed member that may still have requests in flight.
type death struct {
	incarnation string
	at          time.Time
	// known says that the member acted on the view when it departed, so that only the
	// targets that it guarded there are in doubt.
	known bool
	view  membership.View
}

// holds reports whether the departed member may still have requests at the target.
func (d death) holds(now time.Time, contract target.Target) bool {
	if !now.Before(d.at.Add(contract.RunLimit())) {
		return false
	}
	if !d.known {
		return true
	}
	m, _ := d.view.Guardian(contract.Name)
	return m.Incarnation == d.incarnation
}

// orphan counts what a departed member still had in flight to a target that it no
// longer guarded.
type orphan struct {
	target string
	count  int
	since  time.Time
}

type adoption struct {
	epoch uint64
	busy  map[string]int
}

// View returns the adopted view.
func (g *Gate) View() membership.View {
	return g.view
}

// Adopt acts on a newer view and reports whether it was newer.
func (g *Gate) Adopt(now time.Time, self string, view membership.View) bool {
	g.init()
	if view.Epoch <= g.view.Epoch {
		return false
	}
	contiguous := view.Epoch == g.view.Epoch+1
	g.keepActive(view, contiguous)
	g.noteDepartures(now, view)
	g.self = self
	g.view = view
	clear(g.guardians)
	g.forgetPeers(now)
	return true
}

// keepActive carries over the targets that this daemon guards in both of two
// consecutive epochs; after a gap another daemon may have been active in between.
func (g *Gate) keepActive(view membership.View, contiguous bool) {
	for name := range g.active {
		m, ok := view.Guardian(name)
		if !contiguous || !ok || m.Incarnation != g.self {
			delete(g.active, name)
			continue
		}
		g.active[name] = view.Epoch
	}
}

// noteDepartures records the members that departed. One that had told this daemon that
// it acts on the view before can only have sent to the targets that it guarded there,
// and to those that it reported as busy.
func (g *Gate) noteDepartures(now time.Time, view membership.View) {
	contiguous := view.Epoch == g.view.Epoch+1
	before := g.departed
	g.departed = map[string]bool{}
	g.forgetDeaths(now)
	for _, d := range view.Departed {
		g.departed[d.Incarnation] = true
		if before[d.Incarnation] {
			continue
		}
		_, member := g.view.Member(d.Incarnation)
		g.deaths = append(g.deaths, death{
			incarnation: d.Incarnation,
			at:          now,
			known:       contiguous && member && g.peers[d.Incarnation].epoch == g.view.Epoch,
			view:        g.view,
		})
	}
}

// forgetDeaths drops the departures after which no request can still run anywhere.
func (g *Gate) forgetDeaths(now time.Time) {
	kept := g.deaths[:0]
	for _, d := range g.deaths {
		if now.Before(d.at.Add(target.LongestRun)) {
			kept = append(kept, d)
		}
	}
	g.deaths = kept
}

func (g *Gate) forgetPeers(now time.Time) {
	for incarnation, a := range g.peers {
		if _, ok := g.view.Member(incarnation); ok {
			continue
		}
		for name, count := range a.busy {
			g.orphans = append(g.orphans, orphan{target: name, count: count, since: now})
		}
		delete(g.peers, incarnation)
	}
}

// PeerAdopted records that a member acts on the epoch and what it has in flight.
func (g *Gate) PeerAdopted(incarnation string, epoch uint64, busy map[string]int) {
	g.init()
	if known, ok := g.peers[incarnation]; ok && known.epoch > epoch {
		return
	}
	g.peers[incarnation] = adoption{epoch: epoch, busy: busy}
}

// Acquire decides whether one more request may go to the cold target.
func (g *Gate) Acquire(now time.Time, contract target.Target) Decision {
	decision := g.Activate(now, contract)
	if _, ok := decision.(Granted); !ok {
		return decision
	}
	free, full := g.room(now, contract)
	if !free {
		return full
	}
	g.inFlight[contract.Name]++
	g.cold[contract.Name]++
	return decision
}

// Activate decides whether this daemon acts as guardian of the target: Granted, Pending,
// Elsewhere or Nobody. It takes no place.
func (g *Gate) Activate(now time.Time, contract target.Target) Decision {
	g.init()
	m, ok := g.guardian(contract.Name)
	if !ok {
		return NoGuardian{}
	}
	if m.Incarnation != g.self {
		return OtherGuardian{Guardian: m}
	}
	if reason := g.activate(now, contract); reason != "" {
		return Pending{Reason: reason}
	}
	return Granted{}
}

// guardian returns the guardian of the target in the adopted view.
func (g *Gate) guardian(name string) (membership.Member, bool) {
	if m, ok := g.guardians[name]; ok {
		return m, true
	}
	m, ok := g.view.Guardian(name)
	if ok {
		g.guardians[name] = m
	}
	return m, ok
}

// room reports whether the target bears one more request.
func (g *Gate) room(now time.Time, contract target.Target) (bool, Full) {
	occupied := g.inFlight[contract.Name] + g.busyElsewhere(contract.Name) + g.orphaned(now, contract)
	return occupied < contract.ColdLimit, Full{InFlight: occupied, Limit: contract.ColdLimit}
}

// activate makes the daemon active for the target if it may be, or names what is awaited.
func (g *Gate) activate(now time.Time, contract target.Target) string {
	if g.active[contract.Name] == g.view.Epoch {
		return ""
	}
	for _, m := range g.view.Members {
		if m.Incarnation == g.self {
			continue
		}
		if g.peers[m.Incarnation].epoch < g.view.Epoch {
			return "member " + m.Host + " has not adopted the epoch"
		}
	}
	for _, d := range g.deaths {
		if d.holds(now, contract) {
			return "requests of a departed member may still run"
		}
	}
	g.active[contract.Name] = g.view.Epoch
	return ""
}

func (g *Gate) busyElsewhere(name string) int {
	busy := 0
	for _, a := range g.peers {
		busy += a.busy[name]
	}
	return busy
}

// orphaned counts the requests of departed members that the target may still run, and
// drops those that it can't.
func (g *Gate) orphaned(now time.Time, contract target.Target) int {
	count := 0
	kept := g.orphans[:0]
	for _, o := range g.orphans {
		if o.target == contract.Name && !now.Before(o.since.Add(contract.RunLimit())) {
			continue
		}
		kept = append(kept, o)
		if o.target == contract.Name {
			count += o.count
		}
	}
	g.orphans = kept
	return count
}

// BeginWarm counts a request that goes to a target outside the gate, because the target is warm.
func (g *Gate) BeginWarm(name string) {
	g.init()
	g.inFlight[name]++
}

// EndWarm ends a request counted by Enter.
func (g *Gate) EndWarm(name string) {
	g.init()
	decrement(g.inFlight, name)
}

// Release ends a request counted by Acquire.
func (g *Gate) Release(name string) {
	g.init()
	decrement(g.inFlight, name)
	decrement(g.cold, name)
}

func decrement(counts map[string]int, name string) {
	if counts[name] <= 1 {
		delete(counts, name)
		return
	}
	counts[name]--
}

// InFlight returns the requests of this daemon that are in flight to the target.
func (g *Gate) InFlight(name string) int {
	return g.inFlight[name]
}

// InFlightUnguarded returns the requests that Acquire let through to targets that this daemon no
// longer guards.
func (g *Gate) InFlightUnguarded() map[string]int {
	g.init()
	busy := map[string]int{}
	for name, n := range g.cold {
		if m, ok := g.guardian(name); !ok || m.Incarnation != g.self {
			busy[name] = n
		}
	}
	return busy
}

func (g *Gate) init() {
	if g.peers != nil {
		return
	}
	g.guardians = map[string]membership.Member{}
	g.peers = map[string]adoption{}
	g.inFlight = map[string]int{}
	g.cold = map[string]int{}
	g.active = map[string]uint64{}
	g.departed = map[string]bool{}
}
