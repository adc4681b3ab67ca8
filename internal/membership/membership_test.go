package membership_test

import (
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/membership"
)

func member(host, incarnation string) membership.Member {
	return membership.Member{Host: host, Incarnation: incarnation}
}

func TestEveryMemberChangeIncrementsTheEpoch(t *testing.T) {
	v, _ := membership.View{}.Join(member("a", "a1"))
	v, _ = v.Join(member("b", "b1"))
	again, changed := v.Join(member("b", "b1"))
	if changed || again.Epoch != 2 {
		t.Errorf("joining a second time changed the view: %+v", again)
	}
	v, _ = v.Join(member("a", "a2"))
	if _, ok := v.Member("a1"); ok || len(v.Members) != 2 || len(v.Departed) != 1 || v.Epoch != 3 {
		t.Errorf("a new incarnation on the same host did not replace the old one: %+v", v)
	}
	v, _ = v.Leave("b1", "a2")
	if len(v.Departed) != 1 || len(v.Heirs) != 1 || v.Epoch != 4 {
		t.Errorf("a planned leave was recorded as a departure or without its successor: %+v", v)
	}
}

func TestRemoveUnlistedKeepsHostsThatWereNeverListed(t *testing.T) {
	v, _ := membership.View{}.Join(member("a", "a1"))
	v, _ = v.Join(member("b", "b1"))
	if _, changed := v.RemoveUnlisted(map[string]bool{"a": true}); changed {
		t.Error("a member whose host was never listed was removed")
	}
	v, _ = v.MarkListed(map[string]bool{"a": true, "b": true})
	if _, changed := v.RemoveUnlisted(nil); changed {
		t.Error("an empty host list removed members")
	}
	remaining, changed := v.RemoveUnlisted(map[string]bool{"a": true})
	if !changed || len(remaining.Members) != 1 || len(remaining.Departed) != 1 || remaining.Epoch != v.Epoch+1 {
		t.Errorf("a member whose host left the list was not removed: %+v", remaining)
	}
}

func TestDeparturesOfOneEpochAreAllRetained(t *testing.T) {
	v := membership.View{}
	listed := map[string]bool{}
	for n := range 2 * membership.MaxDeparted {
		host := string(rune('a'+n%26)) + string(rune('a'+n/26))
		listed[host] = true
		v, _ = v.Join(member(host, host+"1"))
	}
	v, _ = v.MarkListed(listed)
	remaining, _ := v.RemoveUnlisted(map[string]bool{"aa": true})
	if got, want := len(remaining.Departed), 2*membership.MaxDeparted-1; got != want {
		t.Errorf("%d departures of one epoch were retained, want %d", got, want)
	}
}

func TestGuardianIsFirstRankedMember(t *testing.T) {
	v := membership.View{}
	for _, host := range []string{"a", "b", "c", "d"} {
		v, _ = v.Join(member(host, host+"1"))
	}
	for _, name := range []string{"llm-1", "llm-2", "orders", "x"} {
		if m, _ := v.Guardian(name); m != v.Ranked(name)[0] {
			t.Errorf("%s: guardian %v, first ranked %v", name, m, v.Ranked(name)[0])
		}
	}
}
