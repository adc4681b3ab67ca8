package router_test

import (
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/router"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

func candidate(name string, cost int64, typical time.Duration) router.Candidate {
	return router.Candidate{
		Target:          target.Target{Name: name, CostMicros: cost},
		TypicalDuration: typical,
		Warm:            true,
		HasCapacity:     true,
		Local:           true,
	}
}

func TestPricePolicyChoosesByTimeBudget(t *testing.T) {
	cheap := candidate("cheap", 100, 200*time.Millisecond)
	dear := candidate("dear", 400, 50*time.Millisecond)
	atLimit := cheap
	atLimit.HasCapacity = false
	leaving := dear
	leaving.Leaving = true
	tried := cheap
	tried.Tried = true
	remote := candidate("remote", 100, 100*time.Millisecond)
	remote.Local = false
	for _, c := range []struct {
		name       string
		budget     time.Duration
		candidates []router.Candidate
		want       string
	}{
		{"cheap one is expected in time", time.Second, []router.Candidate{dear, cheap}, "cheap"},
		{"only the dear one is expected in time", 200 * time.Millisecond, []router.Candidate{dear, cheap}, "dear"},
		{"none is expected in time: the fastest", 10 * time.Millisecond, []router.Candidate{cheap, dear}, "dear"},
		{"waits for the cheap one", 5 * time.Second, []router.Candidate{atLimit, dear}, "wait"},
		{"no time to wait", 300 * time.Millisecond, []router.Candidate{atLimit, dear}, "dear"},
		{"stage has failed on the cheap one", time.Second, []router.Candidate{tried, dear}, "dear"},
		{"same data centre first", time.Second, []router.Candidate{remote, cheap}, "cheap"},
		{"all at their limit", time.Second, []router.Candidate{atLimit}, "wait"},
		{"all leaving", time.Second, []router.Candidate{leaving}, "refuse"},
	} {
		got := ""
		switch d := router.Choose(router.Query{Policy: router.Price, Candidates: c.candidates, TimeBudget: c.budget}).(type) {
		case router.Send:
			got = d.Candidate.Target.Name
		case router.Wait:
			got = "wait"
		case router.Reject:
			got = "refuse"
		}
		if got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}
