package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// usage is what the daemons of a cluster have used so far, all together.
type usage struct {
	at        time.Time
	processor time.Duration
	memory    int64
	peer      int64
	platform  standinplatform.Count
}

// clockTick is the unit of the processor times in /proc.
const clockTick = 10 * time.Millisecond

func (c *cluster) usage() usage {
	u := usage{at: time.Now()}
	for _, d := range c.daemons {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.command.Process.Pid))
		Expect(err).NotTo(HaveOccurred())
		_, rest, _ := strings.Cut(string(stat), ") ")
		fields := strings.Fields(rest)
		for _, n := range []int{11, 12} {
			ticks, _ := strconv.ParseInt(fields[n], 10, 64)
			u.processor += time.Duration(ticks) * clockTick
		}
		pages, _ := strconv.ParseInt(fields[21], 10, 64)
		u.memory += pages * int64(os.Getpagesize())
		u.peer += d.relay.bytes.Load()
	}
	Expect(c.control(c.address, standinplatform.CountPath, nil, &u.platform)).To(Succeed())
	return u
}

// report prints what one daemon used on average between two readings.
func (c *cluster) report(name string, before, after usage) {
	n := float64(len(c.daemons))
	seconds := after.at.Sub(before.at).Seconds()
	GinkgoWriter.Printf("%s daemons %d: core %.3f%%, memory %.1f MB, peer %.0f B/s in and out, table reads %.2f/s and writes %.2f/s of all\n",
		name, len(c.daemons),
		100*(after.processor-before.processor).Seconds()/seconds/n,
		float64(after.memory)/n/1e6,
		2*float64(after.peer-before.peer)/seconds/n,
		float64(after.platform.Reads-before.platform.Reads)/seconds,
		float64(after.platform.Writes-before.platform.Writes)/seconds)
}

const measureTime = 10 * time.Second

