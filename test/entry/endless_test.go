package entry

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

// peakMemory returns the largest resident size of the process so far, in bytes.
func (d *daemon) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			Expect(err).NotTo(HaveOccurred())
			return kilobytes << 10
		}
	}
	Fail("the status has no VmHWM")
	return 0
}

// setFault sets a fault at all servers of a service.
func (f *fleet) setFault(serviceName string, fault service.Fault) {
	for _, s := range f.serversOf(serviceName) {
		s.SetFault(fault)
	}
}

var _ = Describe("an entry host", func() {
	const (
		// maxMemory is the share of 184 MB, the smallest host's memory, that is left for the heap.
		maxMemory = 110 << 20
		// concurrent is the number of such answers at a time.
		concurrent = 32
	)

	DescribeTable("MIXED: drops bytes without end that are no answer, with bounded memory",
		func(route, serviceName string, fault service.Fault) {
			f := newFleet(1)
			d := f.daemons[0]
			Expect(f.sendOne(route, d).status).To(Equal(200))
			f.setFault(serviceName, fault)
			var group sync.WaitGroup
			attempts := make([]*attempt, concurrent)
			for n := range attempts {
				attempts[n] = newAttempt(route, 1)
				attempts[n].deadline = 6 * time.Second
				group.Add(1)
				go func() {
					defer group.Done()
					attempts[n].send(context.Background(), d)
				}()
			}
			group.Wait()
			for _, a := range attempts {
				Expect(a.status == 200 && a.complete).To(BeFalse(), "the client got a complete answer: %.100q", a.answer)
				Expect(a.endedAt.Sub(a.sentAt)).To(BeNumerically("<", a.deadline+time.Second))
			}
			Expect(d.peakMemory()).To(BeNumerically("<", maxMemory))
			f.setFault(serviceName, service.Fault{})
			Eventually(func() int { return f.sendOne(route, d).status }).WithTimeout(5 * time.Second).Should(Equal(200))
			for _, s := range f.serversOf(serviceName) {
				Eventually(s.Running).WithTimeout(3*time.Second).Should(BeZero(), "the connection to "+s.ID+" is still open")
			}
		},
		Entry("a head, plain", "safe", "desk", service.Fault{EndlessHead: 1000}),
		Entry("a body, plain", "safe", "desk", service.Fault{EndlessBody: 1000}),
		Entry("a head, stream", "resumable", "llm", service.Fault{EndlessHead: 1000}),
		Entry("a body, stream", "resumable", "llm", service.Fault{EndlessBody: 1000}),
		Entry("a body, stream that runs once", "once", "llm", service.Fault{EndlessBody: 1000}),
	)

	It("keeps nothing of a store's answers without end", func() {
		f := newFleet(1)
		d := f.daemons[0]
		Expect(f.sendOne("safe", d).status).To(Equal(200))
		f.store.SetFault(standinplatform.Fault{Endless: true})
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			Expect(f.sendOne("safe", d).status).To(Equal(200), "the daemon has ended or follows no configuration")
		}
		Expect(d.peakMemory()).To(BeNumerically("<", maxMemory))
		f.store.SetFault(standinplatform.Fault{})
		f.routes[0]["prefix"] = "/later/"
		f.configure()
		Eventually(func() int { return f.sendOne("later", d).status }).WithTimeout(5 * time.Second).Should(Equal(200))
	})
})
