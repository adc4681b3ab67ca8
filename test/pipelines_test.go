package test

import (
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// testConfiguration returns a configuration change with the pipelines, tiers and accounts of
// both users of the system, and with the given targets.
func testConfiguration(targets ...*operator.Target) *operator.ApplyRequest {
	return &operator.ApplyRequest{
		Pipelines: []*operator.Pipeline{
			{Name: "quote-draft", Stages: []*operator.Stage{
				{Name: "retrieve", Kind: "retriever", Idempotent: true},
				{Name: "generate", Kind: "llm", Idempotent: true},
			}},
			{Name: "restock", Stages: []*operator.Stage{
				{Name: "check", Kind: "retriever", Idempotent: true},
				{Name: "confirm", Kind: "order", Idempotent: false},
			}},
			{Name: "confirm", Stages: []*operator.Stage{{Name: "confirm", Kind: "order"}}},
			{Name: "stop-plan", Stages: []*operator.Stage{{Name: "plan", Kind: "llm", Idempotent: true}}},
		},
		Tiers: []*operator.Tier{
			{Name: "now", DeadlineMillis: 4000, PriceMicros: 900},
			{Name: "later", DeadlineMillis: 20000, PriceMicros: 300},
		},
		Accounts: []*operator.Account{{Name: "front-desk"}, {Name: "rep-portal"}, {Name: "small", MaxInFlight: 1}},
		Targets:  targets,
	}
}

// addTargetsOfEachKind starts one target of each kind in each data centre.
func addTargetsOfEachKind(c *cluster, dataCentres []string) []*operator.Target {
	var targets []*operator.Target
	for _, dataCentre := range dataCentres {
		targets = append(targets,
			c.addTarget("llm-"+dataCentre, dataCentre, standintarget.Profile{Kind: "llm", FirstMillis: 5, Tokens: 8, TokenMillis: 2, Batch: 8, ColdLimit: 1, WarmAfter: 2, StartCold: true}),
			c.addTarget("retriever-"+dataCentre, dataCentre, standintarget.Profile{Kind: "retriever", FirstMillis: 2}),
			c.addTarget("order-"+dataCentre, dataCentre, standintarget.Profile{Kind: "order", FirstMillis: 2, HidesAttempt: true}))
	}
	return targets
}

// dataCentres are the data centres of a cluster; specs that need fewer use the first ones.
var dataCentres = []string{"ga-a", "ga-b", "ga-c"}

var _ = Describe("the whole path", func() {
	It("serves both users' pipelines, also with a daemon killed between two requests", func() {
		c := newCluster(2, dataCentres)
		version := c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, dataCentres)...))
		c.awaitVersion(version)

		a := c.run(c.daemons[1], "quote-draft", "", caller.RunBody{Tier: "later", Input: "reorder 12 hourglass timers"})
		Expect(a.Err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(200), string(a.Raw))
		Expect(a.Whole).To(BeTrue())
		Expect(a.Bytes).To(Equal(int64(len(a.Text))))
		Expect(a.Price).To(Equal(int64(300)))
		Expect(a.Text).To(ContainSubstring("reorder 12 hourglass"))

		streamed := c.run(c.daemons[2], "stop-plan", "", caller.RunBody{Tier: "now", Input: "route 4", Stream: true})
		Expect(streamed.Status).To(Equal(200), string(streamed.Raw))
		Expect(strings.Count(string(streamed.Raw), `"Text":`)).To(BeNumerically(">=", 8))
		Expect(string(streamed.Raw)).To(ContainSubstring(`"Whole":true`))

		keyed := c.run(c.daemons[3], "restock", "restock-1", caller.RunBody{Tier: "now", Input: "restock 40"})
		Expect(keyed.Status).To(Equal(200), string(keyed.Raw))

		c.daemons[3].kill()
		again := c.run(c.daemons[4], "restock", "restock-1", caller.RunBody{Tier: "now", Input: "restock 40"})
		Expect(again.Status).To(Equal(200), string(again.Raw))
		Expect(again.Text).To(Equal(keyed.Text))
		plan := c.run(c.daemons[2], "stop-plan", "", caller.RunBody{Tier: "now", Input: "route 5"})
		Expect(plan.Status).To(Equal(200), string(plan.Raw))
	})

	It("answers invalid requests with the failure kinds of the fixed list and keeps serving", func() {
		c := newCluster(1, dataCentres[:1])
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, dataCentres[:1])...)))
		d := c.daemons[0]
		for _, bad := range []struct {
			pipeline, account, key string
			body                   caller.RunBody
			status                 int
			kind                   string
			notRun                 bool
		}{
			{"none", "front-desk", "", caller.RunBody{Tier: "now"}, 404, "NotFound", true},
			{"stop-plan", "front-desk", "", caller.RunBody{Tier: "none"}, 404, "NotFound", true},
			{"restock", "front-desk", "", caller.RunBody{Tier: "now"}, 400, "KeyMissing", true},
			{"stop-plan", "nobody", "", caller.RunBody{Tier: "now"}, 401, "Unauthenticated", true},
			{"stop-plan", "front-desk", "", caller.RunBody{Tier: "now", Stream: true, Async: true}, 400, "Invalid", true},
			{"none", "front-desk", "k", caller.RunBody{Tier: "now"}, 404, "NotFound", false},
			{"stop-plan", "front-desk", "", caller.RunBody{Tier: "now", Input: strings.Repeat("x", 5<<20)}, 413, "TooLarge", true},
		} {
			a := runAt(d.callerAddress, bad.account, bad.pipeline, bad.key, bad.body, 5e9)
			Expect(a.Status).To(Equal(bad.status), string(a.Raw))
			Expect(string(a.Failure.Kind)).To(Equal(bad.kind))
			Expect(a.Failure.NotRun.Proven()).To(Equal(bad.notRun), bad.kind)
		}
		a := c.run(d, "stop-plan", "", caller.RunBody{Tier: "now", Input: "own"})
		Expect(a.Status).To(Equal(200))
		status, _ := c.get(d, "rep-portal", "/v1/requests/"+a.RequestID)
		Expect(status).To(Equal(404))
		status, body := c.get(d, "front-desk", "/v1/requests/"+a.RequestID)
		Expect(status).To(Equal(200))
		Expect(body).To(ContainSubstring(`"State":"Answered"`))

		out, err := exec.Command(filepath.Join(binaries, "sequoiactl"), "explain", "-address", d.operatorAddress, a.RequestID).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(ContainSubstring("llm-ga-a"))
		out, err = exec.Command(filepath.Join(binaries, "sequoiapick"), "serve", "-host", "h", "-data-centre", "d", "-policy", "Best").CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(string(out)).To(ContainSubstring(`setting policy has the value "Best", allowed is Price, RoundRobin or LeastReported`))
	})
})
