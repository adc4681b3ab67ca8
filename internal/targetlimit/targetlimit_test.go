package targetlimit

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestLimitHoldsUntilLaterRequestIsAnsweredWithoutIt guards against limits that end with an answer that was overtaken, that
// begin again with a late notice, or that outlive the start of their target.
func TestLimitHoldsUntilLaterRequestIsAnsweredWithoutIt(t *testing.T) {
	type step struct {
		incarnation      int64
		perSecond        float64
		sentAt, at       float64
		wantNews         bool
		wantLimit        float64
		wantOfFirstStart float64
	}
	for name, steps := range map[string][]step{
		"named, changed, ended": {
			{1, 2, 0, 1, true, 2, 2}, {1, 2, 1, 2, false, 2, 2}, {1, 3, 2, 3, true, 3, 3}, {1, 0, 4, 5, true, 0, 0}, {1, 0, 5, 6, false, 0, 0}, {1, 1, 6, 7, true, 1, 1},
		},
		"an answer to an earlier request names none": {{1, 2, 0, 2, true, 2, 2}, {1, 0, 1, 3, false, 2, 2}},
		"an older value arrives late":                {{1, 2, 0, 2, true, 2, 2}, {1, 3, 0, 1, false, 2, 2}},
		"a late notice after the end":                {{1, 2, 0, 1, true, 2, 2}, {1, 0, 2, 3, true, 0, 0}, {1, 2, 0, 2, false, 0, 0}},
		"another start":                              {{1, 2, 0, 1, true, 2, 2}, {2, 0, 2, 3, false, 0, 0}, {2, 4, 3, 4, true, 4, 0}, {1, 2, 4, 5, false, 4, 0}},
		"a target that names none":                   {{1, 0, 0, 1, false, 0, 0}},
	} {
		var table Table
		for i, s := range steps {
			news, _ := table.Record(Notice{Target: "a", Incarnation: s.incarnation, PerSecond: s.perSecond, SentAt: at(s.sentAt), At: at(s.at)})
			newest := 0.0
			if all := table.Limits(); len(all) > 0 {
				newest = all[0].PerSecond
			}
			first, _ := table.Limit("a", 1)
			if news != s.wantNews || newest != s.wantLimit || first.PerSecond != s.wantOfFirstStart {
				t.Errorf("%s, step %d: news %v, limit %v, of the first start %v; want %v, %v, %v", name, i, news, newest, first.PerSecond, s.wantNews, s.wantLimit, s.wantOfFirstStart)
			}
		}
	}
}

// TestNoticesAreRepeatedInCaseTheyAreLost guards against a leader that never hears of a limit or of its end.
func TestNoticesAreRepeatedInCaseTheyAreLost(t *testing.T) {
	var table Table
	due := 0
	for i := range 100 {
		if _, d := table.Record(Notice{Target: "a", Incarnation: 1, PerSecond: 2, SentAt: at(float64(i) / 20), At: at(float64(i) / 20)}); d {
			due++
		}
	}
	if due != 5 {
		t.Errorf("a limit that is named for 5 s is due %d times, want 5", due)
	}
	due = 0
	for i := range 100 {
		if _, d := table.Record(Notice{Target: "a", Incarnation: 1, SentAt: at(5 + float64(i)/20), At: at(5 + float64(i)/20)}); d {
			due++
		}
	}
	if due != 5 {
		t.Errorf("in 5 s its end is due %d times, want 5", due)
	}
}

// TestRateIsShareOfLimit guards against shares that add up to more than the limit, and against a limit so low that its end is never
// seen.
func TestRateIsShareOfLimit(t *testing.T) {
	for _, tc := range []struct {
		limit, share, seconds float64
		least, most           int
	}{
		{4, 1, 100, 398, 402}, {4, 0.25, 100, 98, 102}, {4, 0, 100, 0, 0}, {0.001, 1, 100, 10, 11}, {1e300, 1, 1, 1000, 1000},
	} {
		table := Table{Share: func() float64 { return tc.share }}
		table.Record(Notice{Target: "a", Incarnation: 1, PerSecond: tc.limit, At: start})
		sent := 0
		for i := range int(tc.seconds * 1000) {
			if now := at(float64(i) / 1000); table.Allows(now, "a", 1) {
				table.RecordSend(now, "a", 1)
				sent++
			}
			if !table.Allows(at(float64(i)/1000), "b", 1) || !table.Allows(at(float64(i)/1000), "a", 2) {
				t.Fatal("a target without a limit is limited")
			}
		}
		if sent < tc.least || sent > tc.most {
			t.Errorf("a share of %v of %v requests a second allows %d in %v s, want %d to %d", tc.share, tc.limit, sent, tc.seconds, tc.least, tc.most)
		}
	}
}

// TestTableOfLimitsIsBounded guards against memory that grows with the number of targets that ever named a limit.
func TestTableOfLimitsIsBounded(t *testing.T) {
	var table Table
	for i := range 2 * maxTargets {
		table.Record(Notice{Target: fmt.Sprint(i), Incarnation: 1, PerSecond: 1, At: at(float64(i))})
		table.RecordMalformed(at(float64(i)), fmt.Sprint(i))
	}
	if n := len(table.Limits()); n != maxTargets || len(table.malformedAt) > maxTargets {
		t.Errorf("%d limits and %d malformed ones are stored, allowed are %d", n, len(table.malformedAt), maxTargets)
	}
	if _, ok := table.Limit(fmt.Sprint(2*maxTargets-1), 1); !ok {
		t.Error("the newest limit is forgotten")
	}
}
