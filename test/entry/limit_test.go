package entry

import (
	"fmt"
	"net"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// limitWindow is the span over which requests are counted against a limit, toldAfter the time after which a host
	// that was sent a limit counts.
	limitWindow = 4 * time.Second
	toldAfter   = 500 * time.Millisecond
)

// allowedInWindow is the number of requests that a server with a limit may get in limitWindow.
func allowedInWindow(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

// limitedRequests returns when requests reached a server that has named a limit, from contactTime after it first did,
// by hosts that it had told. Health checks don't count, and neither do requests that are excused by host and time.
func limitedRequests(s *server, excused func(ip string, at time.Time) bool) []time.Time {
	told := s.LimitedAt()
	var first time.Time
	for _, at := range told {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var times []time.Time
	for _, r := range s.Requests() {
		at, known := told[r.Host]
		if known && r.Path != "/health" && r.At.After(at.Add(toldAfter)) && r.At.After(first.Add(contactTime)) && !excused(r.Host, r.At) {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// mostInWindow returns the largest number of the times within limitWindow.
func mostInWindow(times []time.Time) int {
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// isHost returns a function that reports whether an IP is that of one of the daemons.
func isHost(daemons ...*daemon) func(string, time.Time) bool {
	ips := map[string]bool{}
	for _, d := range daemons {
		ip, _, err := net.SplitHostPort(d.frontAddress)
		Expect(err).NotTo(HaveOccurred())
		ips[ip] = true
	}
	return func(ip string, _ time.Time) bool { return ips[ip] }
}

// checkLimits fails the spec if a server got more requests than its limit allows.
func checkLimits(servers []*server, perSecond float64, excused func(ip string, at time.Time) bool) {
	var violations []string
	for _, s := range servers {
		if most := mostInWindow(limitedRequests(s, excused)); float64(most) > allowedInWindow(perSecond) {
			violations = append(violations, fmt.Sprintf("LIMIT: %s got %d requests in %v, allowed are %v", s.ID, most, limitWindow, allowedInWindow(perSecond)))
		}
	}
	Expect(violations).To(BeEmpty())
}

// checkLimitsUsed fails the spec if a server got less than half of the requests that its limit allows in the last
// seconds.
func checkLimitsUsed(servers []*server, perSecond float64) {
	for _, s := range servers {
		times := limitedRequests(s, isHost())
		Expect(times).NotTo(BeEmpty(), s.ID)
		last, used := times[len(times)-1], 0
		for _, at := range times {
			if last.Sub(at) < limitWindow {
				used++
			}
		}
		Expect(float64(used)).To(BeNumerically(">=", perSecond*limitWindow.Seconds()/2), "requests in the last %v of %s, which takes %v a second", limitWindow, s.ID, perSecond)
	}
}

var _ = Describe("an entry host", func() {
	const perSecond = 1.5

	DescribeTable("LIMIT: keeps to the limits that servers name, also while the leader stops, and uses the others", func(daemons int, perSecond float64) {
		f := newFleet(daemons)
		var limited []*server
		for _, name := range []string{"desk", "billing", "llm"} {
			limited = append(limited, f.serversOf(name)[0])
		}
		l := f.startLoad()
		time.Sleep(time.Second)
		for _, s := range limited {
			s.SetLimit(fmt.Sprint(perSecond))
		}
		time.Sleep(contactTime + limitWindow)
		leader := f.leader()
		l.setExcluded(leader, true)
		leader.terminate()
		time.Sleep(contactTime + limitWindow)
		attempts := l.end()
		f.checkRules(attempts)
		checkLimits(limited, perSecond, isHost(leader))
		ok, all := served(attempts, time.Time{}, time.Now())
		Expect(ok).To(BeNumerically(">=", all*95/100), "requests are served by the servers without a limit")
	},
		Entry("six daemons", 6, 1.5),
		Entry("ten daemons and less than one request a second", 10, 0.5),
	)

	DescribeTable("LIMIT: keeps to the limits if all servers of a service name one, and serves what they take", func(name string) {
		f := newFleet(4)
		limited := f.serversOf(name)
		for _, s := range limited {
			s.SetLimit(fmt.Sprint(perSecond))
		}
		l := f.startLoad()
		time.Sleep(contactTime + 2*limitWindow)
		checkLimits(limited, perSecond, isHost())
		checkLimitsUsed(limited, perSecond)
		for _, s := range limited {
			s.SetLimit("")
		}
		time.Sleep(contactTime)
		endedAt := time.Now()
		time.Sleep(2 * time.Second)
		attempts := l.end()
		f.checkRules(attempts)
		ok, all := served(attempts, endedAt, time.Now())
		Expect(ok).To(BeNumerically(">=", all*95/100), "requests are served after the end of the limits")
	},
		Entry("plain", "desk"),
		Entry("stage targets", "billing"),
		Entry("engines", "llm"),
	)
})
