package emulator

import (
	"fmt"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// ScarceOverload is the demand of the burst of ScarceSite on its most loaded service, divided by what the
// targets of this service do in full calls.
const ScarceOverload = 2.3

// ScarceSite returns a site with the sizes of a production site on a day of scarce capacity: 16
// accounts, of which three send 70% of the requests, and five classes. In a burst from second 4 to 14
// the demand on the most loaded stage service is ScarceOverload times its capacity. The first three
// classes have the rates, prompts, objectives and values of that site; the last two are small, so
// that a replay shows whether kinds of low value are starved.
func ScarceSite() Site {
	s := Site{
		Name:          "scarce",
		Daemons:       2,
		ArrivalPeriod: 20 * time.Second,
		DataCentres:   []string{"a", "b", "c"},
		Services: map[string]service.Service{
			"alpha": {Batch: &service.Batch{Slots: 1, MaxQueued: 2, MaxPieces: 16, CallTime: 200 * time.Millisecond, PieceTime: 11 * time.Millisecond, ResultMemoryBytes: 36e6, ResultLifetime: 4 * time.Second}},
			"beta":  {Batch: &service.Batch{Slots: 1, MaxQueued: 2, MaxPieces: 60, CallTime: 200 * time.Millisecond, PieceTime: 2900 * time.Microsecond, ResultMemoryBytes: 8e6, ResultLifetime: 4 * time.Second}},
			"gamma": {Batch: &service.Batch{Slots: 1, MaxQueued: 2, MaxPieces: 82, CallTime: 200 * time.Millisecond, PieceTime: 2100 * time.Microsecond, ResultMemoryBytes: 1.2e6, ResultLifetime: 4 * time.Second}},
			"llm":   {Engine: &service.Engine{Slots: 24, CacheTokens: 475_968}},
		},
		Targets: map[string][]int{"alpha": {6, 6, 6}, "beta": {5, 5, 5}, "gamma": {6, 6, 6}, "llm": {47, 47, 46}},
		Classes: []Class{
			{
				Name: "urgent", RequestsPerSecond: 82, LatencyObjective: time.Second, Deadline: 6 * time.Second, Priority: 0, Value: 5.7, LateValue: 0.855,
				Engine: "llm", PromptTokens: 2890, SharedTokens: 6300, Sessions: 600,
				Stages: []Stage{{Service: "alpha", MeanPieces: 2.5, RequestShare: 0.7, ResultBytes: 1_500_000}},
			},
			{
				Name: "draft", RequestsPerSecond: 171, LatencyObjective: 4 * time.Second, Deadline: 6 * time.Second, Priority: 2, Value: 0.83, LateValue: 0.125,
				Engine: "llm", PromptTokens: 1800, SharedTokens: 568, Sessions: 900,
				Stages: []Stage{
					{Service: "alpha", MeanPieces: 1, WorkFactor: 0.3, ResultBytes: 8000},
					{Service: "beta", After: []int{0}, MeanPieces: 6, ResultBytes: 60_000},
					{Service: "gamma", After: []int{1}, MeanPieces: 10, ResultBytes: 6000},
				},
			},
			{
				Name: "answer", RequestsPerSecond: 50, LatencyObjective: 1500 * time.Millisecond, Deadline: 20 * time.Second, Priority: 1, Value: 0.69, LateValue: 0.1,
				Engine: "llm", PromptTokens: 543, SharedTokens: 172, Sessions: 400, OutputTokens: 280,
				Stages: []Stage{
					{Service: "alpha", MeanPieces: 1, WorkFactor: 0.3, ResultBytes: 8000},
					{Service: "beta", After: []int{0}, MeanPieces: 6, ResultBytes: 60_000},
					{Service: "gamma", After: []int{1}, MeanPieces: 10, ResultBytes: 6000},
				},
			},
			{
				Name: "summary", RequestsPerSecond: 8, LatencyObjective: 3 * time.Second, Deadline: 10 * time.Second, Priority: 2, Value: 0.5, LateValue: 0.075,
				Engine: "llm", PromptTokens: 9000, OutputTokens: 100,
				Stages: []Stage{
					{Service: "beta", MeanPieces: 20, ResultBytes: 60_000},
					{Service: "gamma", After: []int{0}, MeanPieces: 30, ResultBytes: 6000},
				},
			},
			{
				Name: "check", RequestsPerSecond: 10, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, Priority: 3, Value: 0.2, LateValue: 0.03,
				Engine: "llm", PromptTokens: 300,
				Stages: []Stage{{Service: "alpha", MeanPieces: 2, ResultBytes: 8000}},
			},
		},
		ReadTokensPerMillisecond: 38.4,
		FirstTokenTime:           90 * time.Millisecond,
		OutputTokenTime:          20 * time.Millisecond,
		MeanArrivalBatch:         3,
		WastedSecondPrice:        3.2,
		TransferPricePerGB:       100,
		PricePer1000PromptTokens: 0.02,
	}
	for i := range 3 {
		s.Accounts = append(s.Accounts, Account{Name: fmt.Sprint("large-", i), Share: 0.7 / 3})
	}
	for i := range 13 {
		s.Accounts = append(s.Accounts, Account{Name: fmt.Sprint("small-", i), Share: 0.3 / 13})
	}
	s.Bursts = []Burst{{Start: 4 * time.Second, Duration: 10 * time.Second, Factor: ScarceOverload / s.peakLoad()}}
	return s
}

// peakLoad returns the demand without bursts on the most loaded stage service, divided by what its
// targets do in full calls.
func (s Site) peakLoad() float64 {
	demand := map[string]float64{}
	for _, c := range s.Classes {
		for _, st := range c.Stages {
			b := s.Services[st.Service].Batch
			share, work := st.RequestShare, st.WorkFactor
			if share == 0 {
				share = 1
			}
			if work == 0 {
				work = 1
			}
			perPiece := b.CallTime.Seconds()/float64(b.MaxPieces) + work*b.PieceTime.Seconds()
			demand[st.Service] += c.RequestsPerSecond * share * st.MeanPieces * perPiece
		}
	}
	peak := 0.0
	for name, seconds := range demand {
		targets := 0
		for _, n := range s.Targets[name] {
			targets += n
		}
		peak = max(peak, seconds/float64(targets))
	}
	return peak
}

// drawAccount draws the account of a request by the shares of the accounts, or returns that of a burst.
func (s *simulation) drawAccount(class *Class) string {
	for _, b := range s.site.Bursts {
		active := s.now >= b.Start && s.now < b.Start+b.Duration
		if b.Account != "" && active && (b.Class == "" || b.Class == class.Name) && s.accountRandom.Float64() > 1/b.Factor {
			return b.Account
		}
	}
	sum := 0.0
	for _, a := range s.site.Accounts {
		sum += a.Share
	}
	left := s.accountRandom.Float64() * sum
	for _, a := range s.site.Accounts {
		if left -= a.Share; left < 0 {
			return a.Name
		}
	}
	return ""
}

// engineTime returns the time for which the request is expected to occupy an engine.
func (s *simulation) engineTime(r *request) time.Duration {
	tokens := s.selectors[r.daemon].UncachedTokens(s.time(), s.placementRequest(r, nil))
	d := time.Duration(float64(tokens) / s.site.ReadTokensPerMillisecond * float64(time.Millisecond))
	if slots := slotCount(s.site.Services[r.class.Engine]); slots > 0 {
		d += time.Duration(r.class.OutputTokens) * s.site.OutputTokenTime / time.Duration(slots)
	}
	return d
}

// setEngines passes the load of the engines to a planner.
func (s *simulation) setEngines(planner int) {
	loads := map[string]dispatch.EngineLoad{}
	for name, svc := range s.site.Services {
		if svc.Batch == nil {
			d := s.selectors[planner].Demand(name)
			loads[name] = dispatch.EngineLoad{Engines: d.Engines, Backlog: time.Duration(float64(d.UnreadTokens) / s.site.ReadTokensPerMillisecond * float64(time.Millisecond))}
		}
	}
	s.planners[planner].SetEngines(loads)
}

// Account is an account that sends requests of all classes.
type Account struct {
	Name string
	// Share is the share of the requests that the account sends, relative to the others' shares.
	Share float64
}
