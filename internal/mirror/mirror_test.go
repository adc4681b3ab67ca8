package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/mirror"
	"github.com/sequoiapick/sequoiapick/platform"
)

func row(key string, version int64) platform.Row {
	return platform.Row{Key: key, Version: version, Value: []byte(fmt.Sprint(version))}
}

func TestUpdateThatLeavesGapIsRejected(t *testing.T) {
	var m mirror.Mirror
	if _, contiguous := m.Apply(mirror.Update{FromVersion: 5, ToVersion: 9}); contiguous {
		t.Fatal("changes were applied to an empty copy")
	}
	m.Apply(mirror.Update{Full: true, ToVersion: 10, Rows: []platform.Row{row("a", 3)}})
	if _, contiguous := m.Apply(mirror.Update{FromVersion: 11, ToVersion: 12, Rows: []platform.Row{row("b", 12)}}); contiguous {
		t.Fatal("changes after version 11 were applied to a copy of version 10")
	}
	changes, contiguous := m.Apply(mirror.Update{FromVersion: 9, ToVersion: 12, Rows: []platform.Row{row("b", 12)}})
	if !contiguous || len(changes) != 1 || m.Version() != 12 {
		t.Fatalf("got %v %v at version %d", changes, contiguous, m.Version())
	}
}

func TestOlderFullUpdateChangesNothing(t *testing.T) {
	var m mirror.Mirror
	m.Apply(mirror.Update{Full: true, ToVersion: 10, Rows: []platform.Row{row("a", 3), row("b", 9)}})
	if changes, _ := m.Apply(mirror.Update{Full: true, ToVersion: 5, Rows: []platform.Row{row("a", 3)}}); len(changes) != 0 || len(m.Rows()) != 2 {
		t.Fatalf("an older full update changed the copy: %v", changes)
	}
}

func TestRemovalOlderThanCopyIsIgnored(t *testing.T) {
	var m mirror.Mirror
	m.Apply(mirror.Update{Full: true, ToVersion: 20, Rows: []platform.Row{row("a", 15)}})
	m.Apply(mirror.Update{FromVersion: 5, ToVersion: 12, Rows: []platform.Row{{Key: "a", Version: 12, Deleted: true}}})
	if len(m.Rows()) != 1 {
		t.Fatal("a removal of version 12 removed a row of version 15")
	}
}

func TestAgeIsTimeSinceNewestRead(t *testing.T) {
	var m mirror.Mirror
	start := time.Unix(1000, 0)
	m.Apply(mirror.Update{Full: true, ToVersion: 2, ReadAt: start.Add(time.Second)})
	m.Apply(mirror.Update{FromVersion: 1, ToVersion: 2, ReadAt: start})
	if age := m.Age(start.Add(2 * time.Second)); age != time.Second {
		t.Fatalf("age %v, expected 1s", age)
	}
}

// TestCopyEqualsTableAfterUpdatesInAnyOrder applies random updates in random order and compares
// the copy with the table at the copy's version after each of them.
func TestCopyEqualsTableAfterUpdatesInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var log []platform.Row
		at := func(version int64) map[string]int64 {
			table := map[string]int64{}
			for _, r := range log {
				if r.Version > version {
					break
				}
				table[r.Key] = r.Version
				if r.Deleted {
					delete(table, r.Key)
				}
			}
			return table
		}
		for v := int64(1); v <= 40; v++ {
			r := row(fmt.Sprintf("k%d", random.IntN(6)), v)
			r.Deleted = random.IntN(4) == 0
			log = append(log, r)
		}
		var m mirror.Mirror
		for range 60 {
			from, to := random.Int64N(41), random.Int64N(41)
			if from > to {
				from, to = to, from
			}
			u := mirror.Update{Full: random.IntN(5) == 0, FromVersion: from, ToVersion: to}
			if u.Full {
				for key, version := range at(to) {
					u.Rows = append(u.Rows, row(key, version))
				}
			} else {
				newest := map[string]platform.Row{}
				for _, r := range log[from:to] {
					newest[r.Key] = r
				}
				for _, r := range newest {
					u.Rows = append(u.Rows, r)
				}
			}
			m.Apply(u)
			want := at(m.Version())
			if !m.Loaded() {
				continue
			}
			got := m.Rows()
			if len(got) != len(want) {
				t.Fatalf("seed %d: %d rows at version %d, expected %d", seed, len(got), m.Version(), len(want))
			}
			for _, r := range got {
				if want[r.Key] != r.Version {
					t.Fatalf("seed %d: row %s has version %d, expected %d", seed, r.Key, r.Version, want[r.Key])
				}
			}
		}
	}
}
