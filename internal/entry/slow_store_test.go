package entry

import (
	"context"
	"testing"
	"time"

	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/platform"
)

// TestDaemonOnSlowLinkLoadsLargestConfiguration starts a daemon alone, whose link needs longer for the
// largest answer of the store than other calls may take.
func TestDaemonOnSlowLinkLoadsLargestConfiguration(t *testing.T) {
	const (
		bitsPerSecond = 10e6             // the slowest link of the large sites
		answerBytes   = 1000 << 10       // the largest answer of the store is 1 MB
		bound         = 12 * time.Second // the smallest recoverS
	)
	routes := 100
	for len(configurationJSON(t, 1, routes))*4/3 < answerBytes*95/100 { // values are in base64
		routes += 100
	}
	store := &standinplatform.Server{}
	store.Put(standinplatform.Row{Table: platform.TableOperator, Key: "config", Value: configurationJSON(t, 1, routes)})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	listener := listen(t)
	go func() {
		_ = store.Serve(ctx, &egressLimitedListener{Listener: listener, limit: &bandwidth{bytesPerSecond: bitsPerSecond / 8}})
	}()
	d := startDaemon(t, "h", hostSpec{dataCentre: "a", cpuShare: 0.192, linkBitsPerSecond: bitsPerSecond}, listener.Addr().String())
	waitUntil(t, bound, "the configuration is in use", func() bool { return d.configurationVersion() == 1 })
}
