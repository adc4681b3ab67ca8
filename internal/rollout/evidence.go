package rollout

import (
	"math"
	"time"
)

const (
	// falseAlarm is the probability with which the sequential tests of a rollout together condemn a good
	// version.
	falseAlarm = 0.01
	// tests is the number of tests on each route: failures, slow answers after the cold start, and all
	// slow answers.
	tests = 3
	// minBin and maxBin are the lengths of the periods in which the versions are compared. A period
	// ends after minBin if it has answersPerBin answers of the old version, and in Switching with each Step.
	minBin        = 250 * time.Millisecond
	maxBin        = 2 * time.Second
	answersPerBin = 20
	// startInterval is the time between two starting times of a process. Answers that arrive long after their
	// requests must not make up a component of their own.
	startInterval = 4 * time.Second
	// aloneInterval is the same in Switching, where the load changes and there is little time.
	aloneInterval = time.Second
	// minCellAnswers is the number of answers of the old version from which a data centre is compared by itself.
	minCellAnswers = 8
	// minBadAnswers is the least number of bad answers of a bad version, and minBadBins that of the periods
	// with bad answers: one broken link fails several requests at once. ManyBadAnswers suffice in one period.
	minBadAnswers  = 4
	minBadBins     = 2
	manyBadAnswers = 8
	// minFailureExcess and minSlowExcess are the least differences of the shares of bad answers between the
	// versions.
	minFailureExcess = 0.05
	minSlowExcess    = 0.2
	// slowBuckets is the number of buckets from the median latency of the old version to the first slow one: slow
	// answers take 2.4 times the median on average of the positions in its bucket.
	slowBuckets = 3
	// medianBins is the number of periods over which the median is taken, medianAnswers the least number of
	// answers.
	medianBins    = 40
	medianAnswers = 10
	// recentTime is the time over which the last evidence must not speak against the new version.
	recentTime = 4 * time.Second
	// coldTime is the time from the first answer of the new version in which slow answers don't count
	// against it, at most coldPart of the duration of a short rollout.
	coldTime = 6 * time.Second
	coldPart = 0.4
	// urgentAnswers is the number of bad answers after which the verdict must not wait. It is less than 50, since
	// not every slow answer of a bad version exceeds the first slow bucket.
	urgentAnswers = 35
	// A data centre is faulty in Switching if at least outlierShare of its answers of the last outlierTime are bad, and
	// at most othersShare of the outlierAnswers or more of the others.
	outlierTime    = 2 * time.Second
	outlierShare   = 0.25
	outlierAnswers = 20
	othersShare    = 0.1
	// disturbedShare is the share of bad answers of the old version, beyond twice its usual share, from which
	// a period tells nothing: part of the service's targets fail or are slow.
	disturbedShare = 0.15
	// aloneReference is the tolerated share of failures of a version that can't be compared with an old one.
	aloneReference = 0.2
	// disturbedAnswers is the least number of answers of the old version in such a period.
	disturbedAnswers = 8
)

// The hypotheses on failures and on slow answers. A good version may be somewhat slower, since few
// of its targets are in use.
var (
	failureHypotheses = hypotheses{tolerated: 2, alternative: [alternatives]float64{5, 15, 60}}
	slowHypotheses    = hypotheses{tolerated: 3, alternative: [alternatives]float64{8, 25, 80}}
)

// pair is what has been counted of both versions.
type pair struct{ old, new Sample }

func (p *pair) add(o pair) {
	p.old.Add(o.old)
	p.new.Add(o.new)
}

// failures returns the counts as evidence of failures.
func (p pair) failures() stratum {
	return stratum{oldAll: p.old.Good + p.old.Bad, oldBad: p.old.Bad, newAll: p.new.Good + p.new.Bad, newBad: p.new.Bad}.weighted()
}

// slow returns the counts as evidence of answers in the buckets from slowFrom on.
func (p pair) slow(slowFrom int) stratum {
	oldSlow, oldAll := p.old.slowFrom(slowFrom)
	newSlow, newAll := p.new.slowFrom(slowFrom)
	return stratum{oldAll: oldAll, oldBad: oldSlow, newAll: newAll, newBad: newSlow}.weighted()
}

// kind is one kind of evidence on a route.
type kind struct {
	process process
	// all sums all periods, calm those in which the old version was not disturbed. Disturbed and calmBins
	// are the numbers of these periods with answers of the new version.
	all, calm           stratum
	disturbed, calmBins int
	// badBins is the number of periods with bad answers of the new version, badBinAt the end of the last one.
	badBins  int
	badBinAt time.Time
	bins     []bin
}

// bin is the evidence of one period.
type bin struct {
	endedAt time.Time
	stratum stratum
}

