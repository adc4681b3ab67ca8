package entry

import (
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/quarantine"
	standinplatform "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/platform"
)

// quarantineBound is the smallest contactMs, after which a daemon must know what others have seen.
const quarantineBound = 3 * time.Second

func (d *Daemon) blocksPart(p quarantine.Cause) bool {
	_, blocked := d.quarantine.tracker.Blocks(p.Service, []string{p.ID, "own"})
	return blocked
}

// TestQuarantineReachesDaemonsWithoutLinks quarantines a part at a daemon that has no links to the
// others: they learn of it, and of its end, from the store.
func TestQuarantineReachesDaemonsWithoutLinks(t *testing.T) {
	_, address := startStore(t)
	finder := startDaemon(t, "finder", hostSpec{dataCentre: "a", cpuShare: 0.4, unlinked: true}, address)
	other := startDaemon(t, "other", hostSpec{dataCentre: "b", cpuShare: 0.4, unlinked: true}, address)
	for _, d := range []*Daemon{finder, other} {
		waitUntil(t, 10*time.Second, d.settings.Host+" has read the table", d.tableReaders[platform.TableQuarantine].loaded)
	}
	part := quarantine.Cause{Service: "llm", ID: "fatal"}
	finder.quarantine.tracker.Hold(part)
	finder.quarantine.hold(part)
	waitUntil(t, quarantineBound, "the other daemon blocks the part", func() bool { return other.blocksPart(part) })
	late := startDaemon(t, "late", hostSpec{dataCentre: "b", cpuShare: 0.4, unlinked: true}, address)
	waitUntil(t, quarantineBound, "a daemon that starts later blocks the part", func() bool { return late.blocksPart(part) })
	finder.quarantine.tracker.Release(part)
	finder.quarantine.release(part)
	waitUntil(t, quarantineBound, "the other daemon sends requests with the part again", func() bool { return !other.blocksPart(part) })
}

// TestQuarantineReachesLinkedDaemonsDuringOutageOfStore quarantines a part while the store rejects
// all calls.
func TestQuarantineReachesLinkedDaemonsDuringOutageOfStore(t *testing.T) {
	hosts := []hostSpec{{dataCentre: "a", cpuShare: 0.4}, {dataCentre: "b", cpuShare: 0.4}, {dataCentre: "c", cpuShare: 0.4}}
	c := startCluster(t, hosts, configurationJSON(t, 1, 1))
	c.store.SetFault(standinplatform.Fault{Down: true})
	part := quarantine.Cause{Service: "llm", ID: "fatal"}
	c.daemons[1].quarantine.tracker.Hold(part)
	c.daemons[1].quarantine.hold(part)
	for _, d := range c.daemons {
		waitUntil(t, quarantineBound, d.settings.Host+" blocks the part", func() bool { return d.blocksPart(part) })
	}
}

// TestMalformedQuarantineRowIsIgnored writes rows that no daemon has written.
func TestMalformedQuarantineRowIsIgnored(t *testing.T) {
	store, address := startStore(t)
	for key, value := range map[string]string{"a": "{", "b": `{"Service":"llm","ID":"fatal"}`, "c": ""} {
		store.Put(standinplatform.Row{Table: platform.TableQuarantine, Key: key, Value: []byte(value)})
	}
	d := startDaemon(t, "h", hostSpec{dataCentre: "a", cpuShare: 0.4}, address)
	waitUntil(t, 10*time.Second, "the table is read", d.tableReaders[platform.TableQuarantine].loaded)
	if held := d.quarantine.tracker.Held(); len(held) > 0 {
		t.Errorf("%v are quarantined, want none", held)
	}
}
