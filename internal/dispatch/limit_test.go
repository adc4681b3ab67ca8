package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
)

// TestLimitedStageTargetGetsCallsAtItsRate has one of two targets of a service name a limit, then both.
func TestLimitedStageTargetGetsCallsAtItsRate(t *testing.T) {
	const perSecond, seconds = 2.0, 10
	const fullCall = 240 * time.Millisecond
	limits := &targetlimit.Table{}
	p := dispatch.New()
	p.Limits = limits
	p.SetServices(services(0))
	p.SetTargets(begin, []dispatch.Target{target("f1", "first", "a"), target("f2", "first", "a"), target("s", "second", "a")})
	limits.Record(targetlimit.Notice{Target: "f1", PerSecond: perSecond, At: begin})
	started, refused := map[string]int{}, 0
	var running []dispatch.StartCall
	perform := func(now time.Time, actions []dispatch.Action) {
		refused += len(rejected(actions))
		for _, c := range calls(actions) {
			started[c.Target.ID]++
			running = append(running, c)
		}
		for i := 0; i < len(running); i++ {
			c := running[i]
			if now.Before(c.Started.Add(c.Expected)) {
				continue
			}
			running = slices.Delete(running, i, i+1)
			i--
			for _, c := range calls(succeed(p, now, c)) {
				started[c.Target.ID]++
				running = append(running, c)
			}
		}
	}
	run := func(from time.Time) {
		clear(started)
		refused = 0
		for ms := 0; ms < seconds*1000; ms += 20 {
			now := from.Add(time.Duration(ms) * time.Millisecond)
			if ms%40 == 0 {
				j := chain(fmt.Sprintf("%d-%d", from.Unix(), ms))
				j.SoftDeadline, j.Deadline = now.Add(time.Second), now.Add(3*time.Second)
				perform(now, p.Submit(now, j))
			}
			perform(now, p.Tick(now))
		}
	}
	run(begin)
	if got := started["f1"]; got < perSecond*seconds*8/10 || got > perSecond*seconds+1 {
		t.Errorf("%d calls to the limited target in %d s, want nearly %v a second", got, seconds, perSecond)
	}
	if most := int(seconds * time.Second / fullCall); started["f2"] < most*9/10 {
		t.Errorf("%d calls to the target without a limit, which can run %d", started["f2"], most)
	}
	limits.Record(targetlimit.Notice{Target: "f2", PerSecond: perSecond, At: begin.Add(seconds * time.Second)})
	run(begin.Add(seconds * time.Second))
	for _, id := range []string{"f1", "f2"} {
		if got := started[id]; got < perSecond*seconds*8/10 || got > perSecond*seconds+1 {
			t.Errorf("%d calls to %s in %d s, want nearly %v a second", got, id, seconds, perSecond)
		}
	}
	if refused == 0 {
		t.Error("no job was rejected though there were more than the limits allow")
	}
}
