package test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
)

var _ = Describe("recovery", func() {
	It("serves short deadlines again soon after every target was slow", func() {
		c := newCluster(1, dataCentres[:1])
		target := c.addTarget("llm", dataCentres[0], standintarget.Profile{Kind: "llm", FirstMillis: 20, Tokens: 4, TokenMillis: 10, Batch: 16})
		target.MaxRunMillis = 15000
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(target)))
		plan := func(i int) answer {
			return c.run(c.daemons[0], "stop-plan", "", caller.RunBody{Tier: "now", Input: fmt.Sprint("run ", i)})
		}
		for i := range 30 {
			Expect(plan(i).Status).To(Equal(200))
		}
		c.setTargetFault("llm", standintarget.Fault{SlowFactor: 80})
		load := startLoad(c, 1, 12, "stop-plan", "later")
		time.Sleep(10 * time.Second)
		load.end()
		c.setTargetFault("llm", standintarget.Fault{SlowFactor: 1})
		healedAt := time.Now()
		Eventually(func() int { return plan(0).Status }, 20*time.Second, 50*time.Millisecond).Should(Equal(200))
		GinkgoWriter.Println("served again after", time.Since(healedAt))
		Expect(time.Since(healedAt)).To(BeNumerically("<", 5*time.Second))
	})
})
