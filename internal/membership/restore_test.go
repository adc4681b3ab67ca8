package membership_test

import (
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/membership"
)

// members returns a view of the epoch with the incarnations.
func members(epoch uint64, incarnations ...string) membership.View {
	v := membership.View{DataCentre: "a", Epoch: epoch}
	for _, i := range incarnations {
		v.Members = append(v.Members, membership.Member{Host: "h-" + i, Incarnation: i})
	}
	return v
}

// TestRestoredViewKeepsMembers restores a table with an older view, which may have changed since.
func TestRestoredViewKeepsMembers(t *testing.T) {
	known := members(8, "1", "2")
	left := func(incarnation string) bool { return incarnation == "0" }
	for _, c := range []struct {
		name   string
		stored membership.View
		want   membership.View
	}{
		{"nothing was lost", members(8, "1", "2"), known},
		{"a join was lost", members(7, "1"), known},
		{"a departure was lost", members(7, "0", "1", "2"), known},
		{"the table was empty", members(0), known},
		{"another has joined since", members(7, "1", "3"), members(9, "1", "2", "3")},
		{"another has joined since at the same epoch", members(8, "1", "3"), members(9, "1", "2", "3")},
		{"others have joined since up to a later epoch", members(11, "1", "3", "4"), members(12, "1", "2", "3", "4")},
	} {
		got := known.Restored(c.stored, left)
		if got.Epoch != c.want.Epoch || len(got.Members) != len(c.want.Members) {
			t.Errorf("%s: got epoch %d with %d members, want epoch %d with %d", c.name, got.Epoch, len(got.Members), c.want.Epoch, len(c.want.Members))
		}
		for _, m := range c.want.Members {
			if _, ok := got.Member(m.Incarnation); !ok {
				t.Errorf("%s: member %s is missing", c.name, m.Incarnation)
			}
		}
	}
}
