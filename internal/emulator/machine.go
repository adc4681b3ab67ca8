package emulator

import (
	"math/rand/v2"
	"time"
)

// Machine is a simulated machine that is slow for a part of the time. Its exported fields are set before use.
type Machine struct {
	Random *rand.Rand
	// SlowPace is the pace while the machine is slow, 1 is the pace otherwise.
	SlowPace float64
	// UsualFor and SlowFor are the mean times between changes.
	UsualFor, SlowFor time.Duration

	slow  bool
	until time.Time
}

// NeighbourMachine returns a machine that other work on it slows by 2.5 for 15 in 100 of the time, for about 600 ms.
func NeighbourMachine(random *rand.Rand) *Machine {
	return &Machine{Random: random, SlowPace: 2.5, UsualFor: 3400 * time.Millisecond, SlowFor: 600 * time.Millisecond}
}

// Pace returns the pace at a time, which must not be before that of the last call.
func (m *Machine) Pace(now time.Time) float64 {
	if m.until.IsZero() {
		m.slow = true // until the change below
	}
	if !now.Before(m.until) {
		m.slow = !m.slow
		mean := m.UsualFor
		if m.slow {
			mean = m.SlowFor
		}
		m.until = now.Add(time.Duration((0.5 + m.Random.Float64()) * float64(mean)))
	}
	if m.slow {
		return m.SlowPace
	}
	return 1
}
