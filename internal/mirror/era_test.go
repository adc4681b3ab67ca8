package mirror_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/mirror"
	"github.com/sequoiapick/sequoiapick/platform"
)

// history is a table of one era: its state at each version, in which a row's value names the era and
// version of its last change.
type history struct {
	states []map[string]platform.Row
}

// randomHistories returns the histories of several eras. Each begins as the one before it did, up to a
// random version.
func randomHistories(random *rand.Rand) []history {
	histories := make([]history, 4)
	for era := range histories {
		h := &histories[era]
		h.states = []map[string]platform.Row{{}}
		if era > 0 {
			before := histories[era-1].states
			h.states = append([]map[string]platform.Row(nil), before[:1+random.IntN(len(before))]...)
		}
		for range 10 + random.IntN(20) {
			version := int64(len(h.states))
			next := maps.Clone(h.states[version-1])
			key := fmt.Sprintf("k%d", random.IntN(6))
			if random.IntN(4) == 0 {
				delete(next, key)
			} else {
				next[key] = platform.Row{Key: key, Version: version, Value: fmt.Appendf(nil, "%d.%d", era, version)}
			}
			h.states = append(h.states, next)
		}
	}
	return histories
}

// update returns a random update of an era: the whole table at a version, or the changes between two.
func (h history) update(random *rand.Rand, era int) mirror.Update {
	from, to := random.IntN(len(h.states)), random.IntN(len(h.states))
	u := mirror.Update{Full: random.IntN(3) == 0, Era: int64(era), FromVersion: int64(min(from, to)), ToVersion: int64(max(from, to))}
	after := h.states[u.ToVersion]
	for _, r := range after {
		if u.Full || r.Version > u.FromVersion {
			u.Rows = append(u.Rows, r)
		}
	}
	if u.Full {
		return u
	}
	removed := map[string]int64{} // versions of the last removals
	for version := u.FromVersion + 1; version <= u.ToVersion; version++ {
		for key := range h.states[version-1] {
			if _, ok := h.states[version][key]; !ok {
				removed[key] = version
			}
		}
	}
	for key, version := range removed {
		if _, ok := after[key]; !ok {
			u.Rows = append(u.Rows, platform.Row{Key: key, Version: version, Deleted: true})
		}
	}
	return u
}

// TestCopyEqualsTableOfItsEra applies updates of several eras in random order and compares the copy
// with the table of its era and version after each of them.
func TestCopyEqualsTableOfItsEra(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		histories := randomHistories(random)
		var m mirror.Mirror
		shown := map[string]string{} // what the returned changes add up to
		newest := int64(0)
		for range 80 {
			era := random.IntN(len(histories))
			u := histories[era].update(random, era)
			changes, contiguous := m.Apply(u)
			if contiguous && m.Loaded() {
				newest = max(newest, u.Era)
			}
			for _, r := range changes {
				shown[r.Key] = string(r.Value)
				if r.Deleted {
					delete(shown, r.Key)
				}
			}
			if !m.Loaded() {
				continue
			}
			if m.Era() != newest {
				t.Fatalf("seed %d: the copy is of era %d after an update of era %d", seed, m.Era(), newest)
			}
			want := map[string]string{}
			for key, r := range histories[m.Era()].states[m.Version()] {
				want[key] = string(r.Value)
			}
			got := map[string]string{}
			for _, r := range m.Rows() {
				got[r.Key] = string(r.Value)
			}
			if !maps.Equal(got, want) || !maps.Equal(shown, want) {
				t.Fatalf("seed %d: the copy is %v, the changes add up to %v, want %v of era %d, version %d", seed, got, shown, want, m.Era(), m.Version())
			}
		}
	}
}
