package entry

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
	. "github.com/onsi/gomega"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

const (
	// soakDaemons are enough for a leader, standbys and others in each data centre.
	soakDaemons = 5
	// soakTime is the time in which faults begin.
	soakTime = 7 * time.Second
	// recovery is the platform's bound for serving again after the last fault.
	recovery = 12 * time.Second
)

// soakSeeds are those of SEEDS, or a few that CI runs. Seeds that ever failed stay in the
// list with their cause.
func soakSeeds() []uint64 {
	seeds := []uint64{1, 2}
	if text := os.Getenv("SEEDS"); text != "" {
		seeds = nil
		for _, word := range strings.Fields(text) {
			seed, err := strconv.ParseUint(word, 10, 64)
			if err != nil {
				panic(err) // the tree of specs is built before any can fail
			}
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// soak is one run of random faults, several at a time.
type soak struct {
	fleet  *fleet
	load   *load
	random *rand.Rand
	relays []*relay
	group  sync.WaitGroup

	mu sync.Mutex
	// busy are the daemons that a fault has now.
	busy map[*daemon]bool
	// told is what was done, for the report of a failure.
	told []string
}

func (s *soak) tell(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// take returns a daemon without a fault and keeps others away from it; nil if all others
// have one.
func (s *soak) take() *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.fleet.daemons[s.random.IntN(len(s.fleet.daemons))]
	if s.busy[d] || len(s.busy) >= len(s.fleet.daemons)-1 {
		return nil
	}
	s.busy[d] = true
	return d
}

func (s *soak) release(d *daemon) {
	s.mu.Lock()
	delete(s.busy, d)
	s.mu.Unlock()
	s.load.takeOut(d, false)
}

// during runs the end of a fault after a time.
func (s *soak) during(d time.Duration, end func()) {
	s.group.Add(1)
	go func() {
		defer GinkgoRecover()
		defer s.group.Done()
		time.Sleep(d)
		end()
	}()
}

// some draws a time.
func (s *soak) some(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// The faults of daemons, the store, the servers, the network and the operators.
func (s *soak) faults() []func() {
	f := s.fleet
	return []func(){
		s.killDaemon, s.pauseDaemon, s.stopDaemon,
		func() {
			if d := s.take(); d != nil {
				s.tell("SIGHUP %s", d.host)
				d.signal(syscall.SIGHUP)
				s.release(d)
			}
		},
		func() {
			faults := []standinplatform.Fault{{Down: true}, {Silent: true}, {Busy: true}, {DelayMillis: 300}, {LoseAnswers: 3}, {CutHosts: []string{f.daemons[s.random.IntN(soakDaemons)].host}}}
			fault := faults[s.random.IntN(len(faults))]
			s.tell("store %+v", fault)
			f.store.SetFault(fault)
			s.during(s.some(300*time.Millisecond, 2*time.Second), func() { f.store.SetFault(standinplatform.Fault{}) })
		},
		func() {
			s.tell("store drops its history")
			f.store.Compact()
		},
		func() {
			server := f.servers[s.random.IntN(len(f.servers))]
			faults := []service.Fault{{Lose: 4}, {Truncate: 4}, {Extra: 4}, {CutEvent: 4}, {Shed: 6}, {Hang: 3}}
			fault := faults[s.random.IntN(len(faults))]
			s.tell("server %s %+v", server.ID, fault)
			server.SetFault(fault)
		},
		func() {
			r := s.relays[s.random.IntN(len(s.relays))]
			s.tell("connections to %s are reset", r.to)
			r.reset()
		},
		func() {
			r := s.relays[s.random.IntN(len(s.relays))]
			delay, mute := s.some(10*time.Millisecond, 120*time.Millisecond), s.random.IntN(2) == 0
			s.tell("answers of %s take %v, mute %v", r.to, delay, mute)
			r.set(delay, mute)
			s.during(s.some(300*time.Millisecond, 1500*time.Millisecond), func() {
				r.set(0, false)
				r.reset() // what was dropped is missing in the middle of a stream of bytes
			})
		},
		func() {
			s.tell("configuration")
			f.configure()
		},
		func() {
			centre := centres[s.random.IntN(len(centres))]
			s.tell("%s is taken out", centre)
			f.put("op", "evacuate/"+centre, map[string]any{})
			s.during(s.some(500*time.Millisecond, 2*time.Second), func() { f.store.Remove("op", "evacuate/"+centre) })
		},
	}
}

func (s *soak) killDaemon() {
	d := s.take()
	if d == nil {
		return
	}
	s.tell("kill %s", d.host)
	s.load.takeOut(d, true)
	d.kill()
	s.during(s.some(50*time.Millisecond, 1500*time.Millisecond), func() {
		d.start()
		s.release(d)
	})
}

func (s *soak) pauseDaemon() {
	d := s.take()
	if d == nil {
		return
	}
	s.tell("pause %s", d.host)
	d.signal(syscall.SIGSTOP)
	s.during(s.some(100*time.Millisecond, 3*time.Second), func() {
		d.signal(syscall.SIGCONT)
		s.release(d)
	})
}

func (s *soak) stopDaemon() {
	d := s.take()
	if d == nil {
		return
	}
	s.tell("stop %s", d.host)
	s.load.takeOut(d, true)
	s.during(0, func() {
		Expect(d.terminate()).To(BeNumerically("<", 8*time.Second), d.host)
		d.start()
		s.release(d)
	})
}

// run begins faults at random moments and returns all attempts.
func (s *soak) run() []*attempt {
	time.Sleep(time.Second)
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		faults := s.faults()
		faults[s.random.IntN(len(faults))]()
		time.Sleep(s.some(20*time.Millisecond, 700*time.Millisecond))
	}
	s.group.Wait()
	s.fleet.store.SetFault(standinplatform.Fault{})
	return s.load.end()
}

var _ = DescribeTable("keeps the rules under faults in any order",
	func(seed uint64) {
		f := newFleet(soakDaemons)
		s := &soak{fleet: f, random: rand.New(rand.NewPCG(seed, 0)), busy: map[*daemon]bool{}}
		f.mu.Lock()
		for _, server := range f.servers {
			r := newRelay(server.address)
			s.relays = append(s.relays, r)
			server.address = r.listener.Addr().String()
			f.report(server)
		}
		f.mu.Unlock()
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Printf("faults:\n%s\n", strings.Join(s.told, "\n"))
			}
		})
		s.load = f.load()
		attempts := s.run()
		f.check(attempts)
		ok, all := served(attempts, time.Time{}, time.Now())
		Expect(ok).To(BeNumerically(">", all/2), "a run that serves little proves little")
		for _, server := range f.servers {
			server.SetFault(service.Fault{})
		}
		for _, d := range f.daemons {
			Eventually(func() int { return f.one("resumable", d).status }).WithTimeout(recovery).Should(Equal(200), d.host)
		}
	},
	func() []TableEntry {
		var entries []TableEntry
		for _, seed := range soakSeeds() {
			entries = append(entries, Entry(fmt.Sprintf("seed %d", seed), seed))
		}
		return entries
	}(),
)
