package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/quarantine"
)

const llm = "llm"

// maxCrashes is the largest number of crashes under one part: the fifth, and three more.
const maxCrashes = 8

func newTracker() (*quarantine.Tracker, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	return &quarantine.Tracker{Clock: clock}, clock
}

// answerOthers records answers of requests whose parts no crash has involved.
func answerOthers(t *quarantine.Tracker) {
	for i := range 5 {
		t.RecordAnswer(llm, []string{"other", fmt.Sprint(i)})
	}
}

func TestPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	tracker, clock := newTracker()
	for crash := 1; crash <= 3; crash++ {
		if _, blocked := tracker.Blocks(llm, []string{"common", "fatal", "own"}); blocked {
			t.Fatalf("blocked before crash %d", crash)
		}
		tracker.RecordCrash(llm, []string{"common", "fatal", fmt.Sprintf("own-%d", crash)})
		clock.Advance(time.Second)
		tracker.RecordAnswer(llm, []string{"common", "sound", "own"})
		answerOthers(tracker)
	}
	for _, c := range []struct {
		parts   []string
		blocked bool
	}{
		{[]string{"common", "fatal", "own-9"}, true},
		{[]string{"fatal", "own-9"}, true},
		{[]string{"common", "sound", "own-9"}, false},
		{[]string{"common", "own-1"}, false},
		{[]string{"common", "fatal"}, false}, // the last part isn't tracked
		{nil, false},
	} {
		if _, blocked := tracker.Blocks(llm, c.parts); blocked != c.blocked {
			t.Errorf("blocked is %v for %v, want %v", blocked, c.parts, c.blocked)
		}
	}
	if _, blocked := tracker.Blocks("other-service", []string{"fatal", "own"}); blocked {
		t.Error("the part is blocked at another service")
	}
}

// TestCommonPartsOfCrashesAreNotQuarantined lets requests with a fatal part come so often that the
// sound ones that share their other parts are still running at the third crash.
func TestCommonPartsOfCrashesAreNotQuarantined(t *testing.T) {
	tracker, clock := newTracker()
	for crash := 1; crash <= 3; crash++ {
		answerOthers(tracker)
		fatal := []string{"common", "fatal", "rest", fmt.Sprintf("own-%d", crash)}
		tracker.RecordRequest(llm, fatal)
		tracker.RecordCrash(llm, fatal)
		tracker.RecordRequest(llm, []string{"common", "rest", fmt.Sprintf("sound-%d", crash)})
		clock.Advance(200 * time.Millisecond)
	}
	if held := tracker.Held(); len(held) != 1 || held[0].ID != "fatal" {
		t.Errorf("%v are quarantined, want the fatal part only", held)
	}
}

// TestPartsThatWereAnsweredBeforeAreSound lets requests with a fatal part come alone for a while: the
// parts that they share with earlier sound ones aren't quarantined.
func TestPartsThatWereAnsweredBeforeAreSound(t *testing.T) {
	tracker, clock := newTracker()
	tracker.RecordAnswer(llm, []string{"common", "rest", "own"})
	for crash := 1; crash <= 3; crash++ {
		fatal := []string{"common", "fatal", "rest", fmt.Sprintf("own-%d", crash)}
		tracker.RecordRequest(llm, fatal)
		tracker.RecordCrash(llm, fatal)
		answerOthers(tracker)
		clock.Advance(200 * time.Millisecond)
	}
	if held := tracker.Held(); len(held) != 1 || held[0].ID != "fatal" {
		t.Errorf("%v are quarantined, want the fatal part only", held)
	}
}

// TestSoundPartThatTurnsFatalIsQuarantined crashes engines with a part that was answered before.
func TestSoundPartThatTurnsFatalIsQuarantined(t *testing.T) {
	tracker, clock := newTracker()
	parts := []string{"common", "fatal", "own"}
	tracker.RecordAnswer(llm, parts)
	for crash := 1; crash <= maxCrashes; crash++ {
		if _, blocked := tracker.Blocks(llm, parts); blocked {
			break
		}
		tracker.RecordRequest(llm, parts)
		tracker.RecordCrash(llm, parts)
		tracker.RecordRequest(llm, []string{"common", "sound", "own"})
		tracker.RecordAnswer(llm, []string{"common", "sound", "own"})
		answerOthers(tracker)
		clock.Advance(time.Second)
	}
	if held := tracker.Held(); len(held) != 1 || held[0].ID != "fatal" {
		t.Errorf("%v are quarantined, want the fatal part only", held)
	}
}

