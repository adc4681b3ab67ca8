package scheduler_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	standin "github.com/sequoiapick/sequoiapick/internal/standin/service"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// network connects the schedulers of several daemons in memory.
type network struct {
	mu         sync.Mutex
	schedulers map[string]*scheduler.Scheduler
	// incarnations holds the incarnations of the running daemons.
	incarnations map[string]string
	leader       string
	// drop holds the daemons that messages are lost to.
	drop map[string]bool
	// cancel holds the functions that stop the daemons.
	cancel map[string]context.CancelFunc
}

// node is the Mesh of one daemon.
type node struct {
	network *network
	host    string
}

func (n node) Send(host string, e *clusterpb.Envelope) bool {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if s := n.network.schedulers[host]; s != nil && !n.network.drop[host] {
		s.Receive(n.host, e)
	}
	return true
}

func (n node) Leader() string {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return n.network.leader
}

func (n node) Incarnation(host string) string {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return n.network.incarnations[host]
}

func (n node) Ended(host string) bool { return n.Incarnation(host) == "" }

func (n node) Standbys() []string {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	var hosts []string
	for host := range n.network.incarnations {
		if host != n.host {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (n *network) setDrop(host string, drop bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop[host] = drop
}

// elect makes a daemon the leader and notifies all daemons.
func (n *network) elect(leader string) {
	n.mu.Lock()
	n.leader = leader
	n.mu.Unlock()
	for _, s := range n.schedulers {
		s.LeaderChanged(leader)
	}
}

// crash stops a daemon without notice.
func (n *network) crash(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancel[host]()
	delete(n.incarnations, host)
	delete(n.schedulers, host)
}

// start runs the schedulers of the daemons a, b and c, of which a leads, with one stage target
// for each of two services and one engine.
func start(t *testing.T) (*network, []*standin.Server) {
	t.Helper()
	n := &network{schedulers: map[string]*scheduler.Scheduler{}, incarnations: map[string]string{}, drop: map[string]bool{}, cancel: map[string]context.CancelFunc{}, leader: "a"}
	var servers []*standin.Server
	var targets []dispatch.Target
	for _, name := range []string{"first", "second"} {
		server := &standin.Server{ID: name, Profile: standin.Profile{Kind: standin.Stage, Slots: 1, Work: 100 * time.Millisecond}}
		address, err := server.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		servers = append(servers, server)
		targets = append(targets, dispatch.Target{ID: name, Service: name, Address: address, DataCentre: "x"})
	}
	batch := &service.Batch{Slots: 1, MaxPieces: 4, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond, ResultLifetime: 4 * time.Second}
	services := map[string]service.Service{"first": {Batch: batch}, "second": {Batch: batch}, "engine": {Engine: &service.Engine{Slots: 4}}}
	engines := []placement.Engine{{ID: "e", Service: "engine", Address: "127.0.0.1:9", DataCentre: "x"}}
	for _, host := range []string{"a", "b", "c"} {
		s := &scheduler.Scheduler{Host: host, Mesh: node{n, host}, Pool: &exchange.Pool{Clock: clockwork.NewRealClock()}, Clock: clockwork.NewRealClock(), Loads: &targetload.Table{}, Limits: &targetlimit.Table{}, LimitNoticed: func(targetlimit.Notice) {}}
		s.Init()
		n.schedulers[host], n.incarnations[host] = s, host+"1"
		ctx, cancel := context.WithCancel(t.Context())
		n.cancel[host] = cancel
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			<-ended
		})
		s.SetInventory(services, targets, engines)
	}
	return n, servers
}

// job returns a job of two stages, of which the second needs the results of the first.
func job(id string) scheduler.Job {
	now := time.Now()
	return scheduler.Job{
		ID:           id,
		DataCentre:   "x",
		Key:          "key-" + id,
		SoftDeadline: now.Add(2 * time.Second),
		Deadline:     now.Add(6 * time.Second),
		Value:        1,
		Stages: []dispatch.Stage{
			{Service: "first", Pieces: 2, ResultBytes: 10},
			{Service: "second", After: []int{0}, Pieces: 1, ResultBytes: 10},
		},
		Generation: placement.Request{ID: id, Service: "engine", PromptTokens: 100},
	}
}

// assigned waits for the update of a ticket and returns its assignment.
func assigned(t *testing.T, ticket *scheduler.Ticket) scheduler.Assigned {
	t.Helper()
	select {
	case u := <-ticket.Updates:
		a, ok := u.(scheduler.Assigned)
		if !ok {
			t.Fatalf("not assigned: %+v", u)
		}
		return a
	case <-time.After(4 * time.Second):
		t.Fatal("no update")
		return scheduler.Assigned{}
	}
}

// requests returns the number of requests that a scheduler owns.
func requests(s *scheduler.Scheduler) int {
	_, count := s.State()
	return count
}

// eventually fails the test unless the condition holds within 2 s.
func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !reached(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// TestHandOverRepeatsNoPiece changes the leader while the first stage runs, and while the
// second one does.
func TestHandOverRepeatsNoPiece(t *testing.T) {
	for name, after := range map[string]time.Duration{"FirstStage": 50 * time.Millisecond, "SecondStage": 160 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			n, servers := start(t)
			ticket := n.schedulers["b"].Submit(job("j-" + name))
			time.Sleep(after)
			n.elect("c")
			eventually(t, "the new leader owns the request", func() bool { return requests(n.schedulers["c"]) == 1 })
			a := assigned(t, ticket)
			if len(a.Inputs) != 1 {
				t.Errorf("inputs: %v", a.Inputs)
			}
			if first, second := servers[0].ComputedResults(), servers[1].ComputedResults(); first != 2 || second != 1 {
				t.Errorf("results made: %d and %d, want 2 and 1", first, second)
			}
			ticket.Close()
			eventually(t, "the new leader has freed all results", func() bool { return servers[0].Held()+servers[1].Held() == 0 })
			if left := requests(n.schedulers["a"]); left != 0 {
				t.Errorf("the former leader still has %d requests", left)
			}
		})
	}
}

