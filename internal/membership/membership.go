// Package membership decides which daemons of a data centre are members, and which
// member guards which target.
//
// A View is one row of the platform's table. Each change of it raises its epoch. A
// daemon leaves the view when it releases itself, when the platform's host list no
// longer has its host, or when a new incarnation takes over its host and address.
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

// MaxDeparted bounds the departures of earlier epochs that a view remembers; those of
// its own epoch are all in it.
const MaxDeparted = 32

// Member is one daemon.
type Member struct {
	Host          string
	Incarnation   string
	PeerAddress   string
	CallerAddress string
	// Listed says that the platform's host list has had the host.
	Listed bool
}

// Departure is a member that left without releasing its targets.
type Departure struct {
	Host        string
	Incarnation string
	Epoch       uint64
}

// Succession answers for the keys of a stopped incarnation.
type Succession struct {
	Incarnation string
	Successor   string
}

// View is the membership of one data centre.
type View struct {
	DataCentre string
	Epoch      uint64
	Members    []Member
	Departed   []Departure
	Heirs      []Succession
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

// Guardian returns the member that guards the target, by rendezvous hashing over hosts.
func (v View) Guardian(target string) (Member, bool) {
	best, highest := Member{}, uint64(0)
	for _, m := range v.Members {
		if s := score(m.Host, target); s >= highest {
			best, highest = m, s
		}
	}
	return best, len(v.Members) > 0
}

// Ranked returns the members in rendezvous order for the name.
func (v View) Ranked(name string) []Member {
	ranked := slices.Clone(v.Members)
	sort.Slice(ranked, func(i, j int) bool {
		return score(ranked[i].Host, name) > score(ranked[j].Host, name)
	})
	return ranked
}

// Join returns the view with the member in it; an earlier incarnation on the same
// host and address departs.
func (v View) Join(m Member) (View, bool) {
	if _, ok := v.Member(m.Incarnation); ok {
		return v, false
	}
	next := v.next()
	for _, old := range v.Members {
		if old.Host == m.Host {
			next.depart(old)
			continue
		}
		next.Members = append(next.Members, old)
	}
	next.Members = append(next.Members, m)
	return next, true
}

// Leave returns the view without the member, which has drained its targets and
// left its keys to the successor, if one is named.
func (v View) Leave(incarnation, successor string) (View, bool) {
	if _, ok := v.Member(incarnation); !ok {
		return v, false
	}
	next := v.next()
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

// RemoveUnlisted returns the view without the members whose hosts are no longer listed. A host
// that was never listed stays, since the list lags behind; an empty list sweeps nothing.
func (v View) RemoveUnlisted(listed map[string]bool) (View, bool) {
	if len(listed) == 0 {
		return v, false
	}
	next := v.next()
	for _, m := range v.Members {
		if m.Listed && !listed[m.Host] {
			next.depart(m)
			continue
		}
		next.Members = append(next.Members, m)
	}
	if len(next.Members) == len(v.Members) {
		return v, false
	}
	return next, true
}

// MarkListed returns the view with the members marked whose hosts are listed now. The epoch
// stays, since nobody's targets change.
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

func (v View) next() View {
	return View{
		DataCentre: v.DataCentre,
		Epoch:      v.Epoch + 1,
		Departed:   slices.Clone(v.Departed),
		Heirs:      slices.Clone(v.Heirs),
	}
}

func (v *View) depart(m Member) {
	v.Departed = append(v.Departed, Departure{Host: m.Host, Incarnation: m.Incarnation, Epoch: v.Epoch})
	for len(v.Departed) > MaxDeparted && v.Departed[0].Epoch < v.Epoch {
		v.Departed = v.Departed[1:]
	}
}

func score(host, name string) uint64 {
	return xxhash.Sum64String(host + "\x00" + name)
}
