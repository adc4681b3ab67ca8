package test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// streamTimes are the times of streamed answers in microseconds.
type streamTimes struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
}

// stream reads one streamed answer straight from the address and notes its times.
func (s *streamTimes) stream(url, body string) error {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(caller.AccountHeader, "front-desk")
	last := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for n := 0; lines.Scan(); n++ {
		if !strings.HasPrefix(lines.Text(), `{"Text"`) {
			continue
		}
		took := time.Since(last).Microseconds()
		last = time.Now()
		s.mu.Lock()
		if n == 0 {
			_ = s.first.RecordValue(took)
		} else {
			_ = s.gap.RecordValue(took)
		}
		s.mu.Unlock()
	}
	return lines.Err()
}

func (s *streamTimes) print(name string) {
	line := func(h *hdrhistogram.Histogram) string {
		return fmt.Sprintf("%.1f, %.1f, %.1f", float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(95))/1e3, float64(h.ValueAtQuantile(99))/1e3)
	}
	GinkgoWriter.Printf("streams daemons 3: %s: first token %s ms, between tokens %s ms (p50, p95, p99)\n", name, line(s.first), line(s.gap))
}

var _ = Describe("streams", Label("measure"), func() {
	It("give their tokens as the target does", func() {
		c := newCluster(1, centres, "-log-level", "8")
		var targets []*operator.Target
		for _, centre := range centres {
			target := c.addTarget("llm-"+centre, centre, standintarget.Profile{Kind: "llm", FirstMillis: 50, Tokens: 30, TokenMillis: 10, Batch: 64})
			target.MaxInFlight = 64
			targets = append(targets, target)
		}
		c.awaitVersion(c.apply(c.daemons[0], users(targets...)))
		for i := range 30 {
			c.run(c.daemons[i%3], "stop-plan", "", caller.RunBody{Tier: "later", Input: "warm"})
		}
		direct, through := &streamTimes{}, &streamTimes{}
		for _, s := range []*streamTimes{direct, through} {
			s.first, s.gap = hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
		}
		var work sync.WaitGroup
		for n := range 30 {
			work.Go(func() {
				for range 20 {
					_ = direct.stream("http://"+targets[n%3].Address+"/v1/stages/llm", "input")
					_ = through.stream("http://"+c.daemons[n%3].caller+"/v1/pipelines/stop-plan/runs", `{"Tier":"later","Input":"input","Stream":true}`)
				}
			})
		}
		work.Wait()
		direct.print("target alone")
		through.print("through a daemon")
		Expect(through.first.TotalCount()).To(BeNumerically(">=", 600))
	})
})
