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

// usage is one reading of the resources that all daemons of a cluster use together. Times,
// bytes and calls are totals since the start; the memory is the current resident size.
type usage struct {
	at            time.Time
	processorTime time.Duration
	memoryBytes   int64
	// peerBytes counts the bytes through the relays of the peer addresses. One daemon sends and
	// another receives each of them, so that the traffic in and out is twice this number.
	peerBytes     int64
	platformCalls standinplatform.Count
}

// clockTick is the unit of the processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// usage reads what the daemons have used so far. The indexes count the fields of /proc/PID/stat
// after the name of the program: 11 and 12 are the user time and the system time in ticks, 21
// is the number of resident pages.
func (c *cluster) usage() usage {
	u := usage{at: time.Now()}
	for _, d := range c.daemons {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.command.Process.Pid))
		Expect(err).NotTo(HaveOccurred())
		_, rest, _ := strings.Cut(string(stat), ") ")
		fields := strings.Fields(rest)
		for _, n := range []int{11, 12} {
			ticks, _ := strconv.ParseInt(fields[n], 10, 64)
			u.processorTime += time.Duration(ticks) * clockTick
		}
		pages, _ := strconv.ParseInt(fields[21], 10, 64)
		u.memoryBytes += pages * int64(os.Getpagesize())
		u.peerBytes += d.relay.bytes.Load()
	}
	Expect(c.callStandIn(c.platformAddress, standinplatform.CountPath, nil, &u.platformCalls)).To(Succeed())
	return u
}

// report prints the average use per daemon between two readings, and the rate of the reads and
// writes of all daemons in the platform's table.
func (c *cluster) report(name string, before, after usage) {
	n := float64(len(c.daemons))
	seconds := after.at.Sub(before.at).Seconds()
	GinkgoWriter.Printf("%s daemons %d: core %.3f%%, memory %.1f MB, peer %.0f B/s in and out, table reads %.2f/s and writes %.2f/s of all\n",
		name, len(c.daemons),
		100*(after.processorTime-before.processorTime).Seconds()/seconds/n,
		float64(after.memoryBytes)/n/1e6,
		2*float64(after.peerBytes-before.peerBytes)/seconds/n,
		float64(after.platformCalls.Reads-before.platformCalls.Reads)/seconds,
		float64(after.platformCalls.Writes-before.platformCalls.Writes)/seconds)
}

// measureDuration is the time between two readings.
const measureDuration = 10 * time.Second

