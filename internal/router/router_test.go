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

func TestPriceChoosesByTimeLeft(t *testing.T) {
	cheap := candidate("cheap", 100, 200*time.Millisecond)
	dear := candidate("dear", 400, 50*time.Millisecond)
	busy := cheap
	busy.HasCapacity = false
	leaving := dear
	leaving.Leaving = true
	tried := cheap
	tried.Tried = true
	remote := candidate("remote", 100, 100*time.Millisecond)
	remote.Local = false
	for _, c := range []struct {
		name       string
		share      time.Duration
		candidates []router.Candidate
		want       string
	}{
		{"cheap one fits", time.Second, []router.Candidate{dear, cheap}, "cheap"},
		{"only the dear one fits", 200 * time.Millisecond, []router.Candidate{dear, cheap}, "dear"},
		{"none fits, the fastest", 10 * time.Millisecond, []router.Candidate{cheap, dear}, "dear"},
		{"held for the cheap one", 5 * time.Second, []router.Candidate{busy, dear}, "wait"},
		{"no time to hold", 300 * time.Millisecond, []router.Candidate{busy, dear}, "dear"},
		{"failed there before", time.Second, []router.Candidate{tried, dear}, "dear"},
		{"own data centre first", time.Second, []router.Candidate{remote, cheap}, "cheap"},
		{"all busy", time.Second, []router.Candidate{busy}, "wait"},
		{"all leaving", time.Second, []router.Candidate{leaving}, "refuse"},
	} {
		got := ""
		switch d := router.Choose(router.Query{Policy: router.Price, Candidates: c.candidates, TimeBudget: c.share}).(type) {
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
