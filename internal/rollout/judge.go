package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// minAnswers is the number of answers of the new version from which a route is judged: without a bad
	// answer, they are 20 times as likely for a good version than for one with goodExcess bad answers.
	minAnswers = 14
	// goodEvidence is the logarithm of the likelihood ratio from which the new version is good, ln 15.
	goodEvidence = 2.7
	// routeEvidence is that below which the answers on a single route, or the latest ones on all, speak against the
	// version. With goodEvidence on each route, one chance failure on a route with little traffic prevents the rollout.
	routeEvidence = -1
	// latestAnswers is the number of the latest answers by which a version is judged that was slow for a while after
	// its start.
	latestAnswers = 12
	// recentBad and recentSlowAnswers are the least numbers of failures and of slow answers among the latest ones that
	// speak against the version.
	recentBad         = 2
	recentSlowAnswers = 3
	// freshAnswers is the number of answers within freshTime before Switching: a version may become bad later.
	freshAnswers = 4
	freshTime    = 6 * time.Second
	// goodExcess and slowGoodExcess are the parts of the good answers that a bad version spoils, against
	// which a version must prove good.
	goodExcess     = 0.2
	slowGoodExcess = 0.35
	// minReference and maxReference bound the share of failures that is expected of a good version.
	// Without the upper bound, a bad version would pass while old targets fail.
	minReference = 0.02
	maxReference = 0.25
	// suspicion is the logarithm of the evidence from which the level of the grants doesn't rise, ln 5. Evidence that is short of the
	// threshold by less than doubtMargin, ln 5, prevents Switching.
	suspicion   = 1.6
	doubtMargin = 1.6
	// verdictTime is the time that the roll-back takes at most: half of it is for grants that are still valid,
	// the rest for messages.
	verdictTime = 3 * time.Second
)

// likelihood returns the logarithm of the likelihood ratio of a share ok of bad answers against one that is
// larger by excess of the rest.
func likelihood(s stratum, ok, excess float64) float64 {
	bad := ok + excess*(1-ok)
	return float64(s.newBad)*math.Log(ok/bad) + float64(s.newAll-s.newBad)*math.Log((1-ok)/(1-bad))
}

// failureLikelihood is the likelihood ratio of the failures.
func failureLikelihood(s stratum) float64 {
	return likelihood(s, min(max(s.reference(), minReference), maxReference), goodExcess)
}

// slowLikelihood is the likelihood ratio of the slow answers.
func slowLikelihood(s stratum) float64 {
	return likelihood(s, min(0.05+1.5*s.reference(), maxReference), slowGoodExcess)
}

// better returns the periods that speak more for the new version, the calm ones or all: the share of the old version
// that is expected in a disturbed period is uncertain, and leaving out such periods selects the remaining ones.
func better(calm, all stratum, likelihood func(stratum) float64) stratum {
	if calm.newAll >= minAnswers && likelihood(calm) >= likelihood(all) {
		return calm
	}
	return all
}

// judgment is the comparison of both versions on one route or on all.
type judgment struct {
	verdict Verdict
	reason  string
	// suspicious is set if there is some evidence against the new version, doubtful if there is nearly enough.
	suspicious, doubtful bool
	// maybeCold is set if the version is slow after its start, which may pass.
	maybeCold bool
}

