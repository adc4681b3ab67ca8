package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

var start = time.Unix(1_000_000, 0)

// board returns a board with one service of engines that have a few slots.
func board(engines ...placement.Engine) *placement.Selector {
	b := placement.New()
	b.SetServices(map[string]service.Service{"llm": {Name: "llm", Engine: &service.Engine{Slots: 4, CacheTokens: 10_000}}})
	for i := range engines {
		engines[i].Service = "llm"
	}
	b.SetEngines(start, engines)
	return b
}

func request(n int) placement.Request {
	return placement.Request{ID: fmt.Sprintf("request-%d", n), Service: "llm", PromptTokens: 600}
}

func TestSharedPartsStayWhereTheyWereRead(t *testing.T) {
	b := board(placement.Engine{ID: "a"}, placement.Engine{ID: "b"}, placement.Engine{ID: "c"})
	parts := []placement.Part{{ID: "subject", Tokens: 500}}
	first := request(0)
	first.Parts = parts
	read, ok := b.Choose(start, first)
	if !ok {
		t.Fatal("no engine for the first request")
	}
	b.PromptRead(first.ID)
	again := request(1)
	again.Parts = parts
	got, _ := b.Choose(start.Add(time.Second), again)
	if got.ID != read.ID {
		t.Errorf("the second request went to %s, want %s, which has read its parts", got.ID, read.ID)
	}
}

func TestFullEngineLosesItsSharedParts(t *testing.T) {
	b := board(placement.Engine{ID: "a"}, placement.Engine{ID: "b"})
	used := map[string]int{}
	for n := range 8 {
		r := request(n)
		r.Parts = []placement.Part{{ID: "subject", Tokens: 500}}
		e, _ := b.Choose(start, r)
		b.PromptRead(r.ID)
		used[e.ID]++
	}
	if used["a"] != 4 || used["b"] != 4 {
		t.Errorf("8 requests of one subject went to %v, want 4 for the slots of each engine", used)
	}
}

func TestExcludedAndClosedEnginesAreNotChosen(t *testing.T) {
	b := board(placement.Engine{ID: "a"}, placement.Engine{ID: "b", Closed: true})
	r := request(0)
	if e, ok := b.Choose(start, r); !ok || e.ID != "a" {
		t.Errorf("chose %q, %v, want the open engine", e.ID, ok)
	}
	r.Exclude = map[string]bool{"a": true}
	if e, ok := b.Choose(start, r); ok {
		t.Errorf("chose %q, want none", e.ID)
	}
	if b.HeldByColdRate(start, r) {
		t.Error("the request waits for a cold engine, want none to exist")
	}
}

func TestColdEnginesStayUnderTheirRate(t *testing.T) {
	const perSecond = 4.0
	b := board(placement.Engine{ID: "a", Cold: true, ColdPerSecond: perSecond}, placement.Engine{ID: "b", Cold: true, ColdPerSecond: perSecond})
	sent := map[string][]time.Time{}
	for n := range 400 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		r := request(n)
		e, ok := b.Choose(now, r)
		b.Remove(r.ID)
		if ok {
			sent[e.ID] = append(sent[e.ID], now)
		} else if !b.HeldByColdRate(now, r) {
			t.Fatal("no engine, and none that is only held back by its rate")
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

func TestWarmEnginesTakeWhatColdOnesMayNot(t *testing.T) {
	b := board(placement.Engine{ID: "cold", Cold: true, ColdPerSecond: 1}, placement.Engine{ID: "warm"})
	used := map[string]int{}
	for n := range 12 {
		r := request(n)
		if e, ok := b.Choose(start, r); ok {
			used[e.ID]++
		}
	}
	if used["warm"] < 11 || used["cold"] > 1 {
		t.Errorf("requests went to %v, want at most 1 to the cold engine", used)
	}
}

func TestSuspectEngineIsTheLastChoice(t *testing.T) {
	b := board(placement.Engine{ID: "a", Suspect: true}, placement.Engine{ID: "b"})
	for n := range 6 {
		if e, _ := b.Choose(start, request(n)); e.ID != "b" {
			t.Errorf("request %d went to %s, want the engine that doesn't fail", n, e.ID)
		}
	}
}
