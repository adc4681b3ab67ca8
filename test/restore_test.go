package test

import (
	"context"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// savePlatform makes a copy of the platform's state, restorePlatform restores it.
func (c *cluster) savePlatform() {
	Expect(c.callStandIn(c.platformAddress, standinplatform.SavePath, nil, nil)).To(Succeed())
}

func (c *cluster) restorePlatform() {
	Expect(c.callStandIn(c.platformAddress, standinplatform.RestorePath, nil, nil)).To(Succeed())
}

// epoch returns the epoch of the membership that a daemon uses, 0 if it doesn't answer.
func (c *cluster) epoch(d *daemonProcess) uint64 {
	var epoch uint64
	_ = c.operate(d, func(ctx context.Context, client operator.OperatorClient) error {
		reply, err := client.Status(ctx, &operator.StatusRequest{})
		if err == nil {
			epoch = reply.GetDaemons()[0].GetEpoch()
		}
		return err
	})
	return epoch
}

// submitKey sends a request that must run at most once, under a key.
func (c *cluster) submitKey(d *daemonProcess, key string) answer {
	return c.run(d, "restock", key, caller.RunBody{Tier: "now", Input: "key " + key})
}

// awaitAnswer waits until every daemon reports that an asynchronous request has its answer.
func (c *cluster) awaitAnswer(request string) {
	for _, d := range c.daemons {
		Eventually(func() string {
			_, body := c.get(d, "front-desk", "/v1/requests/"+request)
			return body
		}, 20*time.Second, 50*time.Millisecond).Should(ContainSubstring(`"State":"Answered"`), d.host)
	}
}

// addTier adds a tier to the configuration and returns its version.
func (c *cluster) addTier(d *daemonProcess, name string) uint64 {
	return c.apply(d, &operator.ApplyRequest{Tiers: []*operator.Tier{{Name: name, DeadlineMillis: 1000}}})
}

var _ = Describe("a restore of the platform's table from an older copy", func() {
	It("loses no confirmed change, and daemons that start before and after it agree on the members", func() {
		c := newCluster(2, []string{"ga-a"})
		c.awaitVersion(c.addTier(c.daemons[0], "first"))
		c.savePlatform()
		restarted := c.daemons[1]
		restarted.kill()
		restarted.start()
		c.awaitReady(restarted)
		lost := c.addTier(c.daemons[0], "lost")
		c.awaitVersion(lost)
		epoch := c.epoch(restarted)
		Eventually(func() uint64 { return c.epoch(c.daemons[0]) }, 9*time.Second, 20*time.Millisecond).Should(BeNumerically(">=", epoch))
		c.restorePlatform()
		late := c.addDaemon("ga-a-entry-9", "ga-a", "127.1.1.9")
		c.listHosts()
		late.start()
		c.awaitReady(late)
		c.awaitVersion(lost)
		next := c.addTier(late, "next")
		Expect(next).To(BeNumerically(">", lost))
		c.awaitVersion(next)
		Eventually(func() bool {
			agreed := c.epoch(late)
			for _, d := range c.daemons {
				if c.epoch(d) != agreed {
					return false
				}
			}
			return agreed > epoch
		}, 9*time.Second, 50*time.Millisecond).Should(BeTrue(), "the daemons use different epochs of the membership")
	})

	It("runs a key once whose claim was lost", func() {
		c := newCluster(2, []string{"ga-a"})
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, []string{"ga-a"})...)))
		c.savePlatform()
		Expect(c.submitKey(c.daemons[0], "k").Status).To(Equal(200))
		c.restorePlatform()
		c.submitKey(c.daemons[1], "k")
		Eventually(func() int { return c.submitKey(c.daemons[1], "k").Status }, 20*time.Second, 200*time.Millisecond).Should(Equal(200))
		Expect(executions(c)["k"]).To(Equal(1))
	})

	It("runs a key once whose claim was lost at a daemon that starts later", func() {
		c := newCluster(2, []string{"ga-a"})
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, []string{"ga-a"})...)))
		c.savePlatform()
		owner := c.daemons[0]
		Expect(c.submitKey(owner, "k").Status).To(Equal(200))
		// The owner writes its claim again only after the other daemon was asked.
		owner.signal(syscall.SIGSTOP)
		defer owner.signal(syscall.SIGCONT)
		c.restorePlatform()
		late := c.addDaemon("ga-a-entry-9", "ga-a", "127.1.1.9")
		c.listHosts()
		late.start()
		c.awaitReady(late)
		Expect(string(c.submitKey(late, "k").Failure.Kind)).To(Equal("KeyUnverified"))
		owner.signal(syscall.SIGCONT)
		Eventually(func() int { return c.submitKey(late, "k").Status }, 20*time.Second, 200*time.Millisecond).Should(Equal(200))
		Expect(executions(c)["k"]).To(Equal(1))
	})

	It("finishes drafts that were accepted in the lost seconds", func() {
		c := newCluster(2, []string{"ga-a"})
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, []string{"ga-a"})...)))
		c.savePlatform()
		draft := c.run(c.daemons[0], "restock", "k", caller.RunBody{Tier: "later", Input: "key k", Async: true})
		Expect(draft.Status).To(Equal(202), string(draft.Raw))
		c.restorePlatform()
		c.awaitAnswer(draft.RequestID)
		Expect(executions(c)["k"]).To(Equal(1))
		again := c.run(c.daemons[1], "restock", "k", caller.RunBody{Tier: "later", Input: "key k", Async: true})
		Expect(again.RequestID).To(Equal(draft.RequestID))
		Expect(executions(c)["k"]).To(Equal(1))
	})

	It("keeps the answers of drafts that ended in the lost seconds, and doesn't run them again", func() {
		c := newCluster(2, []string{"ga-a"})
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, []string{"ga-a"})...)))
		for name := range c.targets {
			c.setTargetFault(name, standintarget.Fault{SlowFactor: 30})
		}
		draft := c.run(c.daemons[0], "restock", "k", caller.RunBody{Tier: "later", Input: "key k", Async: true})
		Expect(draft.Status).To(Equal(202), string(draft.Raw))
		c.savePlatform()
		for name := range c.targets {
			c.setTargetFault(name, standintarget.Fault{SlowFactor: 1})
		}
		c.awaitAnswer(draft.RequestID)
		c.restorePlatform()
		c.awaitAnswer(draft.RequestID)
		Consistently(func() int { return executions(c)["k"] }, 3*time.Second, 100*time.Millisecond).Should(Equal(1))
	})
})
