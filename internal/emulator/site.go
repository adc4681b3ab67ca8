package emulator

import (
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Sites returns the sites that are known by name.
func Sites() []Site {
	return []Site{
		OrderDesk(), Rounds(),
		OrderDesk().With(burst), Rounds().With(burst),
		OrderDesk().With(crash), Rounds().With(crash),
		OrderDesk().With(storm), Rounds().With(storm),
	}
}

// With returns a site with a change.
func (s Site) With(change func(*Site)) Site {
	change(&s)
	return s
}

// burst is a class at two to three times its rate, one after the other.
func burst(s *Site) {
	s.Name += "-burst"
	s.Bursts = []Burst{
		{Class: s.Classes[0].Name, At: 6 * time.Second, For: 6 * time.Second, Factor: 2.5},
		{Class: s.Classes[1].Name, At: 18 * time.Second, For: 6 * time.Second, Factor: 2.5},
	}
}

// crash is a burst while a third of the first stage's targets is gone.
func crash(s *Site) {
	burst(s)
	s.Name += "-crash"
	s.Crashes = []Crash{{Service: s.Classes[0].Stages[0].Service, Targets: 2, At: 16 * time.Second, For: 6 * time.Second}}
}

// storm is twice the load on all classes while two targets of each stage are gone.
func storm(s *Site) {
	s.Name += "-storm"
	s.Bursts = []Burst{{At: 8 * time.Second, For: 12 * time.Second, Factor: 2}}
	for name, svc := range s.Services {
		if svc.Batch != nil {
			s.Crashes = append(s.Crashes, Crash{Service: name, Targets: 2, At: 8 * time.Second, For: 12 * time.Second})
		}
	}
}

func batch(size int, piece time.Duration, roomBytes int64) service.Service {
	return service.Service{Batch: &service.Batch{
		Slots:             1,
		MaxQueued:         2,
		MaxPieces:         size,
		CallTime:          200 * time.Millisecond,
		PieceTime:         piece,
		ResultMemoryBytes: roomBytes,
		ResultLifetime:    4 * time.Second,
	}}
}

// OrderDesk is a wholesaler's site: one class with one large stage under a short aim, two
// with three stages each.
func OrderDesk() Site {
	return Site{
		Name:        "order-desk",
		Daemons:     9,
		Length:      30 * time.Second,
		DataCentres: []string{"a", "b", "c"},
		Services: map[string]service.Service{
			"billing": batch(8, 21*time.Millisecond, 18e6),
			"picking": batch(22, 7800*time.Microsecond, 2.9e6),
			"portal":  batch(36, 4800*time.Microsecond, 0.49e6),
			"llm":     {Engine: &service.Engine{Slots: 64, CacheTokens: 475_968}},
		},
		Targets: map[string][]int{"billing": {2, 2, 1}, "picking": {2, 2, 1}, "portal": {2, 2, 1}, "llm": {3, 3, 3}},
		Classes: []Class{
			{
				Name: "reorder", Rate: 15.6, Aim: time.Second, Deadline: 6 * time.Second, Priority: 1, Worth: 3.4, LateWorth: 0.51,
				Engine: "llm", Prompt: 2890, Shared: 6300, Sessions: 123,
				Stages: []Stage{{Service: "billing", Pieces: 2.5, Share: 0.7, Bytes: 1_500_000}},
			},
			{
				Name: "quote", Rate: 19.2, Aim: 1800 * time.Millisecond, Deadline: 6 * time.Second, Priority: 0, Worth: 1.8, LateWorth: 0.27,
				Engine: "llm", Prompt: 1800, Shared: 568, Sessions: 151,
				Stages: []Stage{
					{Service: "billing", Pieces: 1, Work: 0.3, Bytes: 8000},
					{Service: "picking", After: []int{0}, Pieces: 6, Bytes: 60_000},
					{Service: "portal", After: []int{1}, Pieces: 10, Bytes: 6000},
				},
			},
			{
				Name: "blurb", Rate: 6.2, Aim: 1800 * time.Millisecond, Deadline: 20 * time.Second, Priority: 2, Worth: 1.1, LateWorth: 0.17,
				Engine: "llm", Prompt: 543, Shared: 172, Sessions: 73,
				Stages: []Stage{
					{Service: "billing", Pieces: 1.5, Share: 0.4, Bytes: 1_500_000},
					{Service: "billing", Pieces: 1, Work: 0.3, Bytes: 8000},
					{Service: "picking", After: []int{1}, Pieces: 6, Bytes: 60_000},
					{Service: "portal", After: []int{2}, Pieces: 10, Bytes: 6000},
				},
			},
		},
		ReadTokensPerMillisecond: 93.6,
		FirstToken:               90 * time.Millisecond,
		Clump:                    3,
		WastedPrice:              3.2,
		AcrossPrice:              100,
		ReadPrice:                0.02,
	}
}

// Rounds is a franchise's site: its stages are near saturation, and two of its classes
// run through all of them.
func Rounds() Site {
	return Site{
		Name:        "rounds",
		Daemons:     6,
		Length:      30 * time.Second,
		DataCentres: []string{"north", "west", "east"},
		Services: map[string]service.Service{
			"ledger": batch(8, 21*time.Millisecond, 18e6),
			"driver": batch(18, 9500*time.Microsecond, 2.4e6),
			"shop":   batch(46, 3700*time.Microsecond, 0.6e6),
			"llm":    {Engine: &service.Engine{Slots: 64, CacheTokens: 354_398}},
		},
		Targets: map[string][]int{"ledger": {2, 1, 1}, "driver": {2, 2, 1}, "shop": {2, 2, 1}, "llm": {4, 4, 4}},
		Classes: []Class{
			{
				Name: "sheet", Rate: 15.2, Aim: 2 * time.Second, Deadline: 6 * time.Second, Priority: 1, Worth: 3.2, LateWorth: 0.48,
				Engine: "llm", Prompt: 2890, Shared: 6300, Sessions: 119,
				Stages: []Stage{
					{Service: "ledger", Pieces: 1.5, Share: 0.4, Bytes: 1_500_000},
					{Service: "ledger", Pieces: 1, Work: 0.3, Bytes: 8000},
					{Service: "driver", After: []int{1}, Pieces: 4, Bytes: 60_000},
					{Service: "shop", After: []int{2}, Pieces: 10, Bytes: 6000},
				},
			},
			{
				Name: "plan", Rate: 16.3, Aim: 1900 * time.Millisecond, Deadline: 6 * time.Second, Priority: 0, Worth: 2, LateWorth: 0.3,
				Engine: "llm", Prompt: 1800, Shared: 568, Sessions: 192,
				Stages: []Stage{
					{Service: "ledger", Pieces: 1, Work: 0.3, Bytes: 8000},
					{Service: "driver", After: []int{0}, Pieces: 4, Bytes: 60_000},
					{Service: "shop", After: []int{1}, Pieces: 10, Bytes: 6000},
				},
			},
			{
				Name: "reply", Rate: 8.1, Aim: 910 * time.Millisecond, Deadline: 10 * time.Second, Priority: 2, Worth: 0.83, LateWorth: 0.12,
				Engine: "llm", Prompt: 543, Shared: 172, Sessions: 63,
				Stages: []Stage{{Service: "ledger", Pieces: 2.5, Share: 0.7, Bytes: 1_500_000}},
			},
		},
		ReadTokensPerMillisecond: 56.9,
		FirstToken:               20 * time.Millisecond,
		Clump:                    3,
		WastedPrice:              3.2,
		AcrossPrice:              100,
		ReadPrice:                0.02,
	}
}
