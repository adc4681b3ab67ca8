package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/quarantine"
)

func fingerprint(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("account", []byte("GET"), []byte("h"), []byte("/"+name), nil)
}

// crashStep is a crash of a start of a target, an answer, or a mark, some time after the step before.
type crashStep struct {
	after   time.Duration
	attempt string
	start   int64
	// answered is an answer to the request, marked another daemon's earlier answer; they take the place of a crash.
	answered, marked bool
}

func crashes(n int, after time.Duration) []crashStep {
	var steps []crashStep
	for i := range n {
		steps = append(steps, crashStep{after: after, attempt: fmt.Sprint("a", i), start: int64(i)})
	}
	return steps
}

func TestRequestThatCrashesThreeTargetsIsQuarantined(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		steps []crashStep
		want  bool
	}{
		"two crashes":                        {crashes(2, time.Second), false},
		"three crashes":                      {crashes(3, time.Second), true},
		"three crashes minutes apart":        {crashes(3, 3*time.Minute), true},
		"three crashes half an hour apart":   {crashes(3, 30*time.Minute), false},
		"three at once":                      {crashes(3, 10*ms), false},
		"one attempt, then another":          {[]crashStep{{0, "a", 1, false, false}, {40 * ms, "a", 2, false, false}, {200 * ms, "b", 3, false, false}}, true},
		"three reports of one start":         {[]crashStep{{0, "a", 1, false, false}, {time.Second, "b", 1, false, false}, {time.Second, "c", 1, false, false}}, false},
		"an answer in between":               {[]crashStep{{0, "a", 1, false, false}, {time.Second, "b", 2, false, false}, {answered: true}, {time.Second, "c", 3, false, false}}, false},
		"answered before, three crashes":     {append([]crashStep{{answered: true}}, crashes(3, time.Second)...), false},
		"answered before, five crashes":      {append([]crashStep{{answered: true}}, crashes(5, time.Second)...), true},
		"answered elsewhere, three crashes":  {[]crashStep{{0, "a", 1, false, false}, {marked: true}, {time.Second, "b", 2, false, false}, {time.Second, "c", 3, false, false}}, false},
		"answered after the quarantine":      {append(crashes(3, time.Second), crashStep{answered: true}), false},
		"more crashes after the third":       {crashes(6, time.Second), true},
		"a late answer after the quarantine": {append(crashes(4, time.Second), crashStep{answered: true}), false},
	} {
		tracker, clock := newTracker()
		f := fingerprint("fatal")
		for _, s := range c.steps {
			clock.Advance(s.after)
			switch {
			case s.answered:
				tracker.RecordRequestAnswer(f)
			case s.marked:
				tracker.MarkAnswered(f)
			default:
				tracker.RecordRequestCrash(quarantine.Crash{Request: f, Attempt: s.attempt, Target: "t", Incarnation: s.start})
			}
		}
		if got := tracker.BlocksRequest(f); got != c.want {
			t.Errorf("%s: quarantined is %v, want %v", name, got, c.want)
		}
		if tracker.BlocksRequest(fingerprint("other")) {
			t.Errorf("%s: another request is quarantined", name)
		}
	}
}

// TestQuarantinedRequestIsTriedAgain guards against a quarantine without end: after its time the request is sent again,
// and one crash quarantines it anew.
func TestQuarantinedRequestIsTriedAgain(t *testing.T) {
	tracker, clock := newTracker()
	f := fingerprint("fatal")
	crash := func(start int64) {
		clock.Advance(time.Second)
		tracker.RecordRequestCrash(quarantine.Crash{Request: f, Attempt: fmt.Sprint(start), Target: "t", Incarnation: start})
	}
	for start := range int64(3) {
		crash(start)
	}
	held := tracker.Held()
	if len(held) != 1 || !held[0].Request || held[0].ID != f.String() {
		t.Fatalf("held: %v", held)
	}
	clock.Advance(10 * time.Minute)
	if tracker.BlocksRequest(f) || len(tracker.RemoveExpired()) != 1 {
		t.Error("the quarantine doesn't end")
	}
	clock.Advance(time.Minute)
	if crash(4); !tracker.BlocksRequest(f) {
		t.Error("the next crash doesn't quarantine the request again")
	}
	if !tracker.Release(held[0]) || tracker.BlocksRequest(f) {
		t.Error("an operator can't release the request")
	}
}

// TestFingerprintTellsRequestsApart guards against a sound request that is taken for another one.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	fields := [][]string{{"a", "GET", "h", "/p?q=1", "body"}, {"b", "GET", "h", "/p?q=1", "body"}, {"a", "POST", "h", "/p?q=1", "body"}, {"a", "GET", "g", "/p?q=1", "body"},
		{"a", "GET", "h", "/p?q=2", "body"}, {"a", "GET", "h", "/p?q=1", "bodies"}, {"a", "GET", "h", "/p?q=1", ""}, {"aG", "ET", "h", "/p?q=1", "body"}, {"a", "GET", "h", "/p?q=1b", "ody"}}
	seen := map[quarantine.Fingerprint][]string{}
	for _, f := range fields {
		print := quarantine.FingerprintOf(f[0], []byte(f[1]), []byte(f[2]), []byte(f[3]), []byte(f[4]))
		if other, ok := seen[print]; ok {
			t.Errorf("%q and %q have one fingerprint", f, other)
		}
		seen[print] = f
	}
}

// TestEvidenceAgainstRequestsIsBounded guards against memory that grows with the number of different requests.
func TestEvidenceAgainstRequestsIsBounded(t *testing.T) {
	tracker, clock := newTracker()
	last := fingerprint("last")
	for i := range 10_000 {
		clock.Advance(time.Millisecond)
		tracker.RecordRequestCrash(quarantine.Crash{Request: fingerprint(fmt.Sprint(i)), Attempt: fmt.Sprint(i), Target: "t", Incarnation: int64(i)})
		tracker.RecordRequestAnswer(fingerprint(fmt.Sprint("sound-", i)))
	}
	if got := tracker.RequestCrashes(fingerprint("0")); got != 0 {
		t.Error("the oldest evidence is kept")
	}
	if got := tracker.RequestCrashes(fingerprint("9999")); got != 1 {
		t.Error("the newest evidence is lost")
	}
	for start := range int64(3) {
		clock.Advance(time.Second)
		tracker.RecordRequestCrash(quarantine.Crash{Request: last, Attempt: fmt.Sprint(start), Target: "last", Incarnation: start})
	}
	if !tracker.BlocksRequest(last) {
		t.Error("a request isn't quarantined while many others are suspected")
	}
}

// BenchmarkFingerprint computes the fingerprint of a request, checks it and records its answer, as the origin of each
// request does.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size, "B"), func(b *testing.B) {
			tracker := &quarantine.Tracker{Clock: clockwork.NewRealClock()}
			body := bytes.Repeat([]byte("x"), size)
			n := 0
			for b.Loop() {
				n++
				f := quarantine.FingerprintOf("account", []byte("POST"), []byte("host.example"), fmt.Appendf(nil, "/path/%d", n), body)
				if tracker.BlocksRequest(f) {
					b.Fatal("a sound request is blocked")
				}
				tracker.RecordRequestAnswer(f)
			}
		})
	}
}
