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

// streamTimes holds histograms of the time to the first token and of the time between tokens
// of streamed answers, in microseconds.
type streamTimes struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
}

// stream reads one streamed answer from the URL and records its times.
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

// print prints the 50th, 95th and 99th percentile of the times in milliseconds.
func (s *streamTimes) print(name string) {
	line := func(h *hdrhistogram.Histogram) string {
		return fmt.Sprintf("%.1f, %.1f, %.1f", float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(95))/1e3, float64(h.ValueAtQuantile(99))/1e3)
	}
	GinkgoWriter.Printf("streams daemons 3: %s: first token %s ms, between tokens %s ms (p50, p95, p99)\n", name, line(s.first), line(s.gap))
}

var _ = Describe("streams", Label("measure"), func() {
	It("forward the tokens with the timing of the target", func() {
		c := newCluster(1, dataCentres, "-log-level", "8") // 8 logs only errors
		var targets []*operator.Target
		for _, dataCentre := range dataCentres {
			target := c.addTarget("llm-"+dataCentre, dataCentre, standintarget.Profile{Kind: "llm", FirstMillis: 50, Tokens: 30, TokenMillis: 10, Batch: 64})
			target.MaxInFlight = 64
			targets = append(targets, target)
		}
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration(targets...)))
		for i := range 30 {
			c.run(c.daemons[i%3], "stop-plan", "", caller.RunBody{Tier: "later", Input: "warm"})
		}
		direct, through := &streamTimes{}, &streamTimes{}
		for _, s := range []*streamTimes{direct, through} {
			s.first, s.gap = hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
		}
		var group sync.WaitGroup
		for n := range 30 {
			group.Go(func() {
				for range 20 {
					_ = direct.stream("http://"+targets[n%3].Address+"/v1/stages/llm", "input")
					_ = through.stream("http://"+c.daemons[n%3].callerAddress+"/v1/pipelines/stop-plan/runs", `{"Tier":"later","Input":"input","Stream":true}`)
				}
			})
		}
		group.Wait()
		direct.print("target alone")
		through.print("through a daemon")
		Expect(through.first.TotalCount()).To(BeNumerically(">=", 600))
	})
})
