package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

// propagationBound is the time within which the platform requires that a configuration, a
// draining server or the evacuation of a data centre takes effect at every host.
const propagationBound = 2 * time.Second

// sendOne sends one attempt on the route and returns it with its result.
func (f *fleet) sendOne(route string, d *daemon) *attempt {
	a := newAttempt(route, 1)
	a.send(context.Background(), d)
	return a
}

var _ = Describe("an entry host", func() {
	It("serves every kind of request whole, each with its own inputs", func() {
		f := newFleet(3)
		l := f.startLoad()
		time.Sleep(4 * time.Second)
		attempts := l.end()
		f.checkRules(attempts)
		ok, all := served(attempts, time.Time{}, time.Now())
		Expect(all).To(BeNumerically(">", 200))
		Expect(ok).To(Equal(all))
		for _, name := range []string{"billing", "portal"} {
			for _, s := range f.serversOf(name) {
				Eventually(s.Held).WithTimeout(2*time.Second).Should(BeZero(), "results that no request needs are still held at "+s.ID)
			}
		}
	})

	It("answers 503 without a configuration, 404 without a route and 401 without a key", func() {
		f := newFleet(1)
		d := f.daemons[0]
		a := newAttempt("none", 1)
		a.send(context.Background(), d)
		Expect(a.status).To(Equal(404))
		for _, key := range []string{"", "forged"} {
			a = newAttempt("safe", 1)
			a.key = key
			a.send(context.Background(), d)
			Expect(a.status).To(Equal(401))
		}
		f.checkRules(nil)
		d.kill()
		f.store.SetFault(standinplatform.Fault{Down: true})
		d.start()
		Eventually(func() int { return f.sendOne("safe", d).status }).WithTimeout(5 * time.Second).Should(Equal(503))
		Expect(d.isReady()).To(BeFalse())
		f.store.SetFault(standinplatform.Fault{})
		Eventually(d.isReady).WithTimeout(5 * time.Second).Should(BeTrue())
	})

	It("CONFIG: puts versions in force within the bound at every host and never goes back", func() {
		f := newFleet(3)
		for range 3 {
			f.routes = append(f.routes, map[string]any{"name": "added", "host": "h.example", "prefix": "/added/", "kind": "safe", "service": "desk", "timeoutMs": 3000, "targetLatencyMs": 400, "maxAttempts": 2})
			f.configure()
			time.Sleep(propagationBound)
			for _, d := range f.daemons {
				Expect(f.sendOne("added", d).status).To(Equal(200), d.host)
			}
			f.routes = f.routes[:len(f.routes)-1]
			f.configure()
			removed := map[*daemon]bool{}
			for deadline := time.Now().Add(propagationBound); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
				for _, d := range f.daemons {
					status := f.sendOne("added", d).status
					Expect(removed[d] && status == 200).To(BeFalse(), d.host+" reverted to an older version")
					removed[d] = removed[d] || status == 404
				}
			}
			for _, d := range f.daemons {
				Expect(removed[d]).To(BeTrue(), d.host)
			}
		}
	})

	It("CONFIG: revokes a key also at a host whose requests the store rejects", func() {
		f := newFleet(3)
		f.store.SetFault(standinplatform.Fault{CutHosts: []string{f.daemons[1].host}})
		f.keys["bozi"] = []string{"k9"}
		f.configure()
		time.Sleep(propagationBound)
		for _, d := range f.daemons {
			Expect(f.sendOne("safe", d).status).To(Equal(401), d.host)
		}
	})

	It("DRAIN: sends nothing to a leaving server after the bound, store or no store", func() {
		f := newFleet(3)
		l := f.startLoad()
		time.Sleep(time.Second)
		f.store.SetFault(standinplatform.Fault{CutHosts: []string{f.leader().host}})
		leaving := []*server{f.serversOf("desk")[0], f.serversOf("llm")[1], f.serversOf("billing")[2]}
		for _, s := range leaving {
			f.drain(s)
		}
		since := time.Now()
		time.Sleep(propagationBound + 2*time.Second)
		f.checkRules(l.end())
		for _, s := range leaving {
			arrivals := s.Arrivals()
			Expect(arrivals[len(arrivals)-1]).To(BeTemporally("<", since.Add(propagationBound)), s.ID)
		}
	})

	It("EVAC: sends nothing to a data centre that is taken out, and sends again when it is back", func() {
		f := newFleet(3)
		l := f.startLoad()
		time.Sleep(time.Second)
		f.putRow("op", "evacuate/ga-b", map[string]any{})
		outSince := time.Now()
		time.Sleep(propagationBound + time.Second)
		f.store.Remove("op", "evacuate/ga-b")
		backSince := time.Now()
		time.Sleep(2 * time.Second)
		f.checkRules(l.end())
		for _, s := range f.servers {
			if s.dataCentre != "ga-b" {
				continue
			}
			returned := 0
			for _, at := range s.Arrivals() {
				Expect(at.After(outSince.Add(propagationBound)) && at.Before(backSince)).To(BeFalse(), s.ID)
				if at.After(backSince) {
					returned++
				}
			}
			Expect(returned).To(BeNumerically(">", 0), s.ID)
		}
	})

	It("TWICE, REFUSED: never repeats what may have run, and says 'not run' only if true", func() {
		f := newFleet(3)
		for _, s := range f.serversOf("desk") {
			s.SetFault(service.Fault{Lose: 10, Truncate: 10, Shed: 10})
		}
		for _, s := range f.serversOf("llm") {
			s.SetFault(service.Fault{Lose: 10, Shed: 10})
		}
		l := f.startLoad()
		time.Sleep(4 * time.Second)
		attempts := l.end()
		f.checkRules(attempts)
		lostAnswers := 0
		for _, a := range attempts {
			if a.route == "unsafe" && a.status == 502 {
				lostAnswers++
			}
		}
		Expect(lostAnswers).To(BeNumerically(">", 0), "no answer was lost in the run")
	})

	It("sends a request that a server rejected without running it to another one, even if the route allows one attempt", func() {
		f := newFleet(1)
		f.routes[1]["maxAttempts"] = 1
		f.configure()
		time.Sleep(propagationBound)
		f.serversOf("desk")[0].SetFault(service.Fault{Shed: 10})
		var attempts []*attempt
		for n := range 30 {
			a := newAttempt("unsafe", n)
			a.send(context.Background(), f.daemons[0])
			Expect(a.status).To(Equal(200), "attempt %d", n)
			attempts = append(attempts, a)
		}
		f.checkRules(attempts)
	})

	It("ORDER: resumes a stream that breaks off inside an event, whole and in order", func() {
		f := newFleet(3)
		f.serversOf("llm")[0].SetFault(service.Fault{CutEvent: 12})
		l := f.startLoad()
		time.Sleep(4 * time.Second)
		attempts := l.end()
		f.checkRules(attempts)
		resumed := 0
		for _, a := range attempts {
			if a.route == "resumable" {
				Expect(a.complete && a.status == 200).To(BeTrue(), "resumable stream %s: %d %v", a.id, a.status, a.err)
				resumed++
			}
		}
		Expect(resumed).To(BeNumerically(">", 20))
	})

	It("MIXED: drops extra answers and uses only the one to its request", func() {
		f := newFleet(2)
		for _, s := range f.serversOf("desk") {
			s.SetFault(service.Fault{Extra: 30})
		}
		l := f.startLoad()
		time.Sleep(3 * time.Second)
		f.checkRules(l.end())
	})

	It("LOST: a planned stop cuts off no request and takes the host out at once", func() {
		f := newFleet(3)
		l := f.startLoad()
		time.Sleep(time.Second)
		for _, d := range []*daemon{f.leader(), f.daemons[0]} {
			if d.command.ProcessState != nil {
				continue
			}
			stopStarted := time.Now()
			stopped := make(chan time.Duration, 1)
			go func() {
				defer GinkgoRecover()
				stopped <- d.terminate()
			}()
			Eventually(d.isReady).WithTimeout(time.Second).Should(BeFalse())
			time.Sleep(time.Until(stopStarted.Add(2 * time.Second))) // a load balancer excludes a daemon after two failed probes
			l.setExcluded(d, true)
			Expect(<-stopped).To(BeNumerically("<", 8*time.Second))
			d.start()
			Eventually(d.isReady).WithTimeout(5 * time.Second).Should(BeTrue())
			l.setExcluded(d, false)
		}
		attempts := l.end()
		f.checkRules(attempts)
		for _, a := range attempts {
			Expect(a.err).NotTo(HaveOccurred(), "%s %s to %s", a.route, a.id, a.daemon.host)
			Expect(a.status).To(Equal(200), "%s %s to %s", a.route, a.id, a.daemon.host)
		}
	})

	It("LOST: a kept connection is closed only with 'Connection: close' at a planned stop", func() {
		f := newFleet(1)
		d := f.daemons[0]
		conn, err := net.Dial("tcp", d.frontAddress)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		reader := bufio.NewReader(conn)
		send := func(n int) *http.Response {
			_, err := fmt.Fprintf(conn, "POST /safe/2f HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: kept%d\r\nAuthorization: Bearer k1\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", n)
			Expect(err).NotTo(HaveOccurred())
			r, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = bufio.NewReader(r.Body).ReadString(0)
			Expect(err).To(MatchError("EOF"))
			return r
		}
		Expect(send(1).Close).To(BeFalse())
		d.signal(syscall.SIGTERM)
		Eventually(d.isReady).Should(BeFalse())
		r := send(2)
		Expect(r.StatusCode).To(Equal(200))
		Expect(r.Close).To(BeTrue())
	})

	It("keeps serving when the leading daemon is killed, and repeats no request", func() {
		f := newFleet(4)
		l := f.startLoad()
		time.Sleep(2 * time.Second)
		leader := f.leader()
		l.setExcluded(leader, true)
		time.Sleep(300 * time.Millisecond)
		leader.kill()
		killedAt := time.Now()
		time.Sleep(4 * time.Second)
		attempts := l.end()
		f.checkRules(attempts)
		ok, all := served(attempts, killedAt.Add(2*time.Second), time.Now())
		Expect(ok).To(Equal(all))
	})

	It("keeps serving when the leading daemon is frozen, and breaks no rule when it resumes", func() {
		f := newFleet(4)
		l := f.startLoad()
		time.Sleep(2 * time.Second)
		leader := f.leader()
		l.setExcluded(leader, true)
		time.Sleep(300 * time.Millisecond)
		leader.signal(syscall.SIGSTOP)
		frozenAt := time.Now()
		time.Sleep(3 * time.Second)
		leader.signal(syscall.SIGCONT)
		resumedAt := time.Now()
		time.Sleep(3 * time.Second)
		attempts := l.end()
		f.checkRules(attempts)
		ok, all := served(attempts, frozenAt.Add(2*time.Second), resumedAt)
		Expect(ok).To(Equal(all))
		ok, all = served(attempts, resumedAt.Add(2*time.Second), time.Now())
		Expect(ok).To(Equal(all))
	})

	DescribeTable("keeps serving while the store is unavailable",
		func(fault standinplatform.Fault) {
			f := newFleet(3)
			l := f.startLoad()
			time.Sleep(time.Second)
			f.store.SetFault(fault)
			time.Sleep(4 * time.Second)
			f.store.SetFault(standinplatform.Fault{})
			time.Sleep(time.Second)
			attempts := l.end()
			f.checkRules(attempts)
			ok, all := served(attempts, time.Time{}, time.Now())
			Expect(ok).To(Equal(all))
		},
		Entry("refusing", standinplatform.Fault{Down: true}),
		Entry("silent", standinplatform.Fault{Silent: true}),
		Entry("busy", standinplatform.Fault{Busy: true}),
		Entry("slow", standinplatform.Fault{DelayMillis: 500}),
	)

	It("reads the whole store again when its history was compacted", func() {
		f := newFleet(3)
		for range 3 {
			f.store.Compact()
			f.keys["bozi"] = append(f.keys["bozi"], "more")
			f.configure()
			f.store.Compact()
			time.Sleep(propagationBound)
			for _, d := range f.daemons {
				a := newAttempt("safe", 1)
				a.key = "more"
				a.send(context.Background(), d)
				Expect(a.status).To(Equal(200), d.host)
			}
			f.keys["bozi"] = []string{"k1"}
		}
	})

	It("RECOVER: serves again after every daemon was killed", func() {
		f := newFleet(3)
		for _, d := range f.daemons {
			d.kill()
		}
		for _, d := range f.daemons {
			d.start()
		}
		began := time.Now()
		for _, d := range f.daemons {
			Eventually(func() int { return f.sendOne("resumable", d).status }).WithTimeout(12 * time.Second).Should(Equal(200))
		}
		Expect(time.Since(began)).To(BeNumerically("<", 12*time.Second))
	})

	It("ROUTE: doesn't send to an address that another server has taken", func() {
		f := newFleet(2)
		old := f.serversOf("desk")[0]
		address := old.address
		old.Stop()
		f.mu.Lock()
		old.silent = true
		f.mu.Unlock()
		other := &service.Server{ID: "i-other", Profile: service.Profile{Kind: service.Plain}}
		_, err := other.Start(address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Stop)
		l := f.startLoad()
		time.Sleep(2 * time.Second)
		f.checkRules(l.end())
		Expect(other.Journal()).To(BeEmpty())
	})

	It("GONE: stops the work of a client that leaves", func() {
		f := newFleet(1)
		f.routes[0]["targetLatencyMs"] = 3000 // high enough that the silence of a server doesn't end the work first
		f.configure()
		time.Sleep(propagationBound)
		for _, s := range f.serversOf("desk") {
			s.SetFault(service.Fault{Hang: 5})
		}
		a := newAttempt("safe", 1)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		a.send(ctx, f.daemons[0])
		Expect(a.err).To(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		for _, s := range f.serversOf("desk") {
			Expect(s.Running()).To(BeZero(), "%s still works for a client that has disconnected", s.ID)
		}
		arrivals := 0
		for _, s := range f.serversOf("desk") {
			arrivals += len(s.Arrivals())
		}
		time.Sleep(time.Second)
		for _, s := range f.serversOf("desk") {
			arrivals -= len(s.Arrivals())
		}
		Expect(arrivals).To(BeZero(), "requests arrived after the client had disconnected")
	})

	It("CONFIG: gives its final answer at the route's timeout", func() {
		f := newFleet(1)
		f.routes[0]["timeoutMs"] = 500
		f.configure()
		time.Sleep(propagationBound)
		for _, s := range f.serversOf("desk") {
			s.SetFault(service.Fault{Hang: 5})
		}
		a := f.sendOne("safe", f.daemons[0])
		Expect(a.status).To(Equal(504))
		Expect(a.endedAt.Sub(a.sentAt)).To(BeNumerically("~", 500*time.Millisecond, 250*time.Millisecond))
	})
})
