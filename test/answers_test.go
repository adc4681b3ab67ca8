package test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// addMixedTargets starts warm targets in each data centre. Some include the ID of the attempt
// in their answers and some don't.
func addMixedTargets(c *cluster) []*operator.Target {
	var targets []*operator.Target
	for n, dataCentre := range dataCentres {
		targets = append(targets,
			c.addTarget("llm-"+dataCentre, dataCentre, standintarget.Profile{Kind: "llm", FirstMillis: 5, Tokens: 8, TokenMillis: 2, Batch: 16}),
			c.addTarget("retriever-"+dataCentre, dataCentre, standintarget.Profile{Kind: "retriever", FirstMillis: 2, HidesAttempt: n == 0}),
			c.addTarget("order-"+dataCentre, dataCentre, standintarget.Profile{Kind: "order", FirstMillis: 2, HidesAttempt: true}))
	}
	return targets
}

// answerFault returns what is wrong with an answer of the pipeline quote-draft to the input, or
// "" if it is correct. The stand-in of a target repeats the input in brackets and ends with the
// last of its 8 tokens, "generate7 ".
func answerFault(input string, a answer) string {
	switch {
	case !strings.Contains(a.Text, "["+input+"]"):
		return "belongs to another request: " + a.Text
	case !a.Whole || a.Bytes != int64(len(a.Text)) || !strings.HasSuffix(a.Text, "generate7 "):
		return "isn't whole: " + a.Text
	default:
		return ""
	}
}

// streamedText joins the texts of a streamed answer, which has one JSON object per line. It
// reports whether the answer ends with an End object that states the length of the text in
// bytes.
func streamedText(raw []byte) (string, bool) {
	var text strings.Builder
	for line := range strings.Lines(string(raw)) {
		var f struct {
			Text string
			End  *struct{ Bytes int64 }
		}
		if json.Unmarshal([]byte(line), &f) != nil {
			return "", false
		}
		text.WriteString(f.Text)
		if f.End != nil {
			return text.String(), f.End.Bytes == int64(text.Len())
		}
	}
	return text.String(), false
}

var _ = Describe("promise 3: whole answers to their own requests", func() {
	specPerSeed("holds when targets answer late, crossed, cut short and twice", []uint64{1}, func(seed uint64) {
		c := newCluster(2, dataCentres)
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addMixedTargets(c)...)))
		rng := random(seed)
		stop := make(chan struct{})
		var group sync.WaitGroup
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				for _, name := range []string{"llm-ga-a", "llm-ga-b", "llm-ga-c", "retriever-ga-b", "retriever-ga-c"} {
					f := standintarget.Fault{}
					switch rng.IntN(5) {
					case 0:
						f.CutShort = 2
					case 1:
						f.Twice = 2
					case 2:
						f.Crossed = 2
					case 3:
						f.SlowFactor = 1 + rng.IntN(4)
					}
					c.setTargetFault(name, f)
				}
			}
		})
		var mu sync.Mutex
		counts := map[string]int{}
		var violations []string
		var callers sync.WaitGroup
		for n := range 12 {
			callers.Go(func() {
				for i := range 40 {
					input := fmt.Sprintf("caller %d run %d", n, i)
					d := c.daemons[(n+i)%len(c.daemons)]
					stream := i%3 == 0
					a := runAt(d.callerAddress, "front-desk", "quote-draft", "", caller.RunBody{Tier: "later", Input: input, Stream: stream}, 25*time.Second)
					complete := a.Status == 200
					if stream && complete {
						a.Text, complete = streamedText(a.Raw)
						mu.Lock()
						if strings.Count(a.Text, "generate0") > 1 || !complete && !strings.Contains(string(a.Raw), `"Failure"`) {
							violations = append(violations, "streamed twice or broken off without a failure: "+string(a.Raw))
						}
						mu.Unlock()
						a.Whole, a.Bytes = true, int64(len(a.Text))
					}
					mu.Lock()
					counts[fmt.Sprintf("%d whole %t %s", a.Status, complete, a.Failure.Kind)]++
					if fault := answerFault(input, a); complete && fault != "" {
						violations = append(violations, fault)
					}
					mu.Unlock()
				}
			})
		}
		callers.Wait()
		close(stop)
		group.Wait()
		GinkgoWriter.Println("answers:", counts)
		Expect(violations).To(BeEmpty())
		Expect(counts["200 whole true "]).To(BeNumerically(">", 12*40/2))
	})

	specPerSeed("loses no accepted draft when daemons die and the platform is out", []uint64{1, 2}, func(seed uint64) {
		c := newCluster(2, dataCentres)
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(addMixedTargets(c)...)))
		c.apply(c.daemons[0], &operator.ApplyRequest{Tiers: []*operator.Tier{{Name: "overnight", DeadlineMillis: 120000, PriceMicros: 50}}})
		rng := random(seed)
		injector := &faultInjector{cluster: c, rng: random(seed), kinds: []string{"kill", "kill", "freeze", "platform down", "platform slow", "answers lost", "cut"}}
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			injector.run(8 * time.Second)
		}()
		accepted := map[string]string{}
		rejected := 0
		for i := 0; ; i++ {
			select {
			case <-ended:
			default:
				input := fmt.Sprintf("draft %d", i)
				d := c.daemons[rng.IntN(len(c.daemons))]
				a := runAt(d.callerAddress, "front-desk", "quote-draft", "", caller.RunBody{Tier: "overnight", Input: input, Async: true}, 6*time.Second)
				if a.Status == 202 {
					accepted[a.RequestID] = input
				} else {
					rejected++
				}
				time.Sleep(20 * time.Millisecond)
				continue
			}
			break
		}
		for id, input := range accepted {
			var body string
			Eventually(func() string {
				_, body = c.get(c.daemons[0], "front-desk", "/v1/requests/"+id)
				return body
			}, 40*time.Second, 50*time.Millisecond).Should(Or(ContainSubstring(`"State":"Answered"`), ContainSubstring(`"State":"Failed"`)))
			var state struct{ Answer json.RawMessage }
			Expect(json.Unmarshal([]byte(body), &state)).To(Succeed(), body)
			Expect(answerFault(input, parseAnswer(200, state.Answer))).To(BeEmpty(), body)
		}
		runs := 0
		for name := range c.targets {
			runs += len(c.journal(name).Executions)
		}
		GinkgoWriter.Println("drafts: accepted", len(accepted), "refused", rejected, "stage runs", runs)
		Expect(len(accepted)).To(BeNumerically(">", 20))
	})
})
