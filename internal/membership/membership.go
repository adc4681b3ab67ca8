// Package membership computes the member set of a data centre and which member is the
// guardian of each target.
//
// A View is the membership of one data centre, stored as one row of the table that package
// platform defines. Its epoch is a version number that each change of the member set
// increments. An incarnation identifies one run of a daemon process. The guardian of a
// target is the only member that may send work to it while the target is cold; see package
// guardian.
//
// A daemon leaves the view when it stops as planned, when the platform's host list no
// longer contains its host, or when a new incarnation joins on the same host.
//
// # Usage
//
//	next, changed := view.Join(me)
//	guardian, ok := next.Guardian("llm-1")
package membership

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// MaxDeparted is the maximum number of departures that a view retains, and of successions.
// Departures of the view's own epoch are retained even beyond it, so that a daemon that
// adopts every epoch receives every departure.
const MaxDeparted = 32

// Member is one daemon of a data centre.
type Member struct {
	Host string
	// Incarnation identifies one run of the daemon process.
	Incarnation string
	// PeerAddress is the host:port on which other daemons call this one.
	PeerAddress string
	// CallerAddress is the host:port of the interface to callers.
	CallerAddress string
	// Listed reports whether the platform's host list has ever contained the host.
	Listed bool
}

// Departure is a member that was removed without a planned stop, so that it may still
// have requests in flight.
type Departure struct {
	Host        string
	Incarnation string
	// Epoch is the first epoch without the member.
	Epoch uint64
}

// Succession names the incarnation that took over the idempotency keys of a stopped one.
type Succession struct {
	// Incarnation is the stopped one.
	Incarnation string
	// Successor is the incarnation that answers for its keys.
	Successor string
}

// View is the membership of one data centre.
type View struct {
	DataCentre string
	// Epoch increases by 1 with each change of Members.
	Epoch   uint64
	Members []Member
	// Departed holds the latest departures, the oldest first.
	Departed []Departure
	// Heirs holds the latest successions, the oldest first. The field is named as in the
	// stored row.
	Heirs []Succession
}

// Member returns the member with the incarnation.
func (v View) Member(incarnation string) (Member, bool) {
	for _, m := range v.Members {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// Guardian returns the member that is the guardian of the target, chosen by rendezvous
// hashing over hosts, and whether the view has any member.
func (v View) Guardian(target string) (Member, bool) {
	best, highest := Member{}, uint64(0)
	for _, m := range v.Members {
		if s := rendezvousScore(m.Host, target); s >= highest {
			best, highest = m, s
		}
	}
	return best, len(v.Members) > 0
}

// Ranked returns the members in descending order of their rendezvous score for the name.
func (v View) Ranked(name string) []Member {
	ranked := slices.Clone(v.Members)
	sort.Slice(ranked, func(i, j int) bool {
		return rendezvousScore(ranked[i].Host, name) > rendezvousScore(ranked[j].Host, name)
	})
	return ranked
}

// Join returns the view with the member added and whether it changed. An earlier
// incarnation on the same host becomes a departure.
func (v View) Join(m Member) (View, bool) {
	if _, ok := v.Member(m.Incarnation); ok {
		return v, false
	}
	next := v.nextEpoch()
	for _, old := range v.Members {
		if old.Host == m.Host {
			next.recordDeparture(old)
			continue
		}
		next.Members = append(next.Members, old)
	}
	next.Members = append(next.Members, m)
	return next, true
}

// Restored returns the view to write after the table was restored from an older copy and lists the
// stored view: this view, which was current before, with the members that have joined the stored one
// since. Members that had left before the restore may be listed there too. The epoch is above that of the
// stored view if members have joined that.
func (v View) Restored(stored View, left func(incarnation string) bool) View {
	next := v
	for _, m := range stored.Members {
		if left(m.Incarnation) || v.departed(m.Incarnation) {
			continue
		}
		next, _ = next.Join(m)
	}
	if stored.Epoch >= next.Epoch && !slices.Equal(stored.Members, next.Members) {
		next.Epoch = stored.Epoch + 1
	}
	return next
}

// departed reports whether the incarnation is among the latest departures.
func (v View) departed(incarnation string) bool {
	return slices.ContainsFunc(v.Departed, func(d Departure) bool { return d.Incarnation == incarnation })
}

// Leave returns the view without the member and whether it changed. The member has no
// requests in flight, so this isn't a departure. A non-empty successor is the incarnation
// that took over the member's keys.
func (v View) Leave(incarnation, successor string) (View, bool) {
	if _, ok := v.Member(incarnation); !ok {
		return v, false
	}
	next := v.nextEpoch()
	for _, m := range v.Members {
		if m.Incarnation != incarnation {
			next.Members = append(next.Members, m)
		}
	}
	if successor != "" {
		next.Heirs = append(next.Heirs, Succession{Incarnation: incarnation, Successor: successor})
	}
	if len(next.Heirs) > MaxDeparted {
		next.Heirs = next.Heirs[len(next.Heirs)-MaxDeparted:]
	}
	return next, true
}

// RemoveUnlisted returns the view without the members whose hosts are no longer listed,
// and whether it changed. A member whose host was never listed stays, since the list is
// updated late. An empty list removes no member.
func (v View) RemoveUnlisted(listed map[string]bool) (View, bool) {
	if len(listed) == 0 {
		return v, false
	}
	next := v.nextEpoch()
	for _, m := range v.Members {
		if m.Listed && !listed[m.Host] {
			next.recordDeparture(m)
			continue
		}
		next.Members = append(next.Members, m)
	}
	if len(next.Members) == len(v.Members) {
		return v, false
	}
	return next, true
}

// MarkListed returns the view with Listed set on the members whose hosts are listed now,
// and whether it changed. The epoch stays the same, since no guardian changes.
func (v View) MarkListed(listed map[string]bool) (View, bool) {
	changed := false
	marked := v
	marked.Members = slices.Clone(v.Members)
	for i, m := range marked.Members {
		if !m.Listed && listed[m.Host] {
			marked.Members[i].Listed = true
			changed = true
		}
	}
	return marked, changed
}

// nextEpoch returns a view of the next epoch with the same history and no members.
func (v View) nextEpoch() View {
	return View{
		DataCentre: v.DataCentre,
		Epoch:      v.Epoch + 1,
		Departed:   slices.Clone(v.Departed),
		Heirs:      slices.Clone(v.Heirs),
	}
}

// recordDeparture adds the member to the departures of the present epoch and discards the
// oldest ones of earlier epochs beyond MaxDeparted.
func (v *View) recordDeparture(m Member) {
	v.Departed = append(v.Departed, Departure{Host: m.Host, Incarnation: m.Incarnation, Epoch: v.Epoch})
	for len(v.Departed) > MaxDeparted && v.Departed[0].Epoch < v.Epoch {
		v.Departed = v.Departed[1:]
	}
}

// rendezvousScore returns the weight of a host for a name; the highest weight wins.
func rendezvousScore(host, name string) uint64 {
	return xxhash.Sum64String(host + "\x00" + name)
}