// TestDeliveredInputsAreFreedAfterLeaderCrash crashes the leader after the engine was assigned
// and before its answer starts.
func TestDeliveredInputsAreFreedAfterLeaderCrash(t *testing.T) {
	n, servers := start(t)
	ticket := n.schedulers["b"].Submit(job("j"))
	assigned(t, ticket)
	n.crash("a")
	n.elect("c")
	eventually(t, "the new leader knows the request", func() bool { return requests(n.schedulers["c"]) == 1 })
	ticket.AnswerStarted()
	eventually(t, "all results are freed", func() bool { return servers[0].Held()+servers[1].Held() == 0 })
	ticket.Close()
	eventually(t, "the request is removed", func() bool { return requests(n.schedulers["c"]) == 0 })
}

func TestRequestIsResubmittedToRestartedOwner(t *testing.T) {
	n, _ := start(t)
	n.setDrop("a", true)
	ticket := n.schedulers["b"].Submit(job("j"))
	n.mu.Lock()
	n.incarnations["a"] = "a2"
	n.mu.Unlock()
	n.setDrop("a", false)
	assigned(t, ticket)
}

// TestLostMessagesAreRecoveredWhenLinkReopens loses the messages of a link until the link is
// opened again.
func TestLostMessagesAreRecoveredWhenLinkReopens(t *testing.T) {
	t.Run("Submit", func(t *testing.T) {
		n, _ := start(t)
		n.setDrop("a", true)
		ticket := n.schedulers["b"].Submit(job("j"))
		time.Sleep(50 * time.Millisecond)
		n.setDrop("a", false)
		n.schedulers["b"].LinkOpened("a")
		assigned(t, ticket)
	})
	t.Run("Assigned", func(t *testing.T) {
		n, servers := start(t)
		n.setDrop("b", true)
		ticket := n.schedulers["b"].Submit(job("j"))
		eventually(t, "the stages are done", func() bool { return servers[1].ComputedResults() == 1 })
		time.Sleep(50 * time.Millisecond)
		n.setDrop("b", false)
		n.schedulers["b"].LinkOpened("a")
		assigned(t, ticket)
	})
	t.Run("Ended", func(t *testing.T) {
		n, servers := start(t)
		ticket := n.schedulers["b"].Submit(job("j"))
		assigned(t, ticket)
		n.setDrop("a", true)
		ticket.Close()
		time.Sleep(50 * time.Millisecond)
		n.setDrop("a", false)
		n.schedulers["b"].LinkOpened("a")
		eventually(t, "the request is removed", func() bool { return requests(n.schedulers["a"]) == 0 })
		eventually(t, "all results are freed", func() bool { return servers[0].Held()+servers[1].Held() == 0 })
	})
}