// The daemons of these specs log only errors, which is level 8.
var _ = Describe("capacity", Label("measure"), func() {
	for _, n := range []int{3, 9, 18, 36} {
		It(fmt.Sprintf("of %d daemons, idle and under changes", n), func() {
			c := newCluster(n, dataCentres[:1], "-log-level", "8")
			c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, dataCentres[:1])...)))
			time.Sleep(3 * time.Second)
			before := c.usage()
			time.Sleep(measureDuration)
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
				time.Sleep(time.Until(started.Add(measureDuration / changes)))
			}
			after := c.usage()
			c.report("2 changes a second", before, after)
			GinkgoWriter.Printf("changes daemons %d: slowest in force everywhere after %v, %.0f B a change and daemon\n",
				n, slowest, 2*float64(after.peerBytes-before.peerBytes)/float64(n)/changes)
		})
	}

	for _, tokens := range []int{1, 400} {
		It(fmt.Sprintf("of one daemon under load with %d tokens a request", tokens), func() {
			c := newCluster(1, dataCentres[:1], "-log-level", "8")
			var targets []*operator.Target
			for i := range 4 {
				t := c.addTarget(fmt.Sprint("llm-", i), dataCentres[0], standintarget.Profile{Kind: "llm", Tokens: tokens})
				t.MaxInFlight = 64
				targets = append(targets, t)
			}
			c.awaitVersion(c.apply(c.daemons[0], testConfiguration(targets...)))
			for i := range 20 {
				c.run(c.daemons[0], "stop-plan", "", caller.RunBody{Tier: "later", Input: fmt.Sprint("warm ", i)})
			}
			before := c.usage()
			l := startLoad(c, 1, 8, "stop-plan", "later")
			time.Sleep(measureDuration)
			after := c.usage()
			l.end()
			processorSeconds := (after.processorTime - before.processorTime).Seconds()
			requests := float64(l.answered.Load())
			GinkgoWriter.Printf("load: tokens %d, requests %.0f/s, processor %.3f ms a request, %.2f us a token, memory %.1f MB\n",
				tokens, requests/measureDuration.Seconds(), 1e3*processorSeconds/requests, 1e6*processorSeconds/requests/float64(tokens), float64(after.memoryBytes)/1e6)
		})
	}

	It("of the key mechanisms, against the same requests without a key", func() {
		c := newCluster(2, dataCentres[:1], "-log-level", "8")
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(
			c.addTarget("llm", dataCentres[0], standintarget.Profile{Kind: "llm"}),
			c.addTarget("order", dataCentres[0], standintarget.Profile{Kind: "order"}),
		)))
		for i := range 30 {
			c.run(c.daemons[0], "stop-plan", "", caller.RunBody{Tier: "later", Input: fmt.Sprint("warm ", i)})
			c.run(c.daemons[0], "confirm", fmt.Sprint("warm-", i), caller.RunBody{Tier: "later", Input: "warm"})
		}
		const requestsPerCase = 400
		for _, m := range []struct {
			name, pipeline string
			key            func(int) string
			daemon         *daemonProcess
		}{
			{"no key, idempotent", "stop-plan", func(int) string { return "" }, c.daemons[0]},
			{"ticket at its daemon", "confirm", func(int) string { return c.ticket(c.daemons[0]) }, c.daemons[0]},
			{"ticket at another daemon", "confirm", func(int) string { return c.ticket(c.daemons[0]) }, c.daemons[1]},
			{"claim", "confirm", func(i int) string { return fmt.Sprint("claim-", i) }, c.daemons[0]},
		} {
			keys := make([]string, requestsPerCase)
			for i := range keys {
				keys[i] = m.key(i)
			}
			before := c.usage()
			for i, key := range keys {
				a := c.run(m.daemon, m.pipeline, key, caller.RunBody{Tier: "later", Input: fmt.Sprint("run ", i)})
				Expect(a.Status).To(Equal(200), string(a.Raw))
			}
			after := c.usage()
			GinkgoWriter.Printf("keys daemons 2: %s: %.2f ms a request, processor %.2f ms, peer %.0f B, table %.2f commits, in turn\n", m.name,
				float64(after.at.Sub(before.at).Microseconds())/1e3/requestsPerCase, 1e3*(after.processorTime-before.processorTime).Seconds()/requestsPerCase,
				float64(after.peerBytes-before.peerBytes)/requestsPerCase, float64(after.platformCalls.Commits-before.platformCalls.Commits)/requestsPerCase)
		}
	})

	for _, departure := range []string{"its process starts anew", "its host leaves the list"} {
		It("of cold targets after the guardian dies and "+departure, func() {
			c := newCluster(3, dataCentres[:1])
			c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addColdTargets(c, dataCentres[0], 1, 1)...)))
			l := startLoad(c, 1, 6, "stop-plan", "later")
			Eventually(func() int { return executionCount(c) }, 10*time.Second).Should(BeNumerically(">", 10))
			guardian := c.guardianOf("llm-ga-a-0")
			guardian.kill()
			diedAt := time.Now()
			if departure == "its process starts anew" {
				time.Sleep(300 * time.Millisecond)
				guardian.start()
			} else {
				time.Sleep(2 * time.Second)
				c.listHosts(guardian.host)
			}
			var unused time.Duration
			Eventually(func() bool {
				for _, e := range c.journal("llm-ga-a-0").Executions {
					if e.At.After(diedAt.Add(200 * time.Millisecond)) {
						unused = e.At.Sub(diedAt)
						return true
					}
				}
				return false
			}, 30*time.Second, 50*time.Millisecond).Should(BeTrue())
			l.end()
			GinkgoWriter.Printf("recovery daemons 3: cold capacity unused for %v after the guardian died and %s (longest run 5 s)\n", unused, departure)
		})
	}
})
