package emulator_test

import (
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/emulator"
)

// seeds holds several seeds, so that no single draw decides a comparison.
var seeds = []uint64{1, 2, 3}

// creditTolerance is about the share of one request of a run. Without overload all policies but
// PerDaemon serve every request, so a smaller difference says nothing.
const creditTolerance = 0.001

// meanNetCredit returns the mean of the net credit over the seeds.
func meanNetCredit(site emulator.Site, policy emulator.Policy) float64 {
	sum := 0.0
	for _, seed := range seeds {
		sum += emulator.Run(site, policy, seed).NetCredit()
	}
	return sum / float64(len(seeds))
}

// TestSharedDispatchEarnsNoLessThanBaselines runs each site under each policy.
func TestSharedDispatchEarnsNoLessThanBaselines(t *testing.T) {
	for _, site := range emulator.Sites() {
		t.Run(site.Name, func(t *testing.T) {
			t.Parallel()
			shared := meanNetCredit(site, emulator.Shared)
			for _, policy := range emulator.Policies() {
				if policy == emulator.Shared {
					continue
				}
				other := meanNetCredit(site, policy)
				t.Logf("Shared %.3f, %s %.3f", shared, policy, other)
				if shared < other-creditTolerance {
					t.Errorf("Shared earns %.3f, %s earns %.3f", shared, policy, other)
				}
			}
		})
	}
}

// TestPerDaemonDispatchCallsFullTargets checks the fault that the shared dispatch avoids: with a
// planner in each daemon, planners call targets that the others have filled, and even without
// overload about half of the credit is lost.
func TestPerDaemonDispatchCallsFullTargets(t *testing.T) {
	shared := emulator.Run(emulator.OrderDesk(), emulator.Shared, 1)
	perDaemon := emulator.Run(emulator.OrderDesk(), emulator.PerDaemon, 1)
	if shared.FullCalls > 0 {
		t.Errorf("%d calls of the shared dispatch found a target full", shared.FullCalls)
	}
	if perDaemon.FullCalls < perDaemon.Calls/2 {
		t.Errorf("only %d of %d calls of the PerDaemon dispatch found a target full", perDaemon.FullCalls, perDaemon.Calls)
	}
	if perDaemon.Credit()*2 > shared.Credit()*1.2 {
		t.Errorf("credit %.3f with the PerDaemon dispatch, %.3f with the shared dispatch", perDaemon.Credit(), shared.Credit())
	}
}

// TestMostUrgentClassAttainsNoLessThanOthers runs each site: among classes that run through the
// same services, the attainment of the class with the highest priority must not be over 0.15
// below that of another. This bound is a requirement of the users of the system.
func TestMostUrgentClassAttainsNoLessThanOthers(t *testing.T) {
	for _, site := range emulator.Sites() {
		urgent := site.Classes[1] // priority 0, the highest, at each site
		for _, seed := range seeds {
			r := emulator.Run(site, emulator.Shared, seed)
			attained := r.Class(urgent.Name).Attainment()
			for _, c := range site.Classes {
				if other := r.Class(c.Name).Attainment(); usesAllServices(urgent, c) && other > attained+0.15 {
					t.Errorf("%s, seed %d: %s attained %.3f, the most urgent class %.3f", site.Name, seed, c.Name, other, attained)
				}
			}
		}
	}
}

// usesAllServices reports whether b's stages use every service that a's stages use.
func usesAllServices(a, b emulator.Class) bool {
	used := map[string]bool{}
	for _, st := range b.Stages {
		used[st.Service] = true
	}
	for _, st := range a.Stages {
		if !used[st.Service] {
			return false
		}
	}
	return true
}
