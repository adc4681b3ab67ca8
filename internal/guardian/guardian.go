// Package guardian decides whether this daemon may send work to a cold target: one that has
// just started and runs few requests at a time. Each target has one guardian among the
// members of its data centre. While the target is cold, only its guardian sends to it, and
// at most as many concurrent requests as the ColdLimit of its contract, target.Target.
//
// Guardianship has no lease that expires: a daemon becomes active as guardian, which means
// that it may send, only after every other member has reported that it adopted the same or
// a later epoch, together with the requests that it still has in flight. A paused daemon
// therefore stays guardian of its targets, and no other daemon sends to them while they are
// cold, until the platform reports that its host is gone. Requests that a departed member
// may still have in flight keep the new guardian from becoming active, or count against the
// cold limit, for the longest run time that the contract allows.
//
// # Usage
//
//	var gate guardian.Gate
//	gate.Adopt(now, self, view)
//	gate.PeerAdopted(peer, epoch, inFlight)
//	switch d := gate.Acquire(now, contract).(type) {
//	case guardian.Granted:
//		defer gate.Release(contract.Name)
//	case guardian.OtherGuardian:
//		forward(d.Guardian)
//	case guardian.Full, guardian.Pending, guardian.NoGuardian:
//		chooseAnother()
//	}
package guardian

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// Decision is the result of Acquire or Activate: Granted, Full, Pending, OtherGuardian or
// NoGuardian.
type Decision interface{ decision() }

// Granted permits one request. After Acquire the caller must call Release when the
// request has ended.
type Granted struct{}

// Full means that the requests in flight to the target, including those of other and former
// members, have reached the cold limit.
type Full struct{ InFlight, Limit int }

// Pending means that this daemon is the guardian of the target but isn't active yet.
type Pending struct {
	// Reason names the condition that isn't met yet.
	Reason string
}

// OtherGuardian means that another daemon is the guardian of the target.
type OtherGuardian struct{ Guardian membership.Member }

// NoGuardian means that this daemon knows no member of the data centre.
type NoGuardian struct{}

func (Granted) decision()       {}
func (Full) decision()          {}
func (Pending) decision()       {}
func (OtherGuardian) decision() {}
func (NoGuardian) decision()    {}

// Gate holds the guardianship state of one daemon. The zero value guards no target. It is
// not safe for concurrent use.
type Gate struct {
	ownIncarnation string
	view           membership.View
	// guardians caches the guardian by target for the adopted view.
	guardians map[string]membership.Member
	// adoptions holds the last report of each other member, by incarnation.
	adoptions map[string]adoption
	// inFlight counts this daemon's requests by target, cold ones included.
	inFlight map[string]int
	// coldInFlight counts this daemon's requests that Acquire has granted, by target.
	coldInFlight map[string]int
	// activeEpochs holds, by target, the epoch in which this daemon is active as guardian.
	activeEpochs map[string]uint64
	// departed holds the incarnations of the departures in the adopted view.
	departed   map[string]bool
	departures []departure
	orphans    []orphanedRequests
}

// departure is a departed member that may still have requests in flight.
type departure struct {
	incarnation string
	// at is the time at which this daemon adopted the view without the member.
	at time.Time
	// viewKnown reports that the member acted on the view when it departed, so that it can
	// only have requests at the targets whose guardian it was in that view.
	viewKnown bool
	view      membership.View
}

// mayHoldRequests reports whether the departed member may still have requests at the target.
func (d departure) mayHoldRequests(now time.Time, contract target.Target) bool {
	if !now.Before(d.at.Add(contract.RunLimit())) {
		return false
	}
	if !d.viewKnown {
		return true
	}
	m, _ := d.view.Guardian(contract.Name)
	return m.Incarnation == d.incarnation
}

// orphanedRequests counts the requests that a former member last reported as in flight to
// a target whose guardian it no longer was.
type orphanedRequests struct {
	target string
	count  int
	// since is the time at which this daemon adopted the view without the member.
	since time.Time
}