// TestRequestsOfCrashedOriginAreRemoved crashes the daemon that holds the client connection.
func TestRequestsOfCrashedOriginAreRemoved(t *testing.T) {
	n, servers := start(t)
	n.schedulers["b"].Submit(job("j"))
	eventually(t, "the first stage is done", func() bool { return servers[0].ComputedResults() == 2 })
	n.crash("b")
	eventually(t, "the request is removed", func() bool { return requests(n.schedulers["a"]) == 0 })
	eventually(t, "all results are freed", func() bool { return servers[0].Held()+servers[1].Held() == 0 })
}

// TestNextLeaderFreesUnclaimedResults crashes the leader and the daemon that holds the client
// connection.
func TestNextLeaderFreesUnclaimedResults(t *testing.T) {
	n, servers := start(t)
	n.schedulers["b"].Submit(job("j"))
	eventually(t, "the first stage is done", func() bool { return servers[0].ComputedResults() == 2 })
	time.Sleep(60 * time.Millisecond) // the next tick updates the standbys
	n.crash("a")
	n.crash("b")
	n.elect("c")
	eventually(t, "the results of the first stage are freed", func() bool { return servers[0].Held() == 0 })
}

// TestNextLeaderResumesFromClaimedResults crashes the leader only.
func TestNextLeaderResumesFromClaimedResults(t *testing.T) {
	n, servers := start(t)
	ticket := n.schedulers["b"].Submit(job("j"))
	eventually(t, "the first stage is done", func() bool { return servers[0].ComputedResults() == 2 })
	time.Sleep(60 * time.Millisecond)
	n.crash("a")
	n.elect("c")
	assigned(t, ticket)
	time.Sleep(400 * time.Millisecond) // longer than the time for claims
	if servers[0].ComputedResults() != 2 || servers[1].Held() == 0 {
		t.Errorf("made %d of the first stage, held %d of the second", servers[0].ComputedResults(), servers[1].Held())
	}
	ticket.Close()
	eventually(t, "all results are freed", func() bool { return servers[0].Held() == 0 })
}

// TestEngineOutcomesAreReportedToLeader has an engine fail for one request of daemon b and
// succeed for another.
func TestEngineOutcomesAreReportedToLeader(t *testing.T) {
	n, _ := start(t)
	var mu sync.Mutex
	var seen []string
	record := func(what string) func(string) {
		return func(target string) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, what+" "+target)
		}
	}
	n.schedulers["a"].EngineFailed, n.schedulers["a"].EngineSucceeded = record("failed"), record("succeeded")
	ticket := n.schedulers["b"].Submit(job("j"))
	a := assigned(t, ticket)
	ticket.Reassign(scheduler.EngineFailure{Target: a.Target, Faulty: true})
	ticket.Close()
	ticket = n.schedulers["b"].Submit(job("k"))
	assigned(t, ticket)
	ticket.AnswerCompleted()
	ticket.Close()
	eventually(t, "the leader received both outcomes", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Equal(seen, []string{"failed e", "succeeded e"})
	})
}

// TestSubmissionWithTooManyPiecesIsRejected submits requests whose numbers of pieces no planner can hold. The
// leader would end for lack of memory or in a panic, and so would each next one.
func TestSubmissionWithTooManyPiecesIsRejected(t *testing.T) {
	n, _ := start(t)
	for _, pieces := range []int{1 << 30, dispatch.MaxPieces + 1, -1} {
		j := job("j")
		j.Stages[0].Pieces = pieces
		ticket := n.schedulers["b"].Submit(j)
		select {
		case u := <-ticket.Updates:
			if _, rejected := u.(scheduler.Rejected); !rejected {
				t.Errorf("%d pieces: got %+v, want a rejection", pieces, u)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("%d pieces: no update", pieces)
		}
		ticket.Close()
	}
	ticket := n.schedulers["b"].Submit(job("k"))
	assigned(t, ticket)
	ticket.Close()
}
