package test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
)

var _ = Describe("connections that go silent", func() {
	It("are found in bounded time and never used for a non-idempotent send", func() {
		c := newCluster(1, dataCentres[:1])
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(
			c.addTarget("llm", dataCentres[0], standintarget.Profile{Kind: "llm", FirstMillis: 5, Tokens: 4, TokenMillis: 2, Batch: 16}),
			c.addTarget("retriever", dataCentres[0], standintarget.Profile{Kind: "retriever", FirstMillis: 2}),
			c.addTarget("order", dataCentres[0], standintarget.Profile{Kind: "order", FirstMillis: 2}),
		)))
		d := c.daemons[0]
		for i := range 30 {
			a := c.run(d, "quote-draft", "", caller.RunBody{Tier: "now", Input: fmt.Sprint("before ", i)})
			Expect(a.Status).To(Equal(200), string(a.Raw))
		}
		a := c.run(d, "restock", "before", caller.RunBody{Tier: "now", Input: "key before"})
		Expect(a.Status).To(Equal(200), string(a.Raw))
		for _, t := range c.targets {
			t.relay.silence()
		}
		started := time.Now()
		keyed := c.run(d, "confirm", "silent", caller.RunBody{Tier: "now", Input: "key silent"})
		Expect(keyed.Status).To(Equal(200), string(keyed.Raw))
		GinkgoWriter.Println("non-idempotent over a new connection after", time.Since(started))
		started = time.Now()
		a = c.run(d, "quote-draft", "", caller.RunBody{Tier: "now", Input: "after"})
		GinkgoWriter.Println("idempotent after", time.Since(started))
		Expect(a.Status).To(Equal(200), string(a.Raw))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		for key, n := range executions(c) {
			Expect(n).To(Equal(1), key)
		}
	})
})
