package test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"encoding/json"
	. "github.com/onsi/ginkgo/v2"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// policyTiers are the tiers of the policy's workload with their share of the requests.
var policyTiers = []struct {
	name     string
	deadline time.Duration
	price    int64
	share    float64
}{
	{"now", 700 * time.Millisecond, 900, 0.4},
	{"soon", 2 * time.Second, 500, 0.3},
	{"later", 6 * time.Second, 200, 0.3},
}

// saturation is the rate that the fleet of the policy's workload bears, in requests a
// second: 3 cheap targets of 4 at once in 160 ms and 3 dear ones of 4 at once in 80 ms.
const saturation = 3*4/0.160 + 3*4/0.080

// policyCluster starts the fleet of the policy's workload, warm.
func policyCluster(policy string) *cluster {
	c := newCluster(1, centres, "-policy", policy, "-log-level", "8")
	var targets []*operator.Target
	for _, centre := range centres {
		cheap := c.addTarget("cheap-"+centre, centre, standintarget.Profile{Kind: "llm", FirstMillis: 60, Tokens: 20, TokenMillis: 5, Batch: 4, ReportLagMillis: 200, ColdLimit: 1, WarmAfter: 5})
		dear := c.addTarget("dear-"+centre, centre, standintarget.Profile{Kind: "llm", FirstMillis: 30, Tokens: 20, TokenMillis: 5 / 2, Batch: 4, ReportLagMillis: 200, ColdLimit: 1, WarmAfter: 5})
		cheap.CostMicros, dear.CostMicros = 100, 400
		cheap.MaxInFlight, dear.MaxInFlight = 2, 2
		targets = append(targets, cheap, dear, c.addTarget("retriever-"+centre, centre, standintarget.Profile{Kind: "retriever", FirstMillis: 3}))
	}
	request := users(targets...)
	request.Tiers = nil
	for _, t := range policyTiers {
		request.Tiers = append(request.Tiers, &operator.Tier{Name: t.name, DeadlineMillis: t.deadline.Milliseconds(), PriceMicros: t.price})
	}
	c.awaitVersion(c.apply(c.daemons[0], request))
	for i := range 60 {
		c.run(c.daemons[i%len(c.daemons)], "quote-draft", "", caller.RunBody{Tier: "later", Input: "warm"})
	}
	return c
}

// outcome is what became of the requests of one tier.
type outcome struct {
	sent, met, refused, failed int
	cost                       int64
	took                       []time.Duration
}

// openLoop sends requests at the rate with exponential gaps, whatever became of the
// earlier ones, and times them from when they were due.
func openLoop(c *cluster, seed uint64, rate float64, d time.Duration) map[string]*outcome {
	rng := random(seed)
	results := map[string]*outcome{}
	for _, t := range policyTiers {
		results[t.name] = &outcome{}
	}
	var mu sync.Mutex
	var work sync.WaitGroup
	due := time.Now()
	for end := due.Add(d); due.Before(end); due = due.Add(gap(rng, rate)) {
		time.Sleep(time.Until(due))
		tier := draw(rng)
		at := due
		daemon := c.daemons[rng.IntN(len(c.daemons))]
		work.Go(func() {
			a := runAt(daemon.caller, "front-desk", "quote-draft", "", caller.RunBody{Tier: policyTiers[tier].name, Input: "quote"}, 15*time.Second)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			results[policyTiers[tier].name].add(a, took, policyTiers[tier].deadline)
		})
	}
	work.Wait()
	return results
}

func gap(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(-math.Log(1-rng.Float64()) / rate * float64(time.Second))
}

func draw(rng *rand.Rand) int {
	x := rng.Float64()
	for i, t := range policyTiers {
		if x -= t.share; x < 0 {
			return i
		}
	}
	return len(policyTiers) - 1
}

func (o *outcome) add(a answer, took, deadline time.Duration) {
	o.sent++
	o.took = append(o.took, took)
	switch {
	case a.Err == nil && a.Status == 200 && took <= deadline:
		o.met++
		var body struct{ Stages []struct{ CostMicros int64 } }
		_ = json.Unmarshal(a.Raw, &body)
		for _, s := range body.Stages {
			o.cost += s.CostMicros
		}
	case a.Err == nil && a.Failure.NotRun.Proven():
		o.refused++
	default:
		o.failed++
	}
}

// row prints what became of a run, tier by tier.
func row(name, policy string, load float64, results map[string]*outcome) {
	var cells []string
	met, cost, seconds := 0, int64(0), 0.0
	for _, t := range policyTiers {
		o := results[t.name]
		met += o.met
		cost += o.cost
		seconds += float64(o.sent)
		sort.Slice(o.took, func(i, j int) bool { return o.took[i] < o.took[j] })
		p95 := o.took[len(o.took)*95/100].Milliseconds()
		cells = append(cells, fmt.Sprintf("%5.1f%% | %4.0f | %4.1f%% | %4.1f%% | %5d", share(o.met, o.sent), float64(o.cost)/float64(max(o.met, 1)), share(o.refused, o.sent), share(o.failed, o.sent), p95))
	}
	GinkgoWriter.Printf("policy | %s | %s | %.1f | %s | %.1f |\n", name, policy, load, strings.Join(cells, " | "), 100*float64(met)/seconds*load)
}

func share(n, of int) float64 {
	return 100 * float64(n) / float64(max(of, 1))
}

const policyTime = 8 * time.Second

var _ = Describe("policy", Label("policy"), func() {
	for _, policy := range []string{"Price", "RoundRobin", "LeastReported"} {
		It("sweeps the load under "+policy, func() {
			c := policyCluster(policy)
			for _, load := range []float64{0.3, 0.7, 1.0, 1.4, 2.0} {
				row("sweep", policy, load, openLoop(c, 1, load*saturation, policyTime))
				time.Sleep(time.Second)
			}
		})

		It("meets faults under "+policy, func() {
			c := policyCluster(policy)
			c.spoil("dear-ga-a", standintarget.Fault{SlowFactor: 8})
			row("straggler", policy, 0.6, openLoop(c, 2, 0.6*saturation, policyTime))
			c.spoil("dear-ga-a", standintarget.Fault{SlowFactor: 1})
			time.Sleep(2 * time.Second)

			c.spoil("dear-ga-b", standintarget.Fault{Restart: true})
			c.spoil("cheap-ga-c", standintarget.Fault{Restart: true})
			row("two cold", policy, 0.6, openLoop(c, 3, 0.6*saturation, policyTime))

			c.fault(downFault)
			row("store out", policy, 0.6, openLoop(c, 4, 0.6*saturation, policyTime))
			c.fault(healthy)
			time.Sleep(2 * time.Second)

			go func() {
				defer GinkgoRecover()
				time.Sleep(2 * time.Second)
				takeOut(c, c.daemons[1], "ga-b")
				time.Sleep(3 * time.Second)
				_ = bringIn(c, c.daemons[1], "ga-b")
			}()
			row("centre out and back", policy, 0.5, openLoop(c, 5, 0.5*saturation, policyTime))
		})
	}
})