// TestPartsThatAlwaysComeTogetherAreQuarantined crashes engines with parts that nothing tells apart.
func TestPartsThatAlwaysComeTogetherAreQuarantined(t *testing.T) {
	tracker, clock := newTracker()
	for crash := 1; crash <= maxCrashes; crash++ {
		if _, blocked := tracker.Blocks(llm, []string{"fatal", "companion", "own"}); blocked {
			return
		}
		parts := []string{"fatal", "companion", fmt.Sprintf("own-%d", crash)}
		tracker.RecordRequest(llm, parts)
		tracker.RecordCrash(llm, parts)
		answerOthers(tracker)
		clock.Advance(time.Second)
	}
	t.Errorf("nothing is quarantined after %d crashes", maxCrashes)
}

func TestAnswerClearsParts(t *testing.T) {
	tracker, clock := newTracker()
	for range 10 {
		tracker.RecordCrash(llm, []string{"sound", "own"})
		tracker.RecordCrash(llm, []string{"sound", "own"})
		clock.Advance(time.Second)
		tracker.RecordCrash(llm, []string{"sound", "own"})
		clock.Advance(time.Second)
		tracker.RecordAnswer(llm, []string{"sound", "own"})
		answerOthers(tracker)
	}
	if held := tracker.Held(); len(held) > 0 {
		t.Errorf("%v are quarantined, want none", held)
	}
}

// TestNetworkFailureQuarantinesNothing breaks off the answers of many engines at the same moments,
// as a device does that resets its connections.
func TestNetworkFailureQuarantinesNothing(t *testing.T) {
	tracker, clock := newTracker()
	for range 2 {
		for range 50 {
			tracker.RecordCrash(llm, []string{"common", "own"})
			clock.Advance(2 * time.Millisecond)
		}
		clock.Advance(time.Second)
		answerOthers(tracker)
	}
	if held := tracker.Held(); len(held) > 0 {
		t.Errorf("%v are quarantined, want none", held)
	}
}

// TestOutageOfServiceQuarantinesNothing lets all engines fail: no answer can clear a part.
func TestOutageOfServiceQuarantinesNothing(t *testing.T) {
	tracker, clock := newTracker()
	answerOthers(tracker)
	for range 100 {
		tracker.RecordCrash(llm, []string{"common", "own"})
		clock.Advance(time.Second)
	}
	if held := tracker.Held(); len(held) > 0 {
		t.Errorf("%v are quarantined, want none", held)
	}
}

func TestQuarantineEndsAndReturnsWithNextCrash(t *testing.T) {
	tracker, clock := newTracker()
	fatal := quarantine.Cause{Service: llm, ID: "fatal"}
	if !tracker.Hold(fatal) || tracker.Hold(fatal) {
		t.Fatal("Hold doesn't report changes")
	}
	clock.Advance(10*time.Minute + time.Second)
	if _, blocked := tracker.Blocks(llm, []string{"fatal", "own"}); blocked {
		t.Fatal("the part is still blocked after its quarantine")
	}
	if expired := tracker.RemoveExpired(); len(expired) != 1 || expired[0] != fatal {
		t.Fatalf("%v have expired, want %v", expired, fatal)
	}
	answerOthers(tracker)
	if _, found := tracker.RecordCrash(llm, []string{"fatal", "own"}); len(found) != 1 {
		t.Errorf("%v are quarantined by the next crash, want %v", found, fatal)
	}
}

// TestAnswerReleasesPart answers a request that was sent before its part was quarantined.
func TestAnswerReleasesPart(t *testing.T) {
	tracker, _ := newTracker()
	tracker.Hold(quarantine.Cause{Service: llm, ID: "sound"})
	if _, released := tracker.RecordAnswer(llm, []string{"sound", "own"}); len(released) != 1 || len(tracker.Held()) > 0 {
		t.Errorf("%v are released, want the answered part", released)
	}
}