// adoption is a member's report of the epoch that it acts on and of its requests in flight
// to cold targets whose guardian it no longer is, by target.
type adoption struct {
	epoch    uint64
	inFlight map[string]int
}

// View returns the view that this daemon acts on.
func (g *Gate) View() membership.View {
	return g.view
}

// Adopt acts on the view from now on if its epoch is higher, and reports whether it was.
// Self is the incarnation of this daemon.
func (g *Gate) Adopt(now time.Time, self string, view membership.View) bool {
	g.init()
	if view.Epoch <= g.view.Epoch {
		return false
	}
	contiguous := view.Epoch == g.view.Epoch+1
	g.retainActive(view, contiguous)
	g.recordDepartures(now, view)
	g.ownIncarnation = self
	g.view = view
	clear(g.guardians)
	g.removeFormerMembers(now)
	return true
}

// retainActive keeps this daemon active for the targets whose guardian it is in both of two
// consecutive epochs. Contiguous reports whether the view's epoch follows the adopted one;
// if epochs were skipped, another daemon may have been active meanwhile.
func (g *Gate) retainActive(view membership.View, contiguous bool) {
	for name := range g.activeEpochs {
		m, ok := view.Guardian(name)
		if !contiguous || !ok || m.Incarnation != g.ownIncarnation {
			delete(g.activeEpochs, name)
			continue
		}
		g.activeEpochs[name] = view.Epoch
	}
}

// recordDepartures records the members that departed since the previous view. One that had
// reported that it adopted the previous view can only have requests in flight to the
// targets whose guardian it was in that view, and to those that it reported.
func (g *Gate) recordDepartures(now time.Time, view membership.View) {
	contiguous := view.Epoch == g.view.Epoch+1
	before := g.departed
	g.departed = map[string]bool{}
	g.expireDepartures(now)
	for _, d := range view.Departed {
		g.departed[d.Incarnation] = true
		if before[d.Incarnation] {
			continue
		}
		_, member := g.view.Member(d.Incarnation)
		g.departures = append(g.departures, departure{
			incarnation: d.Incarnation,
			at:          now,
			viewKnown:   contiguous && member && g.adoptions[d.Incarnation].epoch == g.view.Epoch,
			view:        g.view,
		})
	}
}

// expireDepartures discards the departures that are older than the longest run time of
// any target.
func (g *Gate) expireDepartures(now time.Time) {
	kept := g.departures[:0]
	for _, d := range g.departures {
		if now.Before(d.at.Add(target.LongestRun)) {
			kept = append(kept, d)
		}
	}
	g.departures = kept
}

// removeFormerMembers discards the reports of former members and keeps the requests that
// they had in flight as orphans.
func (g *Gate) removeFormerMembers(now time.Time) {
	for incarnation, a := range g.adoptions {
		if _, ok := g.view.Member(incarnation); ok {
			continue
		}
		for name, count := range a.inFlight {
			g.orphans = append(g.orphans, orphanedRequests{target: name, count: count, since: now})
		}
		delete(g.adoptions, incarnation)
	}
}

// PeerAdopted records a member's report that it acts on the epoch. InFlight counts its
// requests to cold targets whose guardian it no longer is, by target. A report of a lower
// epoch than the last one is ignored.
func (g *Gate) PeerAdopted(incarnation string, epoch uint64, inFlight map[string]int) {
	g.init()
	if known, ok := g.adoptions[incarnation]; ok && known.epoch > epoch {
		return
	}
	g.adoptions[incarnation] = adoption{epoch: epoch, inFlight: inFlight}
}

// Acquire decides whether one more request may be sent to the cold target, and counts it if
// the decision is Granted.
func (g *Gate) Acquire(now time.Time, contract target.Target) Decision {
	decision := g.Activate(now, contract)
	if _, ok := decision.(Granted); !ok {
		return decision
	}
	free, full := g.hasFreeSlot(now, contract)
	if !free {
		return full
	}
	g.inFlight[contract.Name]++
	g.coldInFlight[contract.Name]++
	return decision
}

