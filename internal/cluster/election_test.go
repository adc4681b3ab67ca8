package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation runs the elections of many daemons. The first ones are hubs, which have links to
// all; the others have links to the hubs only. A heartbeat arrives after one step.
type simulation struct {
	now       time.Time
	elections []*Election
	hubs      int
	leaders   []string
	// dead, partitioned and stopping are the state of each daemon; a partitioned daemon reaches
	// only other partitioned daemons.
	dead, partitioned, stopping []bool
	// reported is the state that each daemon sent in its last heartbeat.
	reported []Candidate
}

const simulationStep = 100 * time.Millisecond

func newSimulation(daemons, hubs int, random *rand.Rand) *simulation {
	s := &simulation{now: time.Unix(1000, 0), hubs: hubs}
	for i := range daemons {
		startDelay := hubStartDelay
		if i >= hubs {
			startDelay = leafStartDelay
		}
		started := s.now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		s.elections = append(s.elections, &Election{Host: name(i), ClaimDelay: claimDelay, EarliestClaim: started.Add(startDelay)})
		s.reported = append(s.reported, Candidate{Host: name(i)})
	}
	s.leaders = make([]string, daemons)
	s.dead, s.partitioned, s.stopping = make([]bool, daemons), make([]bool, daemons), make([]bool, daemons)
	return s
}

func name(i int) string { return fmt.Sprintf("d%03d", i) }

func (s *simulation) isLinked(a, b int) bool {
	return (a < s.hubs || b < s.hubs) && !s.dead[a] && !s.dead[b] && s.partitioned[a] == s.partitioned[b]
}

func (s *simulation) step() {
	s.now = s.now.Add(simulationStep)
	next := make([]Candidate, len(s.reported))
	for i, e := range s.elections {
		if s.dead[i] {
			continue
		}
		candidates := []Candidate{{Host: name(i), Rank: uint64(i + 1), Hub: i < s.hubs, Alive: true, Stopping: s.stopping[i]}}
		leaderEnded := false
		for j := range s.elections {
			if i == j || !(i < s.hubs || j < s.hubs) {
				continue
			}
			c := s.reported[j]
			c.Rank, c.Hub = uint64(j+1), j < s.hubs
			c.Alive, c.HeartbeatsArrive = s.isLinked(i, j), s.isLinked(i, j)
			leaderEnded = leaderEnded || s.leaders[i] == c.Host && (s.dead[j] || c.Stopping)
			candidates = append(candidates, c)
		}
		s.leaders[i] = e.Step(s.now, candidates, leaderEnded)
		next[i] = Candidate{Host: name(i), Term: e.Term(), HighestTerm: e.HighestTerm(), Stopping: s.stopping[i]}
	}
	s.reported = next
}

func (s *simulation) run(d time.Duration) {
	for range int(d / simulationStep) {
		s.step()
	}
}

// requireOneLeader fails the test unless all live daemons whose partitioned is side, except those
// that are stopping, follow the same leader, which is live and on that side. It returns the leader.
func (s *simulation) requireOneLeader(t *testing.T, side bool) string {
	t.Helper()
	leader := ""
	for i := range s.elections {
		if s.dead[i] || s.partitioned[i] != side || s.stopping[i] {
			continue
		}
		if s.leaders[i] == "" || leader != "" && s.leaders[i] != leader {
			t.Fatalf("%s follows %q, another daemon follows %q", name(i), s.leaders[i], leader)
		}
		leader = s.leaders[i]
	}
	for i := range s.elections {
		if name(i) == leader && (s.dead[i] || s.partitioned[i] != side) {
			t.Fatalf("%q leads but is dead or on the other side of the partition", leader)
		}
	}
	return leader
}

// TestAllFollowOneLeader starts clusters of several sizes, kills one leader, stops the next
// one, partitions the daemons and heals the partition. After each step all live daemons must
// follow one leader.
func TestAllFollowOneLeader(t *testing.T) {
	for _, size := range []struct{ daemons, hubs int }{{1, 1}, {3, 3}, {9, 9}, {69, 6}, {300, 8}} {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 9))
			s := newSimulation(size.daemons, size.hubs, random)
			s.run(4 * time.Second)
			leader := s.requireOneLeader(t, false)
			if size.daemons == 1 {
				continue
			}
			for i := range s.elections {
				s.dead[i] = name(i) == leader
			}
			s.run(time.Second)
			second := s.requireOneLeader(t, false)
			for i := range s.elections {
				s.stopping[i] = name(i) == second
			}
			if size.hubs > 2 {
				s.run(time.Second)
				s.requireOneLeader(t, false)
			}
			s.stopping = make([]bool, size.daemons)
			for i := range s.elections {
				s.partitioned[i] = i%3 == 0
			}
			s.run(3 * time.Second)
			s.requireOneLeader(t, false)
			for i := range s.elections {
				s.partitioned[i] = false
			}
			s.run(2 * time.Second)
			s.requireOneLeader(t, false)
		}
	}
}

// TestLeafLeadsOnlyWithoutHubs partitions one leaf from all others: it must lead itself, and
// after the partition the former leader must lead again.
func TestLeafLeadsOnlyWithoutHubs(t *testing.T) {
	s := newSimulation(20, 4, rand.New(rand.NewPCG(1, 1)))
	s.run(4 * time.Second)
	before := s.requireOneLeader(t, false)
	s.partitioned[15] = true
	s.run(3 * time.Second)
	if s.leaders[15] != name(15) {
		t.Errorf("the partitioned daemon follows %q, want itself", s.leaders[15])
	}
	s.partitioned[15] = false
	s.run(time.Second)
	if after := s.requireOneLeader(t, false); after != before {
		t.Errorf("the leader changed from %s to %s", before, after)
	}
}

// TestRestartedDaemonDoesNotBecomeLeader restarts each daemon but the leader: a new
// incarnation that hasn't received the leader's heartbeats yet must not claim leadership.
func TestRestartedDaemonDoesNotBecomeLeader(t *testing.T) {
	s := newSimulation(9, 9, rand.New(rand.NewPCG(1, 1)))
	s.run(3 * time.Second)
	before := s.requireOneLeader(t, false)
	for i := range s.elections {
		if name(i) == before {
			continue
		}
		s.elections[i] = &Election{Host: name(i), ClaimDelay: claimDelay, EarliestClaim: s.now.Add(hubStartDelay)}
		s.reported[i] = Candidate{Host: name(i)}
		s.run(time.Second)
		if after := s.requireOneLeader(t, false); after != before {
			t.Fatalf("the leader changed from %s to %s when %s restarted", before, after, name(i))
		}
	}
}