// judge compares both versions on one route. Delay is Limits.RollbackDelay.
func (e *evidence) judge(now time.Time, r *route, delay time.Duration) judgment {
	where := "on all routes"
	if r.name != "" {
		where = fmt.Sprintf("on route %q", r.name)
	}
	threshold := r.threshold()
	if since, bad := r.failures.condemns(threshold, minFailureExcess); bad {
		return judgment{verdict: Bad, reason: describe("failures", where, since)}
	}
	// All slow answers count, those of a cold start too, when there have been so many bad answers that the
	// roll-back must begin.
	urgent := !e.urgentAt.IsZero() && now.Sub(e.urgentAt) >= delay-verdictTime
	for _, k := range []*kind{&r.slow, &r.slowAll} {
		if since, bad := k.condemns(threshold, minSlowExcess); bad && (k == &r.slow || urgent) {
			return judgment{verdict: Bad, reason: describe("slow answers", where, since)}
		}
	}
	if s := afterCold(r.slowAll.all, r.slowAll.bins, 0); urgent && r.index == 1 {
		// So many bad answers suffice if they are likelier of a bad version than of a good one.
		if failureLikelihood(r.failures.all) < 0 {
			return judgment{verdict: Bad, reason: describe("failures", where, r.failures.all)}
		}
		if slowLikelihood(s) < 0 {
			return judgment{verdict: Bad, reason: describe("slow answers", where, s)}
		}
	}
	var j judgment
	for _, k := range []*kind{&r.failures, &r.slow, &r.slowAll} {
		if k == &r.slowAll && !e.cold(now) {
			continue
		}
		value := k.process.value()
		suspicious := value > suspicion && k.all.newBad >= 2
		j.suspicious = j.suspicious || suspicious
		j.maybeCold = j.maybeCold || suspicious && k == &r.slowAll
		j.doubtful = j.doubtful || k != &r.slowAll && value > threshold-doubtMargin
	}
	return j
}

func describe(what, where string, s stratum) string {
	if s.oldAll == 0 {
		return fmt.Sprintf("%s %s: %d of %d of the new version", what, where, s.newBad, s.newAll)
	}
	return fmt.Sprintf("%s %s: %d of %d of the new version, %d of %d of the old one", what, where,
		s.newBad, s.newAll, s.oldBad, s.oldAll)
}

// passes reports whether the evidence on a route, or on all, suffices for a good version.
func passes(enough float64, failures, recentFailures, slow, recentSlow stratum) (ok bool, reason string) {
	switch {
	case failureLikelihood(failures) < enough:
		return false, describe("failures", "so far", failures)
	case recentFailures.newBad >= recentBad && failureLikelihood(recentFailures) < routeEvidence:
		return false, describe("failures", "lately", recentFailures)
	case slowLikelihood(slow) < enough:
		return false, describe("slow answers", "so far", slow)
	case recentSlow.newBad >= recentSlowAnswers && slowLikelihood(recentSlow) < routeEvidence:
		return false, describe("slow answers", "lately", recentSlow)
	}
	return true, ""
}

// afterCold returns the slow answers after the cold start, or the latest ones on the route, or on all, if these
// speak for the version: a cold start may take longer.
func afterCold(slow stratum, bins []bin, enough float64) stratum {
	if slow.newAll >= latestAnswers && slowLikelihood(slow) >= enough {
		return slow
	}
	var latest stratum
	for _, b := range slices.Backward(bins) {
		if latest.newAll >= latestAnswers {
			break
		}
		latest.add(b.stratum)
	}
	if slowLikelihood(latest) > slowLikelihood(slow) {
		return latest
	}
	return slow
}