var _ = Describe("capacity", Label("measure"), func() {
	for _, n := range []int{3, 9, 18, 36} {
		It(fmt.Sprintf("of %d daemons, idle and under changes", n), func() {
			c := newCluster(n, centres[:1], "-log-level", "8")
			c.awaitVersion(c.apply(c.daemons[0], users(smallFleet(c, centres[:1])...)))
			time.Sleep(3 * time.Second)
			before := c.usage()
			time.Sleep(measureTime)
			c.report("idle", before, c.usage())

			before = c.usage()
			slowest := time.Duration(0)
			const changes = 20
			for i := range changes {
				started := time.Now()
				version := c.apply(c.daemons[i%n], &operator.ApplyRequest{Tiers: []*operator.Tier{{Name: fmt.Sprint("t", i), DeadlineMillis: 1000}}})
				for _, d := range c.daemons {
					Eventually(func() uint64 { return c.version(d) }, 9*time.Second, 2*time.Millisecond).Should(BeNumerically(">=", version))
				}
				slowest = max(slowest, time.Since(started))
				time.Sleep(time.Until(started.Add(measureTime / changes)))
			}
			after := c.usage()
			c.report("2 changes a second", before, after)
			GinkgoWriter.Printf("changes daemons %d: slowest in force everywhere after %v, %.0f B a change and daemon\n",
				n, slowest, 2*float64(after.peer-before.peer)/float64(n)/changes)
		})
	}

	for _, tokens := range []int{1, 400} {
		It(fmt.Sprintf("of one daemon under load with %d tokens a request", tokens), func() {
			c := newCluster(1, centres[:1], "-log-level", "8")
			var targets []*operator.Target
			for i := range 4 {
				t := c.addTarget(fmt.Sprint("llm-", i), centres[0], standintarget.Profile{Kind: "llm", Tokens: tokens})
				t.MaxInFlight = 64
				targets = append(targets, t)
			}
			c.awaitVersion(c.apply(c.daemons[0], users(targets...)))
			for i := range 20 {
				c.run(c.daemons[0], "stop-plan", "", caller.RunBody{Tier: "later", Input: fmt.Sprint("warm ", i)})
			}
			before := c.usage()
			l := newLoad(c, 1, 8, "stop-plan", "later")
			time.Sleep(measureTime)
			after := c.usage()
			l.end()
			used := (after.processor - before.processor).Seconds()
			requests := float64(l.answered.Load())
			GinkgoWriter.Printf("load: tokens %d, requests %.0f/s, processor %.3f ms a request, %.2f us a token, memory %.1f MB\n",
				tokens, requests/measureTime.Seconds(), 1e3*used/requests, 1e6*used/requests/float64(tokens), float64(after.memory)/1e6)
		})
	}

	It("of the key mechanisms, against the same requests without a key", func() {
		c := newCluster(2, centres[:1], "-log-level", "8")
		c.awaitVersion(c.apply(c.daemons[0], users(
			c.addTarget("llm", centres[0], standintarget.Profile{Kind: "llm"}),
			c.addTarget("order", centres[0], standintarget.Profile{Kind: "order"}),
		)))
		for i := range 30 {
			c.run(c.daemons[0], "stop-plan", "", caller.RunBody{Tier: "later", Input: fmt.Sprint("warm ", i)})
			c.run(c.daemons[0], "confirm", fmt.Sprint("warm-", i), caller.RunBody{Tier: "later", Input: "warm"})
		}
		const each = 400
		for _, m := range []struct {
			name, pipeline string
			key            func(int) string
			at             *daemonProcess
		}{
			{"no key, idempotent", "stop-plan", func(int) string { return "" }, c.daemons[0]},
			{"ticket at its daemon", "confirm", func(int) string { return c.ticket(c.daemons[0]) }, c.daemons[0]},
			{"ticket at another daemon", "confirm", func(int) string { return c.ticket(c.daemons[0]) }, c.daemons[1]},
			{"claim", "confirm", func(i int) string { return fmt.Sprint("claim-", i) }, c.daemons[0]},
		} {
			keys := make([]string, each)
			for i := range keys {
				keys[i] = m.key(i)
			}
			before := c.usage()
			for i, key := range keys {
				a := c.run(m.at, m.pipeline, key, caller.RunBody{Tier: "later", Input: fmt.Sprint("run ", i)})
				Expect(a.Status).To(Equal(200), string(a.Raw))
			}
			after := c.usage()
			GinkgoWriter.Printf("keys daemons 2: %s: %.2f ms a request, processor %.2f ms, peer %.0f B, table %.2f commits, in turn\n", m.name,
				float64(after.at.Sub(before.at).Microseconds())/1e3/each, 1e3*(after.processor-before.processor).Seconds()/each,
				float64(after.peer-before.peer)/each, float64(after.platform.Commits-before.platform.Commits)/each)
		}
	})

	for _, how := range []string{"its process starts anew", "its host leaves the list"} {
		It("of cold targets after the guardian dies and "+how, func() {
			c := newCluster(3, centres[:1])
			c.awaitVersion(c.apply(c.daemons[0], users(coldFleet(c, centres[0], 1, 1)...)))
			l := newLoad(c, 1, 6, "stop-plan", "later")
			Eventually(func() int { return coldRuns(c) }, 10*time.Second).Should(BeNumerically(">", 10))
			victim := c.guardianOf("llm-ga-a-0")
			victim.kill()
			died := time.Now()
			if how == "its process starts anew" {
				time.Sleep(300 * time.Millisecond)
				victim.start()
			} else {
				time.Sleep(2 * time.Second)
				c.listHosts(victim.host)
			}
			var unused time.Duration
			Eventually(func() bool {
				for _, e := range c.journal("llm-ga-a-0").Executions {
					if e.At.After(died.Add(200 * time.Millisecond)) {
						unused = e.At.Sub(died)
						return true
					}
				}
				return false
			}, 30*time.Second, 50*time.Millisecond).Should(BeTrue())
			l.end()
			GinkgoWriter.Printf("recovery daemons 3: cold capacity unused for %v after the guardian died and %s (longest run 5 s)\n", unused, how)
		})
	}
})
