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

// load keeps a number of callers busy on random daemons until it is stopped.
type load struct {
	stop     chan struct{}
	work     sync.WaitGroup
	answered atomic.Int64
	failed   atomic.Int64
	mu       sync.Mutex
	kinds    map[string]int
	samples  []string
}

func newLoad(c *cluster, seed uint64, callers int, pipeline, tier string) *load {
	l := &load{stop: make(chan struct{}), kinds: map[string]int{}}
	for n := range callers {
		rng := random(seed + uint64(n))
		l.work.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				d := c.daemons[rng.IntN(len(c.daemons))]
				a := runAt(d.caller, "front-desk", pipeline, "", caller.RunBody{Tier: tier, Input: fmt.Sprintf("caller %d run %d", n, i)}, 25*time.Second)
				l.count(a)
			}
		})
	}
	return l
}

func (l *load) count(a answer) {
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
	l.kinds[name]++
	if len(l.samples) < 5 {
		l.samples = append(l.samples, fmt.Sprint(a.Err, " ", string(a.Raw)))
	}
	l.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
}

func (l *load) end() {
	close(l.stop)
	l.work.Wait()
	GinkgoWriter.Println("load: answered", l.answered.Load(), "failed", l.kinds, l.samples)
}

// coldFleet starts model targets that stay cold for long and bear little.
func coldFleet(c *cluster, centre string, count, limit int) []*operator.Target {
	var targets []*operator.Target
	for n := range count {
		targets = append(targets, c.addTarget(fmt.Sprintf("llm-%s-%d", centre, n), centre, standintarget.Profile{
			Kind: "llm", FirstMillis: 20, Tokens: 4, TokenMillis: 10, Batch: 8, ColdLimit: limit, WarmAfter: 100000, StartCold: true,
		}))
	}
	return targets
}

func overLimit(c *cluster) map[string]int {
	over := map[string]int{}
	for name := range c.targets {
		if n := c.journal(name).OverColdLimit; n > 0 {
			over[name] = n
		}
	}
	return over
}

func coldRuns(c *cluster) int {
	runs := 0
	for name := range c.targets {
		runs += len(c.journal(name).Executions)
	}
	return runs
}

var _ = Describe("promise 4: a cold target has no more work than it can bear", func() {
	proof("holds across daemons under kills, freezes, membership changes and outages", []uint64{1, 2}, func(seed uint64) {
		c := newCluster(3, centres[:2])
		targets := append(coldFleet(c, centres[0], 3, 2), coldFleet(c, centres[1], 2, 1)...)
		c.awaitVersion(c.apply(c.daemons[0], users(targets...)))
		l := newLoad(c, seed, 16, "stop-plan", "later")
		in := &injector{c: c, rng: random(seed), kinds: []string{
			"kill", "kill", "freeze", "cut", "silence", "platform down", "platform slow", "answers lost", "stale reads", "restart target", "planned stop", "host gone",
		}}
		in.run(12 * time.Second)
		before := coldRuns(c)
		Eventually(func() int { return coldRuns(c) }, 15*time.Second).Should(BeNumerically(">", before+20), "cold capacity isn't used again")
		l.end()
		Expect(overLimit(c)).To(BeEmpty())
		Expect(l.answered.Load()).To(BeNumerically(">", 50))
	})

	proof("never takes a restarted target for the warm one that it replaced", []uint64{1}, func(seed uint64) {
		c := newCluster(3, centres[:1])
		var targets []*operator.Target
		for n := range 2 {
			targets = append(targets, c.addTarget(fmt.Sprintf("llm-%d", n), centres[0], standintarget.Profile{
				Kind: "llm", FirstMillis: 20, Tokens: 4, TokenMillis: 10, Batch: 16, ColdLimit: 1, WarmAfter: 10,
			}))
		}
		c.awaitVersion(c.apply(c.daemons[0], users(targets...)))
		l := newLoad(c, seed, 16, "stop-plan", "later")
		Eventually(func() int { return coldRuns(c) }, 10*time.Second).Should(BeNumerically(">", 100))
		for n := range 4 {
			before := coldRuns(c)
			c.spoil(fmt.Sprintf("llm-%d", n%2), standintarget.Fault{Restart: true})
			Eventually(func() int { return coldRuns(c) }, 10*time.Second).Should(BeNumerically(">", before+150))
		}
		l.end()
		Expect(overLimit(c)).To(BeEmpty())
	})

	proof("bounds the excess after a silent turn to cold", []uint64{1}, func(seed uint64) {
		c := newCluster(3, centres[:1])
		target := c.addTarget("llm-0", centres[0], standintarget.Profile{
			Kind: "llm", FirstMillis: 20, Tokens: 4, TokenMillis: 10, Batch: 16, ColdLimit: 1, WarmAfter: 20,
		})
		target.MaxInFlight = 4
		c.awaitVersion(c.apply(c.daemons[0], users(target)))
		l := newLoad(c, seed, 12, "stop-plan", "later")
		Eventually(func() int { return coldRuns(c) }, 10*time.Second).Should(BeNumerically(">", 100))
		c.spoil("llm-0", standintarget.Fault{Cold: true})
		time.Sleep(3 * time.Second)
		l.end()
		excess := c.journal("llm-0").OverColdLimit
		GinkgoWriter.Println("excess after a silent turn:", excess)
		Expect(excess).To(BeNumerically("<=", 3*4), "more than the warm limit of each daemon")
	})
})
