package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world runs the elections of many daemons with the links that they have: every daemon to
// each hub, hubs to all. Beats take one step.
type world struct {
	now       time.Time
	elections []*Election
	hubs      int
	leaders   []string
	// dead, cut and stopping are the state of each daemon; a daemon that is cut reaches only
	// others that are cut.
	dead, cut, stopping []bool
	// told is what each daemon last said.
	told []Candidate
}

const worldStep = 100 * time.Millisecond

func newWorld(daemons, hubs int, random *rand.Rand) *world {
	w := &world{now: time.Unix(1000, 0), hubs: hubs}
	for i := range daemons {
		patience := startPatience
		if i >= hubs {
			patience = slowStartPatience
		}
		started := w.now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		w.elections = append(w.elections, &Election{Host: name(i), ClaimDelay: electionPatience, EarliestClaim: started.Add(patience)})
		w.told = append(w.told, Candidate{Host: name(i)})
	}
	w.leaders = make([]string, daemons)
	w.dead, w.cut, w.stopping = make([]bool, daemons), make([]bool, daemons), make([]bool, daemons)
	return w
}

func name(i int) string { return fmt.Sprintf("d%03d", i) }

func (w *world) linked(a, b int) bool {
	return (a < w.hubs || b < w.hubs) && !w.dead[a] && !w.dead[b] && w.cut[a] == w.cut[b]
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	next := make([]Candidate, len(w.told))
	for i, e := range w.elections {
		if w.dead[i] {
			continue
		}
		candidates := []Candidate{{Host: name(i), Rank: uint64(i + 1), Hub: i < w.hubs, Alive: true, Stopping: w.stopping[i]}}
		departed := false
		for j := range w.elections {
			if i == j || !(i < w.hubs || j < w.hubs) {
				continue
			}
			c := w.told[j]
			c.Rank, c.Hub = uint64(j+1), j < w.hubs
			c.Alive, c.HeartbeatsArrive = w.linked(i, j), w.linked(i, j)
			departed = departed || w.leaders[i] == c.Host && (w.dead[j] || c.Stopping)
			candidates = append(candidates, c)
		}
		w.leaders[i] = e.Step(w.now, candidates, departed)
		next[i] = Candidate{Host: name(i), Term: e.Term(), HighestTerm: e.HighestTerm(), Stopping: w.stopping[i]}
	}
	w.told = next
}

func (w *world) run(d time.Duration) {
	for range int(d / worldStep) {
		w.step()
	}
}

// agreed fails unless the living daemons on one side of the cut all follow one of them.
func (w *world) agreed(t *testing.T, side bool) string {
	t.Helper()
	leader := ""
	for i := range w.elections {
		if w.dead[i] || w.cut[i] != side || w.stopping[i] {
			continue
		}
		if w.leaders[i] == "" || leader != "" && w.leaders[i] != leader {
			t.Fatalf("%s follows %q, another daemon follows %q", name(i), w.leaders[i], leader)
		}
		leader = w.leaders[i]
	}
	for i := range w.elections {
		if name(i) == leader && (w.dead[i] || w.cut[i] != side) {
			t.Fatalf("%q leads, which is dead or cut off", leader)
		}
	}
	return leader
}

// TestAllFollowOneLeader starts clusters of several sizes all at once, kills and stops
// leaders, cuts daemons off and heals the cut.
func TestAllFollowOneLeader(t *testing.T) {
	for _, size := range []struct{ daemons, hubs int }{{1, 1}, {3, 3}, {9, 9}, {69, 6}, {300, 8}} {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 9))
			w := newWorld(size.daemons, size.hubs, random)
			w.run(4 * time.Second)
			leader := w.agreed(t, false)
			if size.daemons == 1 {
				continue
			}
			for i := range w.elections {
				w.dead[i] = name(i) == leader
			}
			w.run(time.Second)
			second := w.agreed(t, false)
			for i := range w.elections {
				w.stopping[i] = name(i) == second
			}
			if size.hubs > 2 {
				w.run(time.Second)
				w.agreed(t, false)
			}
			w.stopping = make([]bool, size.daemons)
			for i := range w.elections {
				w.cut[i] = i%3 == 0
			}
			w.run(3 * time.Second)
			w.agreed(t, false)
			for i := range w.elections {
				w.cut[i] = false
			}
			w.run(2 * time.Second)
			w.agreed(t, false)
		}
	}
}

// TestLeafLeadsOnlyWithoutHubs cuts one daemon that isn't a hub off from all others.
func TestLeafLeadsOnlyWithoutHubs(t *testing.T) {
	w := newWorld(20, 4, rand.New(rand.NewPCG(1, 1)))
	w.run(4 * time.Second)
	before := w.agreed(t, false)
	w.cut[15] = true
	w.run(3 * time.Second)
	if w.leaders[15] != name(15) {
		t.Errorf("the daemon that is cut off follows %q", w.leaders[15])
	}
	w.cut[15] = false
	w.run(time.Second)
	if after := w.agreed(t, false); after != before {
		t.Errorf("the leader changed from %s to %s", before, after)
	}
}

func TestNewStartDoesNotTakeTheLead(t *testing.T) {
	w := newWorld(9, 9, rand.New(rand.NewPCG(1, 1)))
	w.run(3 * time.Second)
	before := w.agreed(t, false)
	for i := range w.elections {
		if name(i) == before {
			continue
		}
		w.elections[i] = &Election{Host: name(i), ClaimDelay: electionPatience, EarliestClaim: w.now.Add(startPatience)}
		w.told[i] = Candidate{Host: name(i)}
		w.run(time.Second)
		if after := w.agreed(t, false); after != before {
			t.Fatalf("the leader changed from %s to %s when %s started", before, after, name(i))
		}
	}
}
