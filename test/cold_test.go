package test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// loadGenerator runs a number of callers until end is called. Each sends one request after
// the other to random daemons.
type loadGenerator struct {
	stop     chan struct{}
	group    sync.WaitGroup
	answered atomic.Int64
	failed   atomic.Int64
	mu       sync.Mutex
	// failures counts the failed requests by kind of failure.
	failures map[string]int
	// samples are the first few failures.
	samples []string
}

// startLoad starts a number of concurrent callers that send requests of the pipeline with the
// tier. The seed decides to which daemons they send.
func startLoad(c *cluster, seed uint64, callers int, pipeline, tier string) *loadGenerator {
	l := &loadGenerator{stop: make(chan struct{}), failures: map[string]int{}}
	for n := range callers {
		rng := random(seed + uint64(n))
		l.group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				d := c.daemons[rng.IntN(len(c.daemons))]
				a := runAt(d.callerAddress, "front-desk", pipeline, "", caller.RunBody{Tier: tier, Input: fmt.Sprintf("caller %d run %d", n, i)}, 25*time.Second)
				l.count(a)
			}
		})
	}
	return l
}

// count records the result of a request. It waits briefly after a failure, so that failures
// that come at once don't make the caller send without pause.
func (l *loadGenerator) count(a answer) {
	if a.Err == nil && a.Status == 200 {
		l.answered.Add(1)
		return
	}
	l.failed.Add(1)
	name := string(a.Failure.Kind)
	if a.Err != nil {
		name = "no reply"
	}
	l.mu.Lock()
	l.failures[name]++
	if len(l.samples) < 5 {
		l.samples = append(l.samples, fmt.Sprint(a.Err, " ", string(a.Raw)))
	}
	l.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
}

// end stops the load, waits for the open requests and prints the counts.
func (l *loadGenerator) end() {
	close(l.stop)
	l.group.Wait()
	GinkgoWriter.Println("load: answered", l.answered.Load(), "failed", l.failures, l.samples)
}

// addColdTargets starts cold model targets with the cold limit. They stay cold for the whole
// spec, because they need 100000 answers to warm up.
func addColdTargets(c *cluster, dataCentre string, count, limit int) []*operator.Target {
	var targets []*operator.Target
	for n := range count {
		targets = append(targets, c.addTarget(fmt.Sprintf("llm-%s-%d", dataCentre, n), dataCentre, standintarget.Profile{
			Kind: "llm", FirstMillis: 20, Tokens: 4, TokenMillis: 10, Batch: 8, ColdLimit: limit, WarmAfter: 100000, StartCold: true,
		}))
	}
	return targets
}

// coldLimitExcess returns, for each target with any, the number of arrivals beyond its cold
// limit.
func coldLimitExcess(c *cluster) map[string]int {
	excess := map[string]int{}
	for name := range c.targets {
		if n := c.journal(name).OverColdLimit; n > 0 {
			excess[name] = n
		}
	}
	return excess
}

// executionCount returns the number of stage executions of all targets.
func executionCount(c *cluster) int {
	runs := 0
	for name := range c.targets {
		runs += len(c.journal(name).Executions)
	}
	return runs
}