// record takes the strata of one period. Reference is the share of bad answers that is tolerated if the old
// version has no answers, 0 while it has.
func (k *kind) record(now time.Time, h hypotheses, strata []stratum, reference float64) factors {
	sum := total(strata)
	k.count(now, sum)
	disturbed := sum.oldAll >= disturbedAnswers && sum.oldShare() > disturbedShare+2*k.calm.oldShare()
	if disturbed && sum.newAll > 0 {
		k.disturbed++
	}
	var ratios factors
	if !disturbed {
		k.calm.add(sum)
		if sum.newAll > 0 {
			k.calmBins++
		}
	}
	if disturbed && k.disturbed <= k.calmBins {
		return ratios
	}
	for _, s := range strata {
		f := h.compare(s)
		if reference > 0 {
			f = compareShare(s, reference)
		}
		k.process.add(f, s)
		for i := range f {
			ratios[i] += f[i]
		}
	}
	return ratios
}

func total(strata []stratum) stratum {
	var sum stratum
	for _, s := range strata {
		sum.add(s)
	}
	return sum
}

// count adds a period, or a further route in the same period, to the sums.
func (k *kind) count(now time.Time, s stratum) {
	k.all.add(s)
	if s.newBad > 0 && !k.badBinAt.Equal(now) {
		k.badBins++
		k.badBinAt = now
	}
	if n := len(k.bins); n > 0 && k.bins[n-1].endedAt.Equal(now) {
		k.bins[n-1].stratum.add(s)
		return
	}
	k.bins = append(k.bins, bin{now, s})
	if len(k.bins) > medianBins {
		k.bins = k.bins[1:]
	}
}

// recent sums the last periods.
func (k *kind) recent(now time.Time, within time.Duration) stratum {
	var sum stratum
	for _, b := range k.bins {
		if now.Sub(b.endedAt) <= within {
			sum.add(b.stratum)
		}
	}
	return sum
}

// condemns reports whether the evidence exceeds the threshold and the difference matters in practice, and since when.
func (k *kind) condemns(threshold, minExcess float64) (since stratum, bad bool) {
	least := int64(minBadAnswers)
	if k.badBins < minBadBins {
		least = manyBadAnswers
	}
	return k.process.exceeds(threshold, least, minExcess)
}

// route is the evidence on one route, or on all together.
type route struct {
	name string
	// index is its position in the order of appearance, from 1; it determines the error probability.
	index int
	// open holds the answers of the current period by the data centre of the daemon.
	open map[string]*pair
	// olds are the old version's answers of the last periods.
	olds []Sample
	// slowBucket is the first bucket of slow answers, 0 if unknown.
	slowBucket              int
	failures, slow, slowAll kind
}

// threshold returns the logarithm of the evidence from which one test condemns the new version.
func (r *route) threshold() float64 {
	return math.Log(tests / falseAlarm * float64(r.index) * float64(r.index+1))
}

// strata returns the counts of the open period by data centre, without those of one. Data centres with few answers are
// put together.
func (r *route) strata(without string) []pair {
	var list []pair
	var rest pair
	for name, p := range r.open {
		switch {
		case without != "" && name == without:
		case p.failures().oldAll >= minCellAnswers:
			list = append(list, *p)
		default:
			rest.add(*p)
		}
	}
	return append(list, rest)
}

// learnMedian updates the first bucket of slow answers from the answers of the old version up to now.
func (r *route) learnMedian(old Sample) {
	r.olds = append(r.olds, old)
	if len(r.olds) > medianBins {
		r.olds = r.olds[1:]
	}
	var sum Sample
	for _, s := range r.olds {
		sum.Add(s)
	}
	if m, known := sum.median(medianAnswers); known {
		r.slowBucket = min(m+slowBuckets, LatencyBuckets-1)
	}
}

// evidence compares both versions by route. The zero value is ready for use.
type evidence struct {
	routes map[string]*route
	// order lists the routes in order of appearance; pooled is the evidence of all.
	order  []*route
	pooled route

	openedAt, startedAt time.Time
	// firstNewAt is when the first answer of the new version was reported.
	firstNewAt time.Time
	// coldFor is how long from then on slow answers may be due to a cold start.
	coldFor time.Duration
	// badAnswers is the number of failed and slow answers of the new version, urgentAt when the number of urgentAnswers was reached.
	badAnswers int64
	urgentAt   time.Time
	// dataCentres holds the answers of the last outlierTime by data centre, in Switching only.
	dataCentres map[string][]bin
	// alone is set from Switching on: the old version gets no new requests, and the answers of the new one are
	// compared with the old version's before.
	alone bool
}

