package guardian_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sequoiapick/sequoiapick/internal/guardian"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

var contract = target.Target{Name: "llm-1", ColdLimit: 2, MaxRun: 10 * time.Second}

// daemon is one member in the model.
type daemon struct {
	member membership.Member
	gate   guardian.Gate
	// runs is the number of its requests that run at the target.
	runs int
}

// model is a data centre whose daemons join, leave and crash, and receive each other's
// reports late.
type model struct {
	now     time.Time
	view    membership.View
	daemons []*daemon
	// orphans are the times at which the requests of crashed daemons end at the target.
	orphans []time.Time
	started int
}

// start adds a new incarnation on the host to the view.
func (m *model) start(host string) {
	m.started++
	d := &daemon{member: membership.Member{Host: host, Incarnation: fmt.Sprint(host, "-", m.started), Listed: true}}
	m.daemons = append(m.daemons, d)
	m.view, _ = m.view.Join(d.member)
}

// crash ends a daemon; the target may run its requests until their longest run time is over.
func (m *model) crash(d *daemon) {
	for range d.runs {
		m.orphans = append(m.orphans, m.now.Add(contract.MaxRun))
	}
	m.remove(d)
}

func (m *model) remove(gone *daemon) {
	for i, d := range m.daemons {
		if d == gone {
			m.daemons = append(m.daemons[:i], m.daemons[i+1:]...)
			return
		}
	}
}

// running is the number of requests that the target runs at present.
func (m *model) running() int {
	n := 0
	for _, d := range m.daemons {
		n += d.runs
	}
	for _, end := range m.orphans {
		if m.now.Before(end) {
			n++
		}
	}
	return n
}

// step makes one random step of one daemon. In the step "tell" it reports its adoption and its
// requests in flight to another daemon.
func (m *model) step(t *rapid.T) {
	d := m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")]
	switch rapid.SampledFrom([]string{"adopt", "adopt", "tell", "tell", "tell", "acquire", "acquire", "release", "restart", "join", "sweep", "leave", "wait"}).Draw(t, "step") {
	case "adopt":
		d.gate.Adopt(m.now, d.member.Incarnation, m.view)
	case "tell":
		other := m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "other")]
		other.gate.PeerAdopted(d.member.Incarnation, d.gate.View().Epoch, d.gate.InFlightUnguarded())
	case "acquire":
		if _, ok := d.gate.Acquire(m.now, contract).(guardian.Granted); ok {
			d.runs++
		}
	case "release":
		if d.runs > 0 {
			d.runs--
			d.gate.Release(contract.Name)
		}
	case "restart":
		m.crash(d)
		m.start(d.member.Host)
	case "join":
		if len(m.daemons) < 5 {
			m.start(fmt.Sprint("host-", m.started))
		}
	case "sweep":
		m.sweep(d)
	case "leave":
		m.leave(d)
	case "wait":
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
	}
}

// sweep crashes a daemon without a restart and removes its host from the host list.
func (m *model) sweep(d *daemon) {
	if len(m.daemons) == 1 {
		return
	}
	m.crash(d)
	listed := map[string]bool{}
	for _, other := range m.daemons {
		listed[other.member.Host] = true
	}
	m.view, _ = m.view.RemoveUnlisted(listed)
}

// leave is a planned stop: the daemon leaves the view when no request is in flight.
func (m *model) leave(d *daemon) {
	if len(m.daemons) == 1 || d.runs > 0 {
		return
	}
	m.view, _ = m.view.Leave(d.member.Incarnation, "")
	m.remove(d)
}

// propertyRuns multiplies the number of generated histories, since some faults appear in
// only one of tens of thousands.
const propertyRuns = 500

func TestColdLimitHoldsThroughEveryMembershipChange(t *testing.T) {
	for range propertyRuns {
		rapid.Check(t, checkColdLimit)
	}
}

func checkColdLimit(t *rapid.T) {
	m := &model{now: time.Unix(1000, 0), view: membership.View{DataCentre: "ga-a"}}
	m.start("host-a")
	m.start("host-b")
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		m.step(t)
		if n := m.running(); n > contract.ColdLimit {
			t.Fatalf("%d requests run at once, the cold limit is %d", n, contract.ColdLimit)
		}
	}
}

func TestGuardianBecomesActiveOnceAllHaveAdopted(t *testing.T) {
	m := &model{now: time.Unix(1000, 0), view: membership.View{DataCentre: "ga-a"}}
	m.start("host-a")
	m.start("host-b")
	for _, d := range m.daemons {
		d.gate.Adopt(m.now, d.member.Incarnation, m.view)
	}
	owner, other := m.daemons[0], m.daemons[1]
	if g, _ := m.view.Guardian(contract.Name); g.Incarnation != owner.member.Incarnation {
		owner, other = other, owner
	}
	if _, ok := other.gate.Acquire(m.now, contract).(guardian.OtherGuardian); !ok {
		t.Error("a daemon that is not the guardian of the target may send to it")
	}
	if _, ok := owner.gate.Acquire(m.now, contract).(guardian.Pending); !ok {
		t.Error("the guardian became active before the other member had adopted the epoch")
	}
	owner.gate.PeerAdopted(other.member.Incarnation, m.view.Epoch, map[string]int{contract.Name: 1})
	if _, ok := owner.gate.Acquire(m.now, contract).(guardian.Granted); !ok {
		t.Error("the guardian is not active although all members have adopted the epoch")
	}
	if _, ok := owner.gate.Acquire(m.now, contract).(guardian.Full); !ok {
		t.Error("the requests in flight from the other member are not counted")
	}
}