var _ = Describe("promise 4: a cold target has no more work than it can bear", func() {
	specPerSeed("holds across daemons under kills, freezes, membership changes and outages", []uint64{1, 2}, func(seed uint64) {
		c := newCluster(3, dataCentres[:2])
		targets := append(addColdTargets(c, dataCentres[0], 3, 2), addColdTargets(c, dataCentres[1], 2, 1)...)
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(targets...)))
		l := startLoad(c, seed, 16, "stop-plan", "later")
		injector := &faultInjector{cluster: c, rng: random(seed), kinds: []string{
			"kill", "kill", "freeze", "cut", "silence", "platform down", "platform slow", "answers lost", "stale reads", "restart target", "planned stop", "host gone",
		}}
		injector.run(12 * time.Second)
		before := executionCount(c)
		Eventually(func() int { return executionCount(c) }, 15*time.Second).Should(BeNumerically(">", before+20), "cold capacity isn't used again after the faults")
		l.end()
		Expect(coldLimitExcess(c)).To(BeEmpty())
		Expect(l.answered.Load()).To(BeNumerically(">", 50))
	})

	specPerSeed("never takes a restarted target for the warm one that it replaced", []uint64{1}, func(seed uint64) {
		c := newCluster(3, dataCentres[:1])
		var targets []*operator.Target
		for n := range 2 {
			targets = append(targets, c.addTarget(fmt.Sprintf("llm-%d", n), dataCentres[0], standintarget.Profile{
				Kind: "llm", FirstMillis: 20, Tokens: 4, TokenMillis: 10, Batch: 16, ColdLimit: 1, WarmAfter: 10,
			}))
		}
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(targets...)))
		l := startLoad(c, seed, 16, "stop-plan", "later")
		Eventually(func() int { return executionCount(c) }, 10*time.Second).Should(BeNumerically(">", 100))
		for n := range 4 {
			before := executionCount(c)
			c.setTargetFault(fmt.Sprintf("llm-%d", n%2), standintarget.Fault{Restart: true})
			Eventually(func() int { return executionCount(c) }, 10*time.Second).Should(BeNumerically(">", before+150))
		}
		l.end()
		Expect(coldLimitExcess(c)).To(BeEmpty())
	})

	specPerSeed("bounds the excess when a target turns cold without a new incarnation", []uint64{1}, func(seed uint64) {
		c := newCluster(3, dataCentres[:1])
		target := c.addTarget("llm-0", dataCentres[0], standintarget.Profile{
			Kind: "llm", FirstMillis: 20, Tokens: 4, TokenMillis: 10, Batch: 16, ColdLimit: 1, WarmAfter: 20,
		})
		target.MaxInFlight = 4
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(target)))
		l := startLoad(c, seed, 12, "stop-plan", "later")
		Eventually(func() int { return executionCount(c) }, 10*time.Second).Should(BeNumerically(">", 100))
		c.setTargetFault("llm-0", standintarget.Fault{Cold: true})
		time.Sleep(3 * time.Second)
		l.end()
		excess := c.journal("llm-0").OverColdLimit
		GinkgoWriter.Println("excess over the cold limit:", excess)
		Expect(excess).To(BeNumerically("<=", 3*4), "more than the warm limit of each daemon")
	})

	It("sends nothing to a target that has turned cold while requests of its warm time still run", func() {
		const running = 3
		c := newCluster(2, dataCentres[:1], "--report-interval=200ms")
		target := c.addTarget("llm-0", dataCentres[0], standintarget.Profile{
			Kind: "llm", FirstMillis: 20, Tokens: 4, TokenMillis: 300, Batch: 16, ColdLimit: 1, WarmAfter: 100,
		})
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(target)))
		var guardian *daemonProcess
		Eventually(func() *daemonProcess { guardian = c.guardianOf("llm-0"); return guardian }, 10*time.Second).ShouldNot(BeNil())
		for _, d := range c.daemons {
			Eventually(c.isWarm, 10*time.Second).WithArguments(d, "llm-0").Should(BeTrue())
		}
		other := c.daemons[0]
		if other == guardian {
			other = c.daemons[1]
		}
		var group sync.WaitGroup
		defer group.Wait()
		send := func(d *daemonProcess) {
			group.Go(func() {
				defer GinkgoRecover()
				Expect(runAt(d.callerAddress, "front-desk", "stop-plan", "", caller.RunBody{Tier: "later", Input: "a"}, 25*time.Second).Status).To(Equal(200))
			})
		}
		for range running {
			send(other)
		}
		Eventually(func() int { return executionCount(c) }, 10*time.Second).Should(Equal(running))
		c.setTargetFault("llm-0", standintarget.Fault{Cold: true})
		Eventually(c.isWarm, 3*time.Second).WithArguments(guardian, "llm-0").Should(BeFalse())
		send(guardian)
		Eventually(func() int { return executionCount(c) }, 15*time.Second).Should(Equal(running + 1))
		group.Wait()
		Expect(coldLimitExcess(c)).To(BeEmpty())
	})
})