// add counts answers that were reported.
func (e *evidence) add(now time.Time, dataCentre, name string, p pair) {
	r := e.routes[name]
	if r == nil {
		if e.routes == nil {
			e.routes = map[string]*route{}
			e.pooled = route{index: 1}
			e.openedAt, e.startedAt = now, now
		}
		r = &route{name: name, index: len(e.order) + 2, open: map[string]*pair{}}
		e.routes[name] = r
		e.order = append(e.order, r)
	}
	cell := r.open[dataCentre]
	if cell == nil {
		cell = &pair{}
		r.open[dataCentre] = cell
	}
	cell.add(p)
	if e.firstNewAt.IsZero() && p.new.Good+p.new.Bad > 0 {
		e.firstNewAt = now
	}
}

// cold reports whether slow answers may be due to a cold start.
func (e *evidence) cold(now time.Time) bool {
	return e.firstNewAt.IsZero() || now.Before(e.firstNewAt.Add(e.coldFor))
}

// advance ends the current period if it is long enough.
func (e *evidence) advance(now time.Time) {
	age := now.Sub(e.openedAt)
	if len(e.order) == 0 || age < minBin && !e.alone {
		return
	}
	var open stratum
	for _, r := range e.order {
		for _, p := range r.open {
			open.add(p.failures())
		}
	}
	// Without a comparison in the same period, each answer counts by itself and there is nothing to wait for.
	if age < maxBin && open.oldAll < answersPerBin && !e.alone {
		return
	}
	e.openedAt = now
	interval := startInterval
	if e.alone {
		interval = aloneInterval
	}
	if now.Sub(e.startedAt) >= interval {
		e.startedAt = now
		for _, r := range append(e.order, &e.pooled) {
			for _, k := range []*kind{&r.failures, &r.slow, &r.slowAll} {
				k.process.begin()
			}
		}
	}
	e.close(now)
}

// close ends the current period on all routes.
func (e *evidence) close(now time.Time) {
	without := e.faultyDataCentre(now)
	for _, r := range e.order {
		strata := r.strata(without)
		var sum pair
		failures := make([]stratum, len(strata))
		slow := make([]stratum, len(strata))
		for _, p := range strata {
			sum.add(p)
		}
		if r.slowBucket == 0 {
			r.learnMedian(sum.old)
		}
		for i, p := range strata {
			failures[i] = p.failures()
			slow[i] = p.slow(r.slowBucket)
		}
		r.open = map[string]*pair{}

		failed := r.failures.record(now, failureHypotheses, failures, e.reference(&r.failures, 0.08, 1.5))
		e.pool(now, &e.pooled.failures, failed, total(failures))
		e.badAnswers += sum.new.Bad
		if r.slowBucket > 0 {
			reference := e.reference(&r.slow, 0.3, 1.5)
			slowSum := total(slow)
			if !e.cold(now) || e.alone {
				e.pool(now, &e.pooled.slow, r.slow.record(now, slowHypotheses, slow, reference), slowSum)
			}
			e.pool(now, &e.pooled.slowAll, r.slowAll.record(now, slowHypotheses, slow, reference), slowSum)
			e.badAnswers += slowSum.newBad
		}
		if !e.alone {
			r.learnMedian(sum.old)
		}
	}
	if e.urgentAt.IsZero() && e.badAnswers >= urgentAnswers {
		e.urgentAt = now
	}
}

// faultyDataCentre returns the data centre that has most of the bad answers in Switching while the others have few, and
// "" if there is none. Without the old version, nothing else tells a fault of a data centre from one of the version.
func (e *evidence) faultyDataCentre(now time.Time) string {
	if !e.alone {
		return ""
	}
	if e.dataCentres == nil {
		e.dataCentres = map[string][]bin{}
	}
	for _, r := range e.order {
		for name, p := range r.open {
			s := p.failures()
			if r.slowBucket > 0 {
				s.newBad += p.slow(r.slowBucket).newBad
			}
			e.dataCentres[name] = append(e.dataCentres[name], bin{now, s})
		}
	}
	var all, worst stratum
	faulty := ""
	for name, bins := range e.dataCentres {
		for len(bins) > 0 && now.Sub(bins[0].endedAt) > outlierTime {
			bins = bins[1:]
		}
		e.dataCentres[name] = bins
		var sum stratum
		for _, b := range bins {
			sum.add(b.stratum)
		}
		all.add(sum)
		if sum.newShare() > worst.newShare() {
			worst, faulty = sum, name
		}
	}
	others := all.less(worst)
	if worst.newShare() < outlierShare || others.newAll < outlierAnswers || others.newShare() > othersShare {
		return ""
	}
	return faulty
}

// reference returns the share of bad answers that is tolerated once the old version gets no new requests.
func (e *evidence) reference(k *kind, base, factor float64) float64 {
	if !e.alone {
		return 0
	}
	if e.pooled.failures.all.oldAll == 0 {
		return aloneReference
	}
	return min(0.6, base+factor*k.calm.oldShare())
}

// pool adds the likelihood ratios and counts of one route to the evidence of all.
func (e *evidence) pool(now time.Time, k *kind, f factors, s stratum) {
	k.process.add(f, s)
	k.count(now, s)
}
