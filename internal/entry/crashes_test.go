package entry

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/forward"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
	"github.com/sequoiapick/sequoiapick/platform"
)

var fatalRequest = quarantine.FingerprintOf("account", []byte("GET"), []byte("h"), []byte("/fatal"), nil)

// brokenAttempts has daemons report attempts with the request, each at another start of a target at the address. The daemons
// take turns.
func brokenAttempts(daemons []*Daemon, address string, count int) {
	for i := range count {
		daemons[i%len(daemons)].quarantine.attemptBroken(forward.BrokenAttempt{
			Crash:   quarantine.Crash{Service: "desk", Request: fatalRequest, Attempt: fmt.Sprint(i), Target: "t", Incarnation: int64(i)},
			Address: address,
		})
		time.Sleep(200 * time.Millisecond)
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestCrashesAtDifferentDaemonsQuarantineRequest has three daemons see one crash each.
func TestCrashesAtDifferentDaemonsQuarantineRequest(t *testing.T) {
	hosts := []hostSpec{{dataCentre: "a", cpuShare: 0.4}, {dataCentre: "b", cpuShare: 0.4}, {dataCentre: "c", cpuShare: 0.4}, {dataCentre: "a", cpuShare: 0.4}}
	c := startCluster(t, hosts, configurationJSON(t, 1, 1))
	brokenAttempts(c.daemons, closedAddress(t), 3)
	for _, d := range c.daemons {
		waitUntil(t, quarantineBound, d.settings.Host+" blocks the request", func() bool { return d.quarantine.tracker.BlocksRequest(fatalRequest) })
	}
	late := startDaemon(t, "late", hostSpec{dataCentre: "b", cpuShare: 0.4, unlinked: true}, c.storeAddress)
	waitUntil(t, 10*time.Second, "a daemon that starts later has read the table", late.tableReaders[platform.TableQuarantine].loaded)
	waitUntil(t, quarantineBound, "it blocks the request", func() bool { return late.quarantine.tracker.BlocksRequest(fatalRequest) })
	c.daemons[2].quarantine.requestAnswered(fatalRequest)
	for _, d := range append(c.daemons, late) {
		waitUntil(t, quarantineBound, d.settings.Host+" sends the request again after an answer", func() bool { return !d.quarantine.tracker.BlocksRequest(fatalRequest) })
	}
}

// TestAnswerClearsSuspectedRequestAtAllDaemons has a daemon get an answer between the crashes that the others see.
func TestAnswerClearsSuspectedRequestAtAllDaemons(t *testing.T) {
	hosts := []hostSpec{{dataCentre: "a", cpuShare: 0.4}, {dataCentre: "b", cpuShare: 0.4}, {dataCentre: "c", cpuShare: 0.4}}
	c := startCluster(t, hosts, configurationJSON(t, 1, 1))
	brokenAttempts(c.daemons[:2], closedAddress(t), 2)
	waitUntil(t, quarantineBound, "the third daemon knows of the crashes", func() bool { return c.daemons[2].quarantine.tracker.RequestCrashes(fatalRequest) == 2 })
	c.daemons[2].quarantine.requestAnswered(fatalRequest)
	for _, d := range c.daemons {
		waitUntil(t, quarantineBound, d.settings.Host+" has cleared the request", func() bool { return d.quarantine.tracker.RequestCrashes(fatalRequest) == 0 })
	}
}

// TestBrokenConnectionOfLiveTargetIsNoCrash guards against evidence from connections that were reset or cut.
func TestBrokenConnectionOfLiveTargetIsNoCrash(t *testing.T) {
	_, address := startStore(t)
	d := startDaemon(t, "h", hostSpec{dataCentre: "a", cpuShare: 0.4}, address)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	brokenAttempts([]*Daemon{d}, listener.Addr().String(), 4)
	time.Sleep(2 * crashCheckTimeout)
	if n := d.quarantine.tracker.RequestCrashes(fatalRequest); n != 0 || d.quarantine.tracker.BlocksRequest(fatalRequest) {
		t.Errorf("%d crashes are counted, though the targets live", n)
	}
}
