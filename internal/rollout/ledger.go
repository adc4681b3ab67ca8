package rollout

import (
	"math"
	"time"
)

// rateTime is the time over which the rate of a daemon's requests is averaged.
const rateTime = 3 * time.Second

// ledger holds the latest report of each incarnation of each daemon, and sums over them.
type ledger struct {
	daemons map[daemonKey]*daemon
	// reached, unused and oldInProgress sum the reports. OldInProgress is that of the current incarnations.
	reached, unused int64
	// hosts holds the current incarnation of each host.
	hosts map[string]*daemon
}

type daemonKey struct{ host, incarnation string }

// daemon is one incarnation of a daemon.
type daemon struct {
	key    daemonKey
	last   Report
	routes map[string]RouteCounts
	seenAt time.Time
	// rate is the number of requests a second, 0 before the second report.
	rate float64
	// fraction is the part of a request that is to be granted but was not yet.
	fraction  float64
	grantedAt time.Time
}

// receive takes a report and returns by how much the answers have increased. It returns false for a report that
// is older than the last one of its incarnation or has negative counts.
func (l *ledger) receive(now time.Time, r Report) (increase []RouteCounts, ok bool) {
	if r.Host == "" || r.Reached < 0 || r.ExpiredUnused < 0 || r.OldInProgress < 0 {
		return nil, false
	}
	key := daemonKey{r.Host, r.Incarnation}
	d := l.daemons[key]
	if d == nil {
		if l.daemons == nil {
			l.daemons, l.hosts = map[daemonKey]*daemon{}, map[string]*daemon{}
		}
		d = &daemon{key: key, routes: map[string]RouteCounts{}, fraction: spread(r.Host)}
		l.daemons[key] = d
		l.hosts[r.Host] = d
	} else if r.Reached < d.last.Reached || r.ExpiredUnused < d.last.ExpiredUnused || r.Phase < d.last.Phase {
		return nil, false
	} else if age := now.Sub(d.seenAt).Seconds(); age > 0 {
		weight := 1 - math.Exp(-age/rateTime.Seconds())
		rate := float64(r.Reached-d.last.Reached) / age
		if d.rate == 0 {
			weight = 1
		}
		d.rate += weight * (rate - d.rate)
	}
	l.reached += r.Reached - d.last.Reached
	l.unused += r.ExpiredUnused - d.last.ExpiredUnused
	for _, c := range r.Routes {
		was := d.routes[c.Route]
		more := RouteCounts{Route: c.Route, Old: c.Old.increase(was.Old), New: c.New.increase(was.New)}
		if more.Old != (Sample{}) || more.New != (Sample{}) {
			increase = append(increase, more)
			was.Old.Add(more.Old)
			was.New.Add(more.New)
			d.routes[c.Route] = was
		}
	}
	d.last, d.seenAt = r, now
	d.last.Routes = nil
	return increase, true
}

// rate returns the number of requests a second of the hosts.
func (l *ledger) rate(hosts []Host) float64 {
	var sum float64
	for _, h := range hosts {
		if d := l.hosts[h.Name]; d != nil {
			sum += d.rate
		}
	}
	return sum
}

// oldInProgress returns the number of requests in progress at old targets.
func (l *ledger) oldInProgress(hosts []Host) int {
	var sum int
	for _, h := range hosts {
		if d := l.hosts[h.Name]; d != nil {
			sum += d.last.OldInProgress
		}
	}
	return sum
}

// applied reports whether all hosts apply the phase or a higher one.
func (l *ledger) applied(hosts []Host, p Phase) bool {
	for _, h := range hosts {
		if d := l.hosts[h.Name]; d == nil || d.last.Phase < p {
			return false
		}
	}
	return true
}

// spread returns a number between 0 and 1 that depends on the host only, so that hosts with little traffic
// don't get their first grants at the same time.
func spread(host string) float64 {
	hash := uint32(2166136261)
	for i := range len(host) {
		hash = (hash ^ uint32(host[i])) * 16777619
	}
	return float64(hash%1009) / 1009
}
