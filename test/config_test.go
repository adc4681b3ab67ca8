package test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// versionWatcher polls the version of the configuration in force at each ready daemon and
// records every return to a lower version.
type versionWatcher struct {
	mu sync.Mutex
	// latest is the last known version of each host.
	latest map[string]uint64
	// reverts describes the returns to a lower version.
	reverts []string
	stop    chan struct{}
	group   sync.WaitGroup
}

func newVersionWatcher(c *cluster) *versionWatcher {
	w := &versionWatcher{latest: map[string]uint64{}, stop: make(chan struct{})}
	for _, d := range c.daemons {
		w.group.Go(func() {
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if status, _ := c.get(d, "front-desk", "/readyz"); status == 200 {
					w.record(d.host, c.version(d))
				}
			}
		})
	}
	return w
}

// record records a version that a host has in force; 0 means that it is unknown.
func (w *versionWatcher) record(host string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version == 0 {
		return
	}
	if version < w.latest[host] {
		w.reverts = append(w.reverts, fmt.Sprintf("%s went from %d to %d", host, w.latest[host], version))
	}
	w.latest[host] = version
}

var _ = Describe("promise 8: an accepted configuration is in force everywhere and never reverts", func() {
	specPerSeed("holds under races, lost answers, stale reads, restarts, cuts and freezes", []uint64{1, 2}, func(seed uint64) {
		c := newCluster(2, dataCentres)
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration()))
		w := newVersionWatcher(c)
		injector := &faultInjector{cluster: c, rng: random(seed), kinds: []string{
			"kill", "freeze", "cut", "silence", "platform down", "platform cut", "platform slow", "answers lost", "stale reads",
		}}
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			injector.run(10 * time.Second)
		}()
		var mu sync.Mutex
		accepted := map[string]uint64{}
		statusCounts := map[string]int{}
		var operators sync.WaitGroup
		for n := range 4 {
			rng := random(seed + 100 + uint64(n))
			operators.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-ended:
						return
					default:
					}
					name := fmt.Sprintf("t-%d-%d", n, i)
					d := c.daemons[rng.IntN(len(c.daemons))]
					err := c.operate(d, func(ctx context.Context, client operator.OperatorClient) error {
						ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
						defer cancel()
						reply, err := client.Apply(ctx, &operator.ApplyRequest{Tiers: []*operator.Tier{{Name: name, DeadlineMillis: 1000}}})
						if err == nil {
							mu.Lock()
							accepted[name] = reply.Version
							mu.Unlock()
						}
						return err
					})
					mu.Lock()
					statusCounts[status.Code(err).String()]++
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		operators.Wait()
		newest := uint64(0)
		for _, version := range accepted {
			newest = max(newest, version)
		}
		healedAt := time.Now()
		c.awaitVersion(newest)
		GinkgoWriter.Println("changes:", statusCounts, "newest", newest, "everywhere after", time.Since(healedAt))
		close(w.stop)
		w.group.Wait()
		Expect(w.reverts).To(BeEmpty())
		Expect(len(accepted)).To(BeNumerically(">", 50))
		for _, d := range c.daemons {
			Expect(c.operate(d, func(ctx context.Context, client operator.OperatorClient) error {
				reply, err := client.Describe(ctx, &operator.DescribeRequest{})
				present := map[string]bool{}
				for _, t := range reply.GetTiers() {
					present[t.Name] = true
				}
				for name := range accepted {
					Expect(present[name]).To(BeTrue(), "%s lost %s", d.host, name)
				}
				return err
			})).To(Succeed())
		}
	})

	It("lets one of two racing operators win and names the winner to the other", func() {
		c := newCluster(2, dataCentres[:1])
		version := c.apply(c.daemons[0], testConfiguration())
		c.awaitVersion(version)
		errs := make(chan error, 2)
		for n, d := range c.daemons {
			go func() {
				errs <- c.operate(d, func(ctx context.Context, client operator.OperatorClient) error {
					_, err := client.Apply(ctx, &operator.ApplyRequest{
						ExpectedVersion: version, ChangeID: fmt.Sprintf("change-%d", n),
						Tiers: []*operator.Tier{{Name: "raced", DeadlineMillis: int64(n + 1)}},
					})
					return err
				})
			}()
		}
		first, second := <-errs, <-errs
		if first == nil {
			first, second = second, first
		}
		Expect(second).NotTo(HaveOccurred())
		Expect(status.Code(first)).To(Equal(codes.Aborted))
		Expect(first.Error()).To(ContainSubstring("change change-"))
	})

	It("doesn't let a daemon start with the older configuration of a stale read", func() {
		c := newCluster(2, dataCentres[:1])
		c.awaitVersion(c.apply(c.daemons[0], testConfiguration()))
		d := c.daemons[1]
		c.setPlatformFault(standinplatform.Fault{StaleHosts: []string{d.host}})
		version := c.apply(c.daemons[0], &operator.ApplyRequest{Tiers: []*operator.Tier{{Name: "newer", DeadlineMillis: 1000}}})
		c.awaitVersion(version)
		d.kill()
		d.start()
		c.awaitReady(d)
		body, err := os.ReadFile(d.logPath)
		Expect(err).NotTo(HaveOccurred())
		started := body[bytes.LastIndex(body, []byte("DaemonStarted")):]
		Expect(string(started)).To(ContainSubstring(fmt.Sprintf(`"Version":%d`, version)), "the daemon started with an older configuration")
	})

	It("starts a daemon with the configuration of its peers while the platform is down", func() {
		c := newCluster(2, dataCentres[:1])
		version := c.apply(c.daemons[0], testConfiguration(addTargetsOfEachKind(c, dataCentres[:1])...))
		c.awaitVersion(version)
		c.setPlatformFault(platformDown)
		d := c.daemons[1]
		d.kill()
		d.args = append(d.args, "-peers", c.daemons[0].relay.address)
		d.start()
		c.awaitReady(d)
		Expect(c.version(d)).To(Equal(version))
	})
})
