package test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// policyTiers are the tiers of the policy specs with their prices in millionths of the currency
// unit and their shares of the requests.
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

// saturation is the reference rate of the policy specs in requests per second, about the highest
// that the targets of policyCluster can serve: 3 cheap targets run 4 requests at once in 160 ms
// each, and 3 expensive ones run 4 at once in 80 ms each. In fact those take 70 ms, because the
// 5/2 ms of their tokens are rounded down to 2 ms.
const saturation = 3*4/0.160 + 3*4/0.080

// policyCluster starts a cluster that routes by the policy. Each data centre has a cheap model
// target and an expensive one, named dear, that is about twice as fast. Some requests warm all
// targets up.
func policyCluster(policy string) *cluster {
	c := newCluster(1, dataCentres, "-policy", policy, "-log-level", "8") // 8 logs only errors
	var targets []*operator.Target
	for _, dataCentre := range dataCentres {
		cheap := c.addTarget("cheap-"+dataCentre, dataCentre, standintarget.Profile{Kind: "llm", FirstMillis: 60, Tokens: 20, TokenMillis: 5, Batch: 4, ReportLagMillis: 200, ColdLimit: 1, WarmAfter: 5})
		dear := c.addTarget("dear-"+dataCentre, dataCentre, standintarget.Profile{Kind: "llm", FirstMillis: 30, Tokens: 20, TokenMillis: 5 / 2, Batch: 4, ReportLagMillis: 200, ColdLimit: 1, WarmAfter: 5})
		cheap.CostMicros, dear.CostMicros = 100, 400
		cheap.MaxInFlight, dear.MaxInFlight = 2, 2
		targets = append(targets, cheap, dear, c.addTarget("retriever-"+dataCentre, dataCentre, standintarget.Profile{Kind: "retriever", FirstMillis: 3}))
	}
	request := testConfiguration(targets...)
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

// outcome sums up the requests of one tier: how many were sent, were answered by the deadline
// of the tier, were rejected and proven not to have run, and failed otherwise or were late.
type outcome struct {
	sent, met, rejected, failed int
	// cost is the cost of the requests that met the deadline, in millionths of the currency unit.
	cost      int64
	latencies []time.Duration
}

// openLoop sends requests for the duration with exponentially distributed gaps at the rate per
// second, without waiting for earlier ones, and returns the outcome of each tier. The latencies
// count from the time when a request was due, so that a late send isn't hidden.
func openLoop(c *cluster, seed uint64, rate float64, d time.Duration) map[string]*outcome {
	rng := random(seed)
	results := map[string]*outcome{}
	for _, t := range policyTiers {
		results[t.name] = &outcome{}
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	due := time.Now()
	for end := due.Add(d); due.Before(end); due = due.Add(arrivalGap(rng, rate)) {
		time.Sleep(time.Until(due))
		tier := drawTier(rng)
		dueAt := due
		daemon := c.daemons[rng.IntN(len(c.daemons))]
		group.Go(func() {
			a := runAt(daemon.callerAddress, "front-desk", "quote-draft", "", caller.RunBody{Tier: policyTiers[tier].name, Input: "quote"}, 15*time.Second)
			took := time.Since(dueAt)
			mu.Lock()
			defer mu.Unlock()
			results[policyTiers[tier].name].add(a, took, policyTiers[tier].deadline)
		})
	}
	group.Wait()
	return results
}

// arrivalGap draws the time between two requests at the rate per second.
func arrivalGap(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(-math.Log(1-rng.Float64()) / rate * float64(time.Second))
}

// drawTier draws the index of a tier by the shares.
func drawTier(rng *rand.Rand) int {
	x := rng.Float64()
	for i, t := range policyTiers {
		if x -= t.share; x < 0 {
			return i
		}
	}
	return len(policyTiers) - 1
}

// add adds the result of one request, which took a time from when it was due.
func (o *outcome) add(a answer, took, deadline time.Duration) {
	o.sent++
	o.latencies = append(o.latencies, took)
	switch {
	case a.Err == nil && a.Status == 200 && took <= deadline:
		o.met++
		var body struct{ Stages []struct{ CostMicros int64 } }
		_ = json.Unmarshal(a.Raw, &body)
		for _, s := range body.Stages {
			o.cost += s.CostMicros
		}
	case a.Err == nil && a.Failure.NotRun.Proven():
		o.rejected++
	default:
		o.failed++
	}
}

// printRow prints the results of a run as one table row. The load is the rate of the run as a
// multiple of the saturation. For each tier, the columns are the share of the requests that met
// the deadline, the mean cost of those in millionths of the currency unit, the shares that were
// rejected and that failed, and the 95th percentile of the latency in milliseconds. The last
// column is the rate of the requests that met the deadline, in percent of the saturation.
func printRow(name, policy string, load float64, results map[string]*outcome) {
	var cells []string
	met, cost, sent := 0, int64(0), 0.0
	for _, t := range policyTiers {
		o := results[t.name]
		met += o.met
		cost += o.cost
		sent += float64(o.sent)
		sort.Slice(o.latencies, func(i, j int) bool { return o.latencies[i] < o.latencies[j] })
		p95 := o.latencies[len(o.latencies)*95/100].Milliseconds()
		cells = append(cells, fmt.Sprintf("%5.1f%% | %4.0f | %4.1f%% | %4.1f%% | %5d", percent(o.met, o.sent), float64(o.cost)/float64(max(o.met, 1)), percent(o.rejected, o.sent), percent(o.failed, o.sent), p95))
	}
	GinkgoWriter.Printf("policy | %s | %s | %.1f | %s | %.1f |\n", name, policy, load, strings.Join(cells, " | "), 100*float64(met)/sent*load)
}

// percent returns n as a percentage of a total.
func percent(n, of int) float64 {
	return 100 * float64(n) / float64(max(of, 1))
}

// policyDuration is how long each run sends requests.
const policyDuration = 8 * time.Second

var _ = Describe("policy", Label("policy"), func() {
	for _, policy := range []string{"Price", "RoundRobin", "LeastReported"} {
		It("sweeps the load under "+policy, func() {
			c := policyCluster(policy)
			for _, load := range []float64{0.3, 0.7, 1.0, 1.4, 2.0} {
				printRow("sweep", policy, load, openLoop(c, 1, load*saturation, policyDuration))
				time.Sleep(time.Second)
			}
		})

		It("meets faults under "+policy, func() {
			c := policyCluster(policy)
			c.setTargetFault("dear-ga-a", standintarget.Fault{SlowFactor: 8})
			printRow("straggler", policy, 0.6, openLoop(c, 2, 0.6*saturation, policyDuration))
			c.setTargetFault("dear-ga-a", standintarget.Fault{SlowFactor: 1})
			time.Sleep(2 * time.Second)

			c.setTargetFault("dear-ga-b", standintarget.Fault{Restart: true})
			c.setTargetFault("cheap-ga-c", standintarget.Fault{Restart: true})
			printRow("two cold", policy, 0.6, openLoop(c, 3, 0.6*saturation, policyDuration))

			c.setPlatformFault(platformDown)
			printRow("store out", policy, 0.6, openLoop(c, 4, 0.6*saturation, policyDuration))
			c.setPlatformFault(noPlatformFault)
			time.Sleep(2 * time.Second)

			go func() {
				defer GinkgoRecover()
				time.Sleep(2 * time.Second)
				takeOut(c, c.daemons[1], "ga-b")
				time.Sleep(3 * time.Second)
				_ = bringIn(c, c.daemons[1], "ga-b")
			}()
			printRow("centre out and back", policy, 0.5, openLoop(c, 5, 0.5*saturation, policyDuration))
		})
	}
})