// good judges whether a version that is not bad has enough evidence to be good. It returns the routes with too
// little traffic for a verdict, and why the version isn't good.
func (e *evidence) good(now time.Time) (ok bool, reason string, tooFew []string) {
	var calm, failures, calmSlow, slow, recentFailures, recentSlow stratum
	for _, r := range e.order {
		calm.add(r.failures.calm)
		failures.add(r.failures.all)
		calmSlow.add(r.slow.calm)
		slow.add(r.slow.all)
		recentFailures.add(r.failures.recent(now, recentTime))
		recentSlow.add(r.slowAll.recent(now, recentTime/2))
	}
	failures = better(calm, failures, failureLikelihood)
	slow = afterCold(better(calmSlow, slow, slowLikelihood), e.pooled.slowAll.bins, goodEvidence)
	fresh := e.pooled.failures.recent(now, freshTime).newAll
	if fresh < freshAnswers {
		reason = fmt.Sprintf("not enough evidence: %d answers of the new version in the last %v", fresh, freshTime)
	} else if failures.newAll < minAnswers {
		reason = fmt.Sprintf("not enough evidence: %d answers of the new version", failures.newAll)
	} else if ok, why := passes(goodEvidence, failures, recentFailures, slow, recentSlow); !ok {
		reason = "not proved good: " + why
	}
	// part is the share of the new version in all answers.
	part := share(failures.newAll, failures.newAll+failures.oldAll)
	for _, r := range e.order {
		f := better(r.failures.calm, r.failures.all, failureLikelihood)
		if f.newAll < minAnswers {
			tooFew = append(tooFew, r.name)
			// Requests to the new version that get no answer at all leave no other evidence.
			if expected := part * float64(f.newAll+f.oldAll); expected >= 2*minAnswers && float64(f.newAll) < expected/3 && reason == "" {
				reason = fmt.Sprintf("not proved good: %d answers on route %q, %.0f expected", f.newAll, r.name, expected)
			}
			continue
		}
		ok, why := passes(routeEvidence, f, r.failures.recent(now, recentTime), afterCold(better(r.slow.calm, r.slow.all, slowLikelihood), r.slowAll.bins, routeEvidence), r.slowAll.recent(now, recentTime/2))
		if !ok && reason == "" {
			reason = fmt.Sprintf("not proved good on route %q: %s", r.name, why)
		}
	}
	slices.Sort(tooFew)
	return reason == "" && len(e.order) > 0, reason, tooFew
}

// worsened reports whether the latest answers in Switching, the first under all of the load, speak against the
// version, compared with all answers of the old version.
func (e *evidence) worsened(now time.Time) (worse bool, reason string) {
	latest := func(failed bool) stratum {
		var sum stratum
		for _, r := range e.order {
			k := &r.slowAll
			if failed {
				k = &r.failures
			}
			sum.add(k.recent(now, recentTime/2))
			sum.oldAll, sum.oldBad = sum.oldAll+k.calm.oldAll, sum.oldBad+k.calm.oldBad
		}
		return sum
	}
	failures, slow := latest(true), latest(false)
	ok, reason := passes(math.Inf(-1), failures, failures, slow, slow)
	return !ok, reason
}

// goodAlone judges a version that can't be compared with an old one.
func (e *evidence) goodAlone() (ok bool, reason string) {
	s := e.pooled.failures.all
	if s.newAll >= minAnswers && s.newShare() > aloneReference {
		return false, describe("failures", "so far", s)
	}
	return true, ""
}

// judgeAll compares both versions on each route and on all together; one bad route makes the version bad.
func (e *evidence) judgeAll(now time.Time, delay time.Duration) judgment {
	if len(e.order) == 0 {
		return judgment{}
	}
	all := e.judge(now, &e.pooled, delay)
	for _, r := range e.order {
		if all.verdict == Bad {
			break
		}
		j := e.judge(now, r, delay)
		j.suspicious, j.doubtful = j.suspicious || all.suspicious, j.doubtful || all.doubtful
		j.maybeCold = j.maybeCold || all.maybeCold
		all = j
	}
	return all
}

// summary describes the evidence on a route.
func (r *route) summary(j judgment) RouteSummary {
	f, s := r.failures.all, r.slowAll.all
	sum := RouteSummary{
		Route: r.name, OldAnswers: f.oldAll, OldBad: f.oldBad, OldSlow: s.oldBad,
		NewAnswers: f.newAll, NewBad: f.newBad, NewSlow: s.newBad,
		FailureEvidence: r.failures.process.value(), SlowEvidence: r.slow.process.value(), BadFrom: r.threshold(), Verdict: j.verdict,
	}
	if r.slowBucket > 0 {
		sum.SlowFrom = BucketStart(r.slowBucket)
	}
	return sum
}
