package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

const (
	fatalQuery, popularQuery = "q=fatal", "q=popular"
	// crashesToLearn is the number of servers that a request has crashed when its bound begins.
	crashesToLearn = 3
)

// sameAttempt returns an attempt that is the same request as all others with the route and the query.
func sameAttempt(route, query string) *attempt {
	a := newAttempt(route, 1)
	a.query, a.body = query, []byte(sameBody(query))
	return a
}

// sameBody returns the body of all attempts of sameAttempt with the query.
func sameBody(query string) string { return "the body of " + query }

// replaceServers replaces the servers of a service by three with the profile.
func (f *fleet) replaceServers(name string, profile service.Profile) {
	for _, s := range f.serversOf(name) {
		f.drain(s)
	}
	for n, dataCentre := range dataCentres {
		f.addServer(fmt.Sprintf("%s-fatal-%d", name, n), name, dataCentre, profile)
	}
}

// fatalAttempts returns when attempts with the fatal query reached servers, in order. Those that are excused by host and
// time are left out.
func (f *fleet) fatalAttempts(excused func(ip string, at time.Time) bool) []time.Time {
	var times []time.Time
	for _, s := range f.servers {
		for _, e := range s.Journal() {
			if strings.HasSuffix(e.URI, "?"+fatalQuery) && e.Body == service.Hash([]byte(sameBody(fatalQuery))) && !excused(e.Host, e.At) {
				times = append(times, e.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// checkFatalAttempts fails the spec if the request with the fatal query reached servers more often than the rule allows
// later than contactTime after its third crash.
func (f *fleet) checkFatalAttempts(excused func(ip string, at time.Time) bool) {
	all := f.fatalAttempts(isHost())
	Expect(len(all)).To(BeNumerically(">=", crashesToLearn))
	late := 0
	for _, at := range f.fatalAttempts(excused) {
		if at.After(all[crashesToLearn-1].Add(contactTime)) {
			late++
		}
	}
	Expect(late).To(BeNumerically("<=", maxLateSends), "sends of the request after the bound; %d in all", len(all))
}

// sendSame sends attempts with the query to random daemons at an interval, until the context ends, and adds them to the
// list.
func (f *fleet) sendSame(ctx doneSignal, group *sync.WaitGroup, interval time.Duration, route, query string, list *[]*attempt) {
	group.Add(1)
	go func() {
		defer group.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			a := sameAttempt(route, query)
			*list = append(*list, a)
			d := f.daemons[rand.IntN(len(f.daemons))]
			group.Add(1)
			go func() {
				defer group.Done()
				a.send(context.Background(), d)
			}()
		}
	}()
}

var _ = Describe("an entry host", func() {
	DescribeTable("BUDGET: sends a request that has crashed three servers to no others, and serves the same requests as before", func(route, name string, disturb func(*fleet) []*daemon) {
		f := newFleet(4)
		profile := f.serversOf(name)[0].Profile
		profile.FatalQuery, profile.FatalBody = fatalQuery, sameBody(fatalQuery)
		f.replaceServers(name, profile)
		time.Sleep(propagationBound)
		ctx, cancel := specContext()
		DeferCleanup(cancel)
		var group sync.WaitGroup
		var popular, fatal []*attempt
		l := f.startLoad()
		f.sendSame(ctx, &group, 100*time.Millisecond, route, popularQuery, &popular)
		time.Sleep(time.Second)
		f.sendSame(ctx, &group, 400*time.Millisecond, route, fatalQuery, &fatal)
		var excused []*daemon
		if disturb != nil {
			time.Sleep(300 * time.Millisecond)
			excused = disturb(f)
		}
		time.Sleep(4 * contactTime)
		cancel()
		group.Wait()
		attempts := l.end()
		var otherBodies []*attempt
		for n := range 20 {
			a := sameAttempt(route, fatalQuery)
			a.body = fmt.Appendf(nil, "body %d", n)
			a.send(context.Background(), f.daemons[n%len(f.daemons)])
			otherBodies = append(otherBodies, a)
		}
		f.checkRules(slices.Concat(attempts, popular, fatal, otherBodies))
		for _, a := range otherBodies {
			Expect(a.status).To(Equal(200), "a request that differs from the fatal one in its body only")
		}
		f.checkFatalAttempts(isHost(excused...))
		all := f.fatalAttempts(isHost())
		for kind, sound := range map[string][]*attempt{"other": attempts, "popular": popular} {
			ok, count := served(sound, all[len(all)-1].Add(contactTime), time.Now())
			Expect(count).To(BeNumerically(">", 10))
			Expect(float64(ok)/float64(count)).To(BeNumerically(">=", 0.95), "%s requests that are served after the last crash", kind)
		}
	},
		Entry("safe", "safe", "desk", nil),
		Entry("unsafe", "unsafe", "desk", nil),
		Entry("streams", "resumable", "llm", nil),
		Entry("streams that run once", "once", "llm", nil),
		Entry("while the leader is killed", "safe", "desk", func(f *fleet) []*daemon {
			d := f.leader()
			d.kill()
			d.start()
			return []*daemon{d}
		}),
		Entry("while a daemon freezes", "safe", "desk", func(f *fleet) []*daemon {
			d := f.leader()
			d.signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			d.signal(syscall.SIGCONT)
			return []*daemon{d}
		}),
	)
})