func TestEvidenceIsInherited(t *testing.T) {
	leader, clock := newTracker()
	standby := &quarantine.Tracker{Clock: clock}
	inherit := func(changes []quarantine.Suspicion) {
		for _, s := range changes {
			standby.Inherit(s)
		}
	}
	for range 2 {
		changed, _ := leader.RecordCrash(llm, []string{"sound", "fatal", "own"})
		inherit(changed)
		clock.Advance(time.Second)
	}
	cleared, _ := leader.RecordAnswer(llm, []string{"sound", "own"})
	inherit(cleared)
	answerOthers(standby)
	if _, found := standby.RecordCrash(llm, []string{"sound", "fatal", "own"}); len(found) != 1 || found[0].ID != "fatal" {
		t.Errorf("%v are quarantined by the third crash, want the fatal part only", found)
	}
}

// TestSuspectsAreBounded records crashes with parts that never come again.
func TestSuspectsAreBounded(t *testing.T) {
	tracker, clock := newTracker()
	tracker.RecordCrash(llm, []string{"first", "own"})
	for i := range 5000 {
		clock.Advance(time.Millisecond)
		tracker.RecordCrash(llm, []string{fmt.Sprintf("part-%d", i), "own"})
	}
	answerOthers(tracker)
	clock.Advance(time.Second)
	if changed, _ := tracker.RecordCrash(llm, []string{"first", "own"}); changed[0].Crashes != 1 {
		t.Errorf("the oldest evidence counts %d crashes, want it forgotten", changed[0].Crashes)
	}
}

// TestFatalPartIsFoundAmongSoundOnes plays requests with shared and rare parts at engines that
// crash under one part. The last of the crashes may be the fifth, and hardly any sound part may be
// quarantined with it.
func TestFatalPartIsFoundAmongSoundOnes(t *testing.T) {
	const (
		engines        = 12
		rareParts      = 900
		requests       = 2000
		fatalShare     = 0.05
		requestEvery   = 60 * time.Millisecond
		repairTime     = 3 * time.Second
		maxFalseAlarms = 2
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		tracker, clock := newTracker()
		type running struct {
			parts   []string
			writing bool
			endsAt  time.Time
		}
		atEngine := make([][]running, engines)
		downUntil := make([]time.Time, engines)
		crashes, sentAfterFifth := 0, 0
		for i := range requests {
			clock.Advance(requestEvery)
			now := clock.Now()
			for e := range atEngine {
				var rest []running
				for _, r := range atEngine[e] {
					if r.endsAt.After(now) {
						rest = append(rest, r)
						continue
					}
					tracker.RecordAnswer(llm, r.parts)
				}
				atEngine[e] = rest
			}
			parts := []string{fmt.Sprintf("common-%d", random.IntN(4)), fmt.Sprintf("rare-%d", random.IntN(rareParts)), fmt.Sprintf("own-%d", i)}
			fatal := random.Float64() < fatalShare
			if fatal {
				parts[1] = "fatal"
			}
			e := random.IntN(engines)
			if _, blocked := tracker.Blocks(llm, parts); blocked || now.Before(downUntil[e]) {
				continue
			}
			if !fatal {
				atEngine[e] = append(atEngine[e], running{parts: parts, writing: random.IntN(2) == 0, endsAt: now.Add(time.Second)})
				continue
			}
			if crashes >= 5 {
				sentAfterFifth++
			}
			crashes++
			downUntil[e] = now.Add(repairTime)
			tracker.RecordCrash(llm, parts)
			for _, r := range atEngine[e] {
				if r.writing { // no event was sent yet
					tracker.RecordCrash(llm, r.parts)
				}
			}
			atEngine[e] = nil
		}
		if sentAfterFifth > 0 {
			t.Errorf("seed %d: %d requests were sent after the fifth crash, want none", seed, sentAfterFifth)
		}
		if falseAlarms := len(tracker.Held()) - 1; falseAlarms > maxFalseAlarms {
			t.Errorf("seed %d: %d sound parts are quarantined, want at most %d", seed, falseAlarms, maxFalseAlarms)
		}
	}
}
