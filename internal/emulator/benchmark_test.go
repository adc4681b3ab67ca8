package emulator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/emulator"
)

// BenchmarkDispatch measures the processor time and the garbage of a request at the one planner of a
// fleet in a burst, the simulation included. docs/CAPACITY.md holds its figures.
func BenchmarkDispatch(b *testing.B) {
	for _, hosts := range []int{24, 295, 1400} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			b.ReportAllocs()
			requests, credit := 0, 0.0
			for b.Loop() {
				r := emulator.Run(emulator.Fleet(hosts, 3*time.Second), emulator.Shared, 1)
				for _, c := range r.Classes {
					requests += c.Requests
				}
				credit = r.Credit()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(requests), "us/request")
			b.ReportMetric(credit, "credit")
		})
	}
}