// Activate makes this daemon active as guardian of the target if it may be. It returns
// Granted, Pending, OtherGuardian or NoGuardian, and counts no request.
func (g *Gate) Activate(now time.Time, contract target.Target) Decision {
	g.init()
	m, ok := g.guardian(contract.Name)
	if !ok {
		return NoGuardian{}
	}
	if m.Incarnation != g.ownIncarnation {
		return OtherGuardian{Guardian: m}
	}
	if reason := g.tryActivate(now, contract); reason != "" {
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

// hasFreeSlot reports whether one more request stays within the cold limit of the target,
// and the present count and limit.
func (g *Gate) hasFreeSlot(now time.Time, contract target.Target) (bool, Full) {
	occupied := g.inFlight[contract.Name] + g.reportedInFlight(contract.Name) + g.orphanedInFlight(now, contract)
	return occupied < contract.ColdLimit, Full{InFlight: occupied, Limit: contract.ColdLimit}
}

// tryActivate makes this daemon active for the target and returns "", or returns the
// condition that isn't met yet.
func (g *Gate) tryActivate(now time.Time, contract target.Target) string {
	if g.activeEpochs[contract.Name] == g.view.Epoch {
		return ""
	}
	for _, m := range g.view.Members {
		if m.Incarnation == g.ownIncarnation {
			continue
		}
		if g.adoptions[m.Incarnation].epoch < g.view.Epoch {
			return "member " + m.Host + " has not adopted the epoch"
		}
	}
	for _, d := range g.departures {
		if d.mayHoldRequests(now, contract) {
			return "requests of a departed member may still run"
		}
	}
	g.activeEpochs[contract.Name] = g.view.Epoch
	return ""
}

// reportedInFlight returns the requests that other members have reported as in flight to
// the target.
func (g *Gate) reportedInFlight(name string) int {
	count := 0
	for _, a := range g.adoptions {
		count += a.inFlight[name]
	}
	return count
}

// orphanedInFlight returns the number of requests of former members that the target may
// still run, and discards those whose run time limit has passed.
func (g *Gate) orphanedInFlight(now time.Time, contract target.Target) int {
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

// BeginWarm counts a request to a warm target, which needs no permission.
func (g *Gate) BeginWarm(name string) {
	g.init()
	g.inFlight[name]++
}

// EndWarm records the end of a request counted by BeginWarm.
func (g *Gate) EndWarm(name string) {
	g.init()
	decrement(g.inFlight, name)
}

// Release records the end of a request granted by Acquire.
func (g *Gate) Release(name string) {
	g.init()
	decrement(g.inFlight, name)
	decrement(g.coldInFlight, name)
}

// decrement lowers the count by 1 and deletes it at 0.
func decrement(counts map[string]int, name string) {
	if counts[name] <= 1 {
		delete(counts, name)
		return
	}
	counts[name]--
}

// InFlight returns the number of requests of this daemon that are in flight to the target.
func (g *Gate) InFlight(name string) int {
	return g.inFlight[name]
}

// InFlightUnguarded returns the number of requests granted by Acquire that are still in
// flight to targets whose guardian this daemon no longer is, by target.
func (g *Gate) InFlightUnguarded() map[string]int {
	g.init()
	unguarded := map[string]int{}
	for name, n := range g.coldInFlight {
		if m, ok := g.guardian(name); !ok || m.Incarnation != g.ownIncarnation {
			unguarded[name] = n
		}
	}
	return unguarded
}

// init creates the maps at the first use of the zero value.
func (g *Gate) init() {
	if g.adoptions != nil {
		return
	}
	g.guardians = map[string]membership.Member{}
	g.adoptions = map[string]adoption{}
	g.inFlight = map[string]int{}
	g.coldInFlight = map[string]int{}
	g.activeEpochs = map[string]uint64{}
	g.departed = map[string]bool{}
}
