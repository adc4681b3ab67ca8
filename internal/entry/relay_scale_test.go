package entry

import (
	"testing"
	"time"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/platform"
)

// TestLargeConfigurationDoesNotChokeLinks changes one of many routes in quick succession in a
// cluster of 62 daemons: each version must be in use everywhere within the bound of large sites,
// and heartbeats must not be delayed until the leader seems to have failed.
func TestLargeConfigurationDoesNotChokeLinks(t *testing.T) {
	const (
		routes   = 300
		changes  = 12
		interval = 200 * time.Millisecond
		bound    = 3 * time.Second // configMs of the large sites
		// The ratio of the size of a configuration to the bandwidths is that of 1,400 routes and
		// links of 200 and 10 Mbit/s.
		hubBandwidth  = 5e6
		leafBandwidth = 250e3
	)
	hubs := &bandwidth{bytesPerSecond: hubBandwidth}
	var hosts []hostSpec
	for _, dataCentre := range []string{"a", "b", "c", "d"} {
		for range 2 {
			hosts = append(hosts, hostSpec{dataCentre: dataCentre, cpuShare: 0.8})
		}
	}
	for i := range 54 {
		hosts = append(hosts, hostSpec{
			dataCentre: []string{"a", "b", "c", "d"}[i%4],
			cpuShare:   0.192,
			ingress:    []*bandwidth{{bytesPerSecond: leafBandwidth}, hubs}, // nearly all bytes come from the leader
		})
	}
	c := startCluster(t, hosts, configurationJSON(t, 1, routes))
	leader := c.daemons[0].mesh.Leader()
	acked := map[int]time.Time{}
	for v := 2; v < 2+changes; v++ {
		c.store.Put(standinplatform.Row{Table: platform.TableOperator, Key: "config", Value: configurationJSON(t, v, routes)})
		acked[v] = time.Now()
		time.Sleep(interval)
	}
	last := 1 + changes
	for _, d := range c.daemons {
		waitUntil(t, time.Until(acked[last].Add(bound)), d.settings.Host+" uses the last version", func() bool { return d.configurationVersion() >= int64(last) })
		if got := d.mesh.Leader(); got != leader {
			t.Errorf("%s follows %q after the changes, want %q throughout", d.settings.Host, got, leader)
		}
	}
}
