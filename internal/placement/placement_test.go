package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

var start = time.Unix(1_000_000, 0)

// newSelector returns a selector with one service, whose engines have 4 slots and a cache of
// 10 000 tokens.
func newSelector(engines ...placement.Engine) *placement.Selector {
	s := placement.New()
	s.SetServices(map[string]service.Service{"llm": {Name: "llm", Engine: &service.Engine{Slots: 4, CacheTokens: 10_000}}})
	for i := range engines {
		engines[i].Service = "llm"
	}
	s.SetEngines(start, engines)
	return s
}

// request returns the request with number n, without shared parts.
func request(n int) placement.Request {
	return placement.Request{ID: fmt.Sprintf("request-%d", n), Service: "llm", PromptTokens: 600}
}

func TestRequestPrefersEngineWithCachedParts(t *testing.T) {
	s := newSelector(placement.Engine{ID: "a"}, placement.Engine{ID: "b"}, placement.Engine{ID: "c"})
	parts := []placement.Part{{ID: "subject", Tokens: 500}}
	first := request(0)
	first.Parts = parts
	read, ok := s.Choose(start, first)
	if !ok {
		t.Fatal("no engine for the first request")
	}
	s.PromptRead(first.ID)
	second := request(1)
	second.Parts = parts
	got, _ := s.Choose(start.Add(time.Second), second)
	if got.ID != read.ID {
		t.Errorf("the second request went to %s, want %s, which has read its parts", got.ID, read.ID)
	}
}

func TestRequestsSpreadOnceSlotsOfCachingEngineAreFull(t *testing.T) {
	s := newSelector(placement.Engine{ID: "a"}, placement.Engine{ID: "b"})
	requests := map[string]int{}
	for n := range 8 {
		r := request(n)
		r.Parts = []placement.Part{{ID: "subject", Tokens: 500}}
		e, _ := s.Choose(start, r)
		s.PromptRead(r.ID)
		requests[e.ID]++
	}
	if requests["a"] != 4 || requests["b"] != 4 {
		t.Errorf("8 requests of one subject went to %v, want 4 for the slots of each engine", requests)
	}
}

func TestExcludedAndClosedEnginesAreNotChosen(t *testing.T) {
	s := newSelector(placement.Engine{ID: "a"}, placement.Engine{ID: "b", Closed: true})
	r := request(0)
	if e, ok := s.Choose(start, r); !ok || e.ID != "a" {
		t.Errorf("chose %q, %v, want the open engine", e.ID, ok)
	}
	r.Exclude = map[string]bool{"a": true}
	if e, ok := s.Choose(start, r); ok {
		t.Errorf("chose %q, want none", e.ID)
	}
	if s.HeldByRate(start, r) {
		t.Error("the request is held by a cold rate, but no engine accepts it")
	}
}

func TestColdEnginesStayUnderTheirRate(t *testing.T) {
	const perSecond = 4.0
	s := newSelector(placement.Engine{ID: "a", Cold: true, ColdPerSecond: perSecond}, placement.Engine{ID: "b", Cold: true, ColdPerSecond: perSecond})
	sent := map[string][]time.Time{}
	for n := range 400 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		r := request(n)
		e, ok := s.Choose(now, r)
		s.Remove(r.ID)
		if ok {
			sent[e.ID] = append(sent[e.ID], now)
		} else if !s.HeldByRate(now, r) {
			t.Fatal("no engine chosen, and none is held by its cold rate")
		}
	}
	for id, times := range sent {
		if got, least := len(times), 3*perSecond; float64(got) < least {
			t.Errorf("engine %s had %d requests in 4 s, want %v at least", id, got, least)
		}
		for i := range times {
			count := 0
			for _, other := range times[i:] {
				if other.Sub(times[i]) < time.Second {
					count++
				}
			}
			if float64(count) > 1.5*perSecond {
				t.Errorf("cold engine %s had %d requests in a second, want %v at most", id, count, 1.5*perSecond)
			}
		}
	}
}

func TestWarmEngineTakesRequestsBeyondColdRate(t *testing.T) {
	s := newSelector(placement.Engine{ID: "cold", Cold: true, ColdPerSecond: 1}, placement.Engine{ID: "warm"})
	requests := map[string]int{}
	for n := range 12 {
		r := request(n)
		if e, ok := s.Choose(start, r); ok {
			requests[e.ID]++
		}
	}
	if requests["warm"] < 11 || requests["cold"] > 1 {
		t.Errorf("requests went to %v, want at most 1 to the cold engine", requests)
	}
}

func TestSuspectEngineIsChosenLast(t *testing.T) {
	s := newSelector(placement.Engine{ID: "a", Suspect: true}, placement.Engine{ID: "b"})
	for n := range 6 {
		if e, _ := s.Choose(start, request(n)); e.ID != "b" {
			t.Errorf("request %d went to %s, want the engine that isn't suspect", n, e.ID)
		}
	}
}
