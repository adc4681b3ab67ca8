package test

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/caller"
)

// submissionResult is what a caller received for one submission under a key. If it is neither
// answered nor notRun, the caller doesn't know whether the request has run.
type submissionResult struct {
	answered bool
	// notRun is true if the failure proves that the request didn't run.
	notRun bool
	text   string
}

// keyModel models a key as a register that is set at most once. Its state is "" if the
// request hasn't run, the text of its answer if it has run, and "?" if it has run and the
// answer is unknown. A submission without an answer and without "not run" may take effect at
// any later time.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(string)
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		recorded := state.(string)
		out := output.(submissionResult)
		switch {
		case out.answered && (recorded == "" || recorded == "?" || recorded == out.text):
			return []any{out.text}
		case out.answered:
			return nil
		case out.notRun && recorded == "":
			return []any{""}
		case out.notRun:
			return nil
		case recorded == "":
			return []any{"", "?"}
		default:
			return []any{recorded}
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %+v", input, output) },
}

// recorder collects the operations of concurrent callers.
type recorder struct {
	mu sync.Mutex
	// start is the time from which the times in history are counted, in nanoseconds.
	start   time.Time
	history []porcupine.Operation
	// counts counts the submissions by their result.
	counts map[string]int
	notRun []notRunReply
}

// notRunReply is one failure that proves that the request didn't run.
type notRunReply struct {
	// request is the ID of the request.
	request string
	key     string
	// called is the time when the request was sent.
	called time.Time
}

// submit submits a request under a key and records the operation. The length of the key decides
// the pipeline, so that all submissions under a key are the same request. The client only names
// the caller in the history.
func (r *recorder) submit(client int, d *daemonProcess, key string) {
	calledAt := time.Now()
	called := time.Since(r.start).Nanoseconds()
	pipeline := "restock"
	if len(key)%2 == 0 {
		pipeline = "confirm"
	}
	a := runAt(d.callerAddress, "front-desk", pipeline, key, caller.RunBody{Tier: "now", Input: "key " + key}, 6*time.Second)
	returned := time.Since(r.start).Nanoseconds()
	out := submissionResult{answered: a.Err == nil && a.Status == 200, text: a.Text, notRun: a.Err == nil && a.Failure.NotRun.Proven()}
	name := "answered"
	switch {
	case a.Err != nil:
		name = "no reply"
	case a.Status != 200 && out.notRun:
		name = "not run, " + string(a.Failure.Kind)
	case a.Status != 200:
		name = string(a.Failure.Kind)
	}
	if !out.answered && !out.notRun {
		returned = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
	if out.notRun {
		r.notRun = append(r.notRun, notRunReply{request: a.Failure.RequestID, key: key, called: calledAt})
	}
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: key, Output: out, Call: called, Return: returned})
}

// executions counts how often the non-idempotent stage ran under each key, by the
// journals of the targets.
func executions(c *cluster) map[string]int {
	ran := map[string]int{}
	for name, t := range c.targets {
		if t.profile.Kind != "order" {
			continue
		}
		for _, e := range c.journal(name).Executions {
			_, rest, _ := strings.Cut(e.Input, "key ")
			key, _, _ := strings.Cut(rest, "]")
			ran[key]++
		}
	}
	return ran
}

// contradictions lists the executions of requests that were reported as not run, and those
// of the same key before the submission that was reported as not run.
func contradictions(c *cluster, notRun []notRunReply) []string {
	var found []string
	for name := range c.targets {
		for _, e := range c.journal(name).Executions {
			for _, r := range notRun {
				_, rest, _ := strings.Cut(e.Input, "key ")
				key, _, _ := strings.Cut(rest, "]")
				if e.Request == r.request || key == r.key && e.At.Before(r.called) {
					found = append(found, fmt.Sprintf("%s ran %s for key %s, which was reported as not run", name, e.Attempt, r.key))
				}
			}
		}
	}
	return found
}

