package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
)

// incidentSoakDuration is the time in which new faults are injected. The rules hold from contactTime on.
const incidentSoakDuration = 12 * time.Second

var _ = DescribeTable("LIMIT, BUDGET: keeps to the limits of servers and sends no fatal request while daemons and the store fail",
	func(seed uint64) {
		random := rand.New(rand.NewPCG(seed, 1))
		perSecond := []float64{0.4, 1, 2.5}[random.IntN(3)]
		f := newFleet(6)
		profile := f.serversOf("desk")[0].Profile
		profile.FatalQuery, profile.FatalBody = fatalQuery, sameBody(fatalQuery)
		f.replaceServers("desk", profile)
		time.Sleep(propagationBound)
		s := &soak{fleet: f, random: random, faulty: map[*daemon]bool{}, disturbances: map[*daemon][]disturbance{}, load: f.startLoad()}
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Printf("limit %v, faults:\n%s\n", perSecond, strings.Join(s.faultLog, "\n"))
			}
		})
		ctx, cancel := specContext()
		DeferCleanup(cancel)
		var group sync.WaitGroup
		var fatal []*attempt
		f.sendSame(ctx, &group, 300*time.Millisecond, "safe", fatalQuery, &fatal)
		var limited []*server
		for _, name := range []string{"billing", "llm"} {
			servers := f.serversOf(name)
			limited = append(limited, servers[:1+random.IntN(len(servers))]...)
		}
		for _, server := range limited {
			server.SetLimit(fmt.Sprint(perSecond))
		}
		faults := []func(){s.killDaemon, s.pauseDaemon, s.stopDaemon, func() {
			list := []standinplatform.Fault{{Down: true}, {Silent: true}, {DelayMillis: 300}, {LoseAnswers: 3}}
			fault := list[random.IntN(len(list))]
			s.record("store %+v", fault)
			f.store.SetFault(fault)
			s.endAfter(s.randomDuration(300*time.Millisecond, 2*time.Second), func() { f.store.SetFault(standinplatform.Fault{}) })
		}}
		for end := time.Now().Add(incidentSoakDuration); time.Now().Before(end); time.Sleep(s.randomDuration(100*time.Millisecond, 1500*time.Millisecond)) {
			faults[random.IntN(len(faults))]()
		}
		s.group.Wait()
		f.store.SetFault(standinplatform.Fault{})
		cancel()
		group.Wait()
		f.checkRules(slices.Concat(s.load.end(), fatal))
		checkLimits(limited, perSecond, s.isDisturbed)
		f.checkFatalAttempts(s.isDisturbed)
	},
	func() []TableEntry {
		var entries []TableEntry
		for _, seed := range soakSeeds() {
			entries = append(entries, Entry(fmt.Sprintf("seed %d", seed), seed))
		}
		return entries
	}(),
)
