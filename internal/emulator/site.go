package emulator

import (
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Sites returns the sites that can be selected by name. Each also comes with bursts (suffix -burst
// of the name), with bursts and a crash (-burst-crash) and with an overload during a crash (-storm).
func Sites() []Site {
	return []Site{
		OrderDesk(), Rounds(),
		OrderDesk().With(addBursts), Rounds().With(addBursts),
		OrderDesk().With(addCrash), Rounds().With(addCrash),
		OrderDesk().With(addStorm), Rounds().With(addStorm),
	}
}

// With returns a copy of the site to which change has been applied.
func (s Site) With(change func(*Site)) Site {
	change(&s)
	return s
}

// addBursts raises the request rates of the first two classes, one after the other.
func addBursts(s *Site) {
	s.Name += "-burst"
	s.Bursts = []Burst{
		{Class: s.Classes[0].Name, Start: 6 * time.Second, Duration: 6 * time.Second, Factor: 2.5},
		{Class: s.Classes[1].Name, Start: 18 * time.Second, Duration: 6 * time.Second, Factor: 2.5},
	}
}

// addCrash adds the bursts, and a crash of two targets of the first class's first stage that begins
// before the second burst and overlaps it.
func addCrash(s *Site) {
	addBursts(s)
	s.Name += "-crash"
	s.Crashes = []Crash{{Service: s.Classes[0].Stages[0].Service, Targets: 2, Start: 16 * time.Second, Duration: 6 * time.Second}}
}

// addStorm doubles the request rates of all classes while two stage targets of each service are
// down.
func addStorm(s *Site) {
	s.Name += "-storm"
	s.Bursts = []Burst{{Start: 8 * time.Second, Duration: 12 * time.Second, Factor: 2}}
	for name, svc := range s.Services {
		if svc.Batch != nil {
			s.Crashes = append(s.Crashes, Crash{Service: name, Targets: 2, Start: 8 * time.Second, Duration: 12 * time.Second})
		}
	}
}

// batchService returns a service with batched calls of up to size pieces. Each piece adds pieceTime
// to the time of a call.
func batchService(size int, pieceTime time.Duration, resultMemoryBytes int64) service.Service {
	return service.Service{Batch: &service.Batch{
		Slots:             1,
		MaxQueued:         2,
		MaxPieces:         size,
		CallTime:          200 * time.Millisecond,
		PieceTime:         pieceTime,
		ResultMemoryBytes: resultMemoryBytes,
		ResultLifetime:    4 * time.Second,
	}}
}

// OrderDesk returns a wholesaler's site: one class has a single large stage and a short latency
// objective, the other two run through a chain of three stages.
func OrderDesk() Site {
	return Site{
		Name:          "order-desk",
		Daemons:       9,
		ArrivalPeriod: 30 * time.Second,
		DataCentres:   []string{"a", "b", "c"},
		Services: map[string]service.Service{
			"billing": batchService(8, 21*time.Millisecond, 18e6),
			"picking": batchService(22, 7800*time.Microsecond, 2.9e6),
			"portal":  batchService(36, 4800*time.Microsecond, 0.49e6),
			"llm":     {Engine: &service.Engine{Slots: 64, CacheTokens: 475_968}},
		},
		Targets: map[string][]int{"billing": {2, 2, 1}, "picking": {2, 2, 1}, "portal": {2, 2, 1}, "llm": {3, 3, 3}},
		Classes: []Class{
			{
				Name: "reorder", RequestsPerSecond: 15.6, LatencyObjective: time.Second, Deadline: 6 * time.Second, Priority: 1, Value: 3.4, LateValue: 0.51,
				Engine: "llm", PromptTokens: 2890, SharedTokens: 6300, Sessions: 123,
				Stages: []Stage{{Service: "billing", MeanPieces: 2.5, RequestShare: 0.7, ResultBytes: 1_500_000}},
			},
			{
				Name: "quote", RequestsPerSecond: 19.2, LatencyObjective: 1800 * time.Millisecond, Deadline: 6 * time.Second, Priority: 0, Value: 1.8, LateValue: 0.27,
				Engine: "llm", PromptTokens: 1800, SharedTokens: 568, Sessions: 151,
				Stages: []Stage{
					{Service: "billing", MeanPieces: 1, WorkFactor: 0.3, ResultBytes: 8000},
					{Service: "picking", After: []int{0}, MeanPieces: 6, ResultBytes: 60_000},
					{Service: "portal", After: []int{1}, MeanPieces: 10, ResultBytes: 6000},
				},
			},
			{
				Name: "blurb", RequestsPerSecond: 6.2, LatencyObjective: 1800 * time.Millisecond, Deadline: 20 * time.Second, Priority: 2, Value: 1.1, LateValue: 0.17,
				Engine: "llm", PromptTokens: 543, SharedTokens: 172, Sessions: 73,
				Stages: []Stage{
					{Service: "billing", MeanPieces: 1.5, RequestShare: 0.4, ResultBytes: 1_500_000},
					{Service: "billing", MeanPieces: 1, WorkFactor: 0.3, ResultBytes: 8000},
					{Service: "picking", After: []int{1}, MeanPieces: 6, ResultBytes: 60_000},
					{Service: "portal", After: []int{2}, MeanPieces: 10, ResultBytes: 6000},
				},
			},
		},
		ReadTokensPerMillisecond: 93.6,
		FirstTokenTime:           90 * time.Millisecond,
		MeanArrivalBatch:         3,
		WastedSecondPrice:        3.2,
		TransferPricePerGB:       100,
		PricePer1000PromptTokens: 0.02,
	}
}

// Rounds returns a franchise's site: its stage targets are near saturation, and two of its classes
// run through all of its stage services.
func Rounds() Site {
	return Site{
		Name:          "rounds",
		Daemons:       6,
		ArrivalPeriod: 30 * time.Second,
		DataCentres:   []string{"north", "west", "east"},
		Services: map[string]service.Service{
			"ledger": batchService(8, 21*time.Millisecond, 18e6),
			"driver": batchService(18, 9500*time.Microsecond, 2.4e6),
			"shop":   batchService(46, 3700*time.Microsecond, 0.6e6),
			"llm":    {Engine: &service.Engine{Slots: 64, CacheTokens: 354_398}},
		},
		Targets: map[string][]int{"ledger": {2, 1, 1}, "driver": {2, 2, 1}, "shop": {2, 2, 1}, "llm": {4, 4, 4}},
		Classes: []Class{
			{
				Name: "sheet", RequestsPerSecond: 15.2, LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, Priority: 1, Value: 3.2, LateValue: 0.48,
				Engine: "llm", PromptTokens: 2890, SharedTokens: 6300, Sessions: 119,
				Stages: []Stage{
					{Service: "ledger", MeanPieces: 1.5, RequestShare: 0.4, ResultBytes: 1_500_000},
					{Service: "ledger", MeanPieces: 1, WorkFactor: 0.3, ResultBytes: 8000},
					{Service: "driver", After: []int{1}, MeanPieces: 4, ResultBytes: 60_000},
					{Service: "shop", After: []int{2}, MeanPieces: 10, ResultBytes: 6000},
				},
			},
			{
				Name: "plan", RequestsPerSecond: 16.3, LatencyObjective: 1900 * time.Millisecond, Deadline: 6 * time.Second, Priority: 0, Value: 2, LateValue: 0.3,
				Engine: "llm", PromptTokens: 1800, SharedTokens: 568, Sessions: 192,
				Stages: []Stage{
					{Service: "ledger", MeanPieces: 1, WorkFactor: 0.3, ResultBytes: 8000},
					{Service: "driver", After: []int{0}, MeanPieces: 4, ResultBytes: 60_000},
					{Service: "shop", After: []int{1}, MeanPieces: 10, ResultBytes: 6000},
				},
			},
			{
				Name: "reply", RequestsPerSecond: 8.1, LatencyObjective: 910 * time.Millisecond, Deadline: 10 * time.Second, Priority: 2, Value: 0.83, LateValue: 0.12,
				Engine: "llm", PromptTokens: 543, SharedTokens: 172, Sessions: 63,
				Stages: []Stage{{Service: "ledger", MeanPieces: 2.5, RequestShare: 0.7, ResultBytes: 1_500_000}},
			},
		},
		ReadTokensPerMillisecond: 56.9,
		FirstTokenTime:           20 * time.Millisecond,
		MeanArrivalBatch:         3,
		WastedSecondPrice:        3.2,
		TransferPricePerGB:       100,
		PricePer1000PromptTokens: 0.02,
	}
}