var _ = Describe("promises 1 and 2: at most once, and a true \"not run\"", func() {
	specPerSeed("holds under kills, freezes, cuts and platform outages", []uint64{1, 2}, func(seed uint64) {
		c := newCluster(2, dataCentres)
		targets := addTargetsOfEachKind(c, dataCentres)
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(targets...)))
		rng := random(seed)
		injector := &faultInjector{cluster: c, rng: random(seed + 1000), kinds: []string{
			"kill", "freeze", "cut", "silence", "platform down", "platform cut", "platform slow", "answers lost", "stale reads",
			"orders leaving", "orders cut short", "orders silent",
		}}
		r := &recorder{start: time.Now(), counts: map[string]int{}}
		keys := []string{"k0"}
		for _, d := range c.daemons {
			keys = append(keys, c.ticket(d), c.ticket(d), c.ticket(d))
		}
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			injector.run(8 * time.Second)
		}()
		var group sync.WaitGroup
		for stopped := false; !stopped; {
			select {
			case <-ended:
				stopped = true
			default:
			}
			if rng.IntN(3) == 0 {
				keys = append(keys, fmt.Sprintf("k%d", len(keys)))
			}
			key := keys[rng.IntN(len(keys))]
			for client := range 2 {
				d := c.daemons[rng.IntN(len(c.daemons))]
				group.Go(func() { r.submit(client, d, key) })
			}
			time.Sleep(25 * time.Millisecond)
		}
		group.Wait()
		time.Sleep(2 * time.Second)
		for i, key := range keys {
			r.submit(9, c.daemons[i%len(c.daemons)], key)
		}
		GinkgoWriter.Println("submissions:", r.counts)
		for key, n := range executions(c) {
			Expect(n).To(BeNumerically("<=", 1), "key %s ran %d times", key, n)
		}
		Expect(contradictions(c, r.notRun)).To(BeEmpty())
		model := keyModel.ToModel()
		Expect(porcupine.CheckOperations(model, r.history)).To(BeTrue(), "the history isn't linearizable")
		Expect(r.counts["answered"]).To(BeNumerically(">", 100))
	})

	It("keeps confirming with tickets while the platform is down", func() {
		c := newCluster(2, dataCentres[:1])
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, dataCentres[:1])...)))
		d := c.daemons[0]
		warm := c.run(d, "restock", "warm", caller.RunBody{Tier: "now", Input: "key warm"})
		Expect(warm.Status).To(Equal(200), string(warm.Raw))
		tickets := []string{c.ticket(d), c.ticket(d)}
		c.setPlatformFault(platformDown)
		for _, ticket := range tickets {
			viaOtherDaemon := c.run(c.daemons[1], "restock", ticket, caller.RunBody{Tier: "now", Input: "key " + ticket})
			Expect(viaOtherDaemon.Status).To(Equal(200), string(viaOtherDaemon.Raw))
			again := c.run(d, "restock", ticket, caller.RunBody{Tier: "now", Input: "key " + ticket})
			Expect(again.Text).To(Equal(viaOtherDaemon.Text))
		}
		claimed := c.run(d, "restock", "fresh", caller.RunBody{Tier: "now", Input: "key fresh"})
		Expect(string(claimed.Failure.Kind)).To(Equal("KeyUnverified"))
		Expect(claimed.Failure.NotRun.Proven()).To(BeFalse())
		c.setPlatformFault(noPlatformFault)
		Eventually(func() int {
			return c.run(c.daemons[1], "restock", "fresh", caller.RunBody{Tier: "now", Input: "key fresh"}).Status
		}, 5*time.Second).Should(Equal(200))
		reused := c.run(d, "restock", "fresh", caller.RunBody{Tier: "now", Input: "something else"})
		Expect(string(reused.Failure.Kind)).To(Equal("KeyReused"))
		for key, n := range executions(c) {
			Expect(n).To(Equal(1), key)
		}
	})

	It("runs a key once whether it is used for a synchronous or an asynchronous request", func() {
		c := newCluster(2, dataCentres[:1])
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, dataCentres[:1])...)))
		input := "key both"
		draft := c.run(c.daemons[0], "restock", "both", caller.RunBody{Tier: "later", Input: input, Async: true})
		Expect(draft.Status).To(Equal(202), string(draft.Raw))
		again := c.run(c.daemons[1], "restock", "both", caller.RunBody{Tier: "later", Input: input, Async: true})
		Expect(again.RequestID).To(Equal(draft.RequestID))
		Eventually(func() string {
			_, body := c.get(c.daemons[1], "front-desk", "/v1/requests/"+draft.RequestID)
			return body
		}, 10*time.Second).Should(ContainSubstring(`"State":"Answered"`))
		sync := c.run(c.daemons[1], "restock", "both", caller.RunBody{Tier: "later", Input: input})
		Expect(string(sync.Failure.Kind)).To(Equal("KeyReused"))
		Expect(sync.Failure.NotRun.Proven()).To(BeFalse())

		first := c.run(c.daemons[0], "restock", "first", caller.RunBody{Tier: "later", Input: "key first"})
		Expect(first.Status).To(Equal(200), string(first.Raw))
		then := c.run(c.daemons[1], "restock", "first", caller.RunBody{Tier: "later", Input: "key first", Async: true})
		Expect(string(then.Failure.Kind)).To(Equal("KeyReused"))
		Expect(executions(c)).To(Equal(map[string]int{"both": 1, "first": 1}))
	})
})
