package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

const (
	fatalPart = "dead0001"
	// contactTime is contactMs of the settings: the time after which a daemon must know what others
	// have seen. maxLateSends is the number of requests with a fatal part that may reach servers
	// after it, counted from the fifth crash.
	contactTime  = 3 * time.Second
	maxLateSends = 3
	crashesKnown = 5
)

// addFatalEngines replaces the llm servers by ones that crash under the fatal part.
func (f *fleet) addFatalEngines(count int) {
	for _, s := range f.serversOf("llm") {
		f.drain(s)
	}
	for n := range count {
		f.addServer(fmt.Sprintf("fatal-%d", n), "llm", dataCentres[n%len(dataCentres)], service.Profile{
			Kind: service.Engine, Slots: 64, Work: 10 * time.Millisecond, Events: 8, Gap: 5 * time.Millisecond, NeedsInputs: true, FatalPart: fatalPart,
		})
	}
}

// fatalSends returns when requests with the fatal part reached servers, in order.
func (f *fleet) fatalSends() []time.Time {
	var sends []time.Time
	for _, s := range f.servers {
		for _, e := range s.Journal() {
			if strings.Contains(e.Parts, fatalPart+":") {
				sends = append(sends, e.At)
			}
		}
	}
	sort.Slice(sends, func(i, j int) bool { return sends[i].Before(sends[j]) })
	return sends
}

// sendTainted sends streams for a time, of which a share have the fatal part. All share their
// account and their other parts. It returns the attempts without the fatal part and all attempts.
func (f *fleet) sendTainted(duration time.Duration, share float64) (sound, all []*attempt) {
	const interval = 20 * time.Millisecond
	var group sync.WaitGroup
	for n := 0; n < int(duration/interval); n++ {
		a := newAttempt("resumable", 1)
		tainted := rand.Float64() < share
		a.sharedParts = "5c1e07a2:30,91bd3f06:30"
		if tainted {
			a.sharedParts = "5c1e07a2:30," + fatalPart + ":20,91bd3f06:10"
		} else {
			sound = append(sound, a)
		}
		all = append(all, a)
		d := f.daemons[rand.IntN(len(f.daemons))]
		group.Add(1)
		go func() {
			defer group.Done()
			a.send(context.Background(), d)
		}()
		time.Sleep(interval)
	}
	group.Wait()
	return sound, all
}

var _ = Describe("an entry host", func() {
	It("BUDGET: sends no more requests with a part that has crashed servers, and serves those that share the others", func() {
		f := newFleet(3)
		f.addFatalEngines(6)
		time.Sleep(propagationBound)
		before, all := f.sendTainted(2*time.Second, 0)
		okBefore, allBefore := served(before, time.Time{}, time.Now())
		Expect(okBefore).To(BeNumerically(">", allBefore*9/10))
		sound, tainted := f.sendTainted(12*time.Second, 0.08)
		f.checkRules(append(all, tainted...))
		sends := f.fatalSends()
		Expect(len(sends)).To(BeNumerically(">", 0))
		if len(sends) > crashesKnown {
			late := 0
			for _, at := range sends {
				if at.After(sends[crashesKnown-1].Add(contactTime)) {
					late++
				}
			}
			Expect(late).To(BeNumerically("<=", maxLateSends), "requests with the fatal part reached servers after the bound; %d did in all", len(sends))
		}
		from := sends[min(len(sends), crashesKnown)-1].Add(2 * contactTime)
		ok, count := served(sound, from, time.Now())
		Expect(count).To(BeNumerically(">=", 20))
		Expect(float64(ok)/float64(count)).To(BeNumerically(">=", 0.5*float64(okBefore)/float64(allBefore)), "sound requests with the same account and first part are served less than half as often as before")
	})
})
