package test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	standintarget "github.com/sequoiapick/sequoiapick/internal/standin/target"
)

// seeds returns the seeds of the environment variable SEEDS, separated by spaces, or the
// defaults if it has none. Fields that aren't numbers are ignored.
func seeds(defaults ...uint64) []uint64 {
	var chosen []uint64
	for _, field := range strings.Fields(os.Getenv("SEEDS")) {
		seed, err := strconv.ParseUint(field, 10, 64)
		if err == nil {
			chosen = append(chosen, seed)
		}
	}
	if len(chosen) == 0 {
		return defaults
	}
	return chosen
}

// specPerSeed defines one spec for each seed.
func specPerSeed(name string, defaults []uint64, body func(seed uint64)) {
	for _, seed := range seeds(defaults...) {
		It(fmt.Sprintf("%s, seed %d", name, seed), func() { body(seed) })
	}
}

// random returns a random number generator with the seed.
func random(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 7))
}

// faultInjector injects random faults of the given kinds into a cluster.
type faultInjector struct {
	cluster *cluster
	rng     *rand.Rand
	// kinds are the faults to choose from, named as in inject; a kind that is listed twice
	// is chosen twice as often.
	kinds []string
	mu    sync.Mutex
	// injected describes the faults so far.
	injected []string
}

// record adds a line to the list of injected faults.
func (fi *faultInjector) record(format string, args ...any) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.injected = append(fi.injected, fmt.Sprintf(format, args...))
}

// run injects faults at random times for the duration, several at once if they overlap, and
// then ends them all.
func (fi *faultInjector) run(d time.Duration) {
	end := time.Now().Add(d)
	var group sync.WaitGroup
	for time.Now().Before(end) {
		kind := fi.kinds[fi.rng.IntN(len(fi.kinds))]
		daemon := fi.cluster.daemons[fi.rng.IntN(len(fi.cluster.daemons))]
		duration := time.Duration(300+fi.rng.IntN(1500)) * time.Millisecond
		group.Go(func() { fi.inject(kind, daemon, duration) })
		time.Sleep(time.Duration(200+fi.rng.IntN(900)) * time.Millisecond)
	}
	group.Wait()
	fi.cluster.setPlatformFault(standinplatform.Fault{})
	fi.setOrderFaults(standintarget.Fault{})
	fi.setPartition("", false)
	GinkgoWriter.Println("faults:", strings.Join(fi.injected, ", "))
}

// faultyDaemons holds the daemons that are killed, frozen or stopped now, so that no second
// fault of these kinds hits them.
var faultyDaemons sync.Map

// inject injects one fault. A fault that lasts ends after the duration, or after 2 s more for
// "host gone". The faults are:
//
//	kill              the daemon is killed and started again
//	freeze            the daemon is stopped by SIGSTOP and continued
//	planned stop      the daemon is stopped by SIGTERM and started again at once
//	host gone         the daemon is killed and the platform doesn't list its host
//	restart target    one target, chosen by the order of the map, becomes cold in a new incarnation
//	cut               the data centre of the daemon is separated from the others
//	silence           the open connections from the daemon's peers stay open and transfer nothing
//	platform down     the platform fails all calls
//	platform cut      the platform fails the calls of the data centre of the daemon
//	platform slow     every call of the platform takes 400 ms longer
//	answers lost      the platform applies the next 6 transactions without an answer
//	stale reads       the platform serves reads from old rows
//	orders leaving    the targets of kind order report that they are leaving
//	orders cut short  these targets close the connection during each of their next 3 answers
//	orders silent     these targets delay each of their next 2 answers by a minute
func (fi *faultInjector) inject(kind string, daemon *daemonProcess, duration time.Duration) {
	switch kind {
	case "kill", "freeze", "planned stop", "host gone":
		if _, busy := faultyDaemons.LoadOrStore(daemon, true); busy {
			return
		}
		defer faultyDaemons.Delete(daemon)
	}
	fi.record("%s %s %v", kind, daemon.host, duration)
	switch kind {
	case "kill":
		daemon.kill()
		time.Sleep(duration)
		daemon.start()
		fi.cluster.awaitListening(daemon)
	case "freeze":
		daemon.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		daemon.signal(syscall.SIGCONT)
	case "planned stop":
		_ = daemon.stop()
		daemon.start()
		fi.cluster.awaitListening(daemon)
	case "host gone":
		daemon.kill()
		fi.cluster.listHosts(daemon.host)
		time.Sleep(duration + 2*time.Second)
		fi.cluster.listHosts()
		daemon.start()
		fi.cluster.awaitListening(daemon)
	case "restart target":
		for name := range fi.cluster.targets {
			fi.cluster.setTargetFault(name, standintarget.Fault{Restart: true})
			return
		}
	case "cut":
		fi.setPartition(daemon.dataCentre, true)
		time.Sleep(duration)
		fi.setPartition(daemon.dataCentre, false)
	case "silence":
		daemon.relay.silence()
	case "platform down":
		fi.cluster.setPlatformFault(standinplatform.Fault{Down: true})
		time.Sleep(duration)
		fi.cluster.setPlatformFault(standinplatform.Fault{})
	case "platform cut":
		fi.cluster.setPlatformFault(standinplatform.Fault{CutHosts: []string{daemon.dataCentre}})
		time.Sleep(duration)
		fi.cluster.setPlatformFault(standinplatform.Fault{})
	case "platform slow":
		fi.cluster.setPlatformFault(standinplatform.Fault{DelayMillis: 400})
		time.Sleep(duration)
		fi.cluster.setPlatformFault(standinplatform.Fault{})
	case "answers lost":
		fi.cluster.setPlatformFault(standinplatform.Fault{LoseAnswers: 6})
	case "orders leaving":
		fi.setOrderFaults(standintarget.Fault{Leaving: true})
		time.Sleep(duration)
		fi.setOrderFaults(standintarget.Fault{})
	case "orders cut short":
		fi.setOrderFaults(standintarget.Fault{CutShort: 3})
	case "orders silent":
		fi.setOrderFaults(standintarget.Fault{Silent: 2})
	case "stale reads":
		fi.cluster.setPlatformFault(standinplatform.Fault{StaleReads: true})
		time.Sleep(duration)
		fi.cluster.setPlatformFault(standinplatform.Fault{})
	}
}

// setOrderFaults sets a fault at every target of kind order, whose stage isn't idempotent.
func (fi *faultInjector) setOrderFaults(f standintarget.Fault) {
	for name, t := range fi.cluster.targets {
		if t.profile.Kind == "order" {
			fi.cluster.setTargetFault(name, f)
		}
	}
}

// setPartition separates the daemons and targets of a data centre from the daemons of the
// others, or ends all partitions if on is false.
func (fi *faultInjector) setPartition(dataCentre string, on bool) {
	var inside, outside []string
	for _, d := range fi.cluster.daemons {
		if d.dataCentre == dataCentre {
			inside = append(inside, d.ip+":")
		} else {
			outside = append(outside, d.ip+":")
		}
	}
	for _, d := range fi.cluster.daemons {
		setRelayCut(d.relay, on, d.dataCentre == dataCentre, inside, outside)
	}
	for _, t := range fi.cluster.targets {
		setRelayCut(t.relay, on, t.contract.DataCentre == dataCentre, inside, outside)
	}
}

// setRelayCut makes a relay close the connections from the other side of a partition.
func setRelayCut(r *relay, on, isInside bool, inside, outside []string) {
	switch {
	case !on:
		r.rejectFrom()
	case isInside:
		r.rejectFrom(outside...)
	default:
		r.rejectFrom(inside...)
	}
}
