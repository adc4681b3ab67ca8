package emulator

import (
	"math"
	"time"
)

// hostLoad is the number of requests per second for each host of a fleet.
const hostLoad = 2.45

// Fleet returns the order desk's site grown to a number of hosts: targets, data centres, sessions and the
// request rate grow with it. A burst of the class that runs through all stages begins after a third of
// the time and lasts until its end: it is the load under which a planner has the most to do.
func Fleet(hosts int, period time.Duration) Site {
	s := OrderDesk()
	rate := 0.0
	for _, c := range s.Classes {
		rate += c.RequestsPerSecond
	}
	factor := float64(hosts) * hostLoad / rate
	s.Name = "fleet"
	s.Daemons = hosts
	s.ArrivalPeriod = period
	s.DataCentres = []string{"a", "b", "c", "d", "e"}
	targets := map[string][]int{}
	for name, counts := range s.Targets {
		total := 0
		for _, n := range counts {
			total += n
		}
		grown := max(int(math.Round(float64(total)*factor)), 1)
		for i := range s.DataCentres {
			targets[name] = append(targets[name], (grown+i)/len(s.DataCentres))
		}
	}
	s.Targets = targets
	classes := append([]Class(nil), s.Classes...)
	for i := range classes {
		classes[i].RequestsPerSecond *= factor
		classes[i].Sessions = int(math.Ceil(float64(classes[i].Sessions) * factor))
	}
	s.Classes = classes
	s.Bursts = []Burst{{Class: classes[1].Name, Start: period / 3, Duration: period, Factor: 1.7}}
	return s
}
