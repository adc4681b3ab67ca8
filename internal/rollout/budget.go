package rollout

import (
	"math"
	"time"
)

const (
	// grantTime is how long a grant is valid at most; grantInterval is the time after which a host gets the next one.
	grantTime     = 1500 * time.Millisecond
	grantInterval = time.Second
	// reachedMargin is the part of the reported requests on which the budget is based, and slackPart that of
	// Limits.Slack: requests may be counted differently elsewhere.
	reachedMargin = 0.95
	slackPart     = 0.6
	// levelAnswers is the number of answers of the new version for each level, and levelTime the least time
	// on it. Answers to grants of an earlier decider count.
	levelAnswers = 6
	levelTime    = time.Second
	// shortTime is the time to Switching from which on the level rises without these answers and twice as fast if the
	// daemons have fewer than littleTraffic requests a second each: they use their grants slowly.
	shortTime     = 10 * time.Second
	littleTraffic = 1
	// burstLoad is the load of a new target in a burst, relative to that of an old one.
	burstLoad = 1.2
	// restPart is the part of the average rate that is granted between two bursts.
	restPart = 0.3
	// usePart is the part of the time to Switching over which the available budget is spread at least, until the new
	// version has earlyAnswers answers.
	usePart      = 0.5
	earlyAnswers = 60
	// lastAnswers is the time before Switching at which the last burst ends, so that its answers count.
	lastAnswers = 700 * time.Millisecond
	// burstTime is the least length of a burst after the first.
	burstTime = 1500 * time.Millisecond
	// coldRate is the number of requests a second that are granted while slow answers may be due to a cold start, and
	// cautiousRequests the number in all, also until the first answers: there must be fewer than urgentAnswers slow ones.
	// Failures don't reduce the rate, since more answers decide sooner.
	coldRate         = 4
	cautiousRequests = 25
	// minBlock is the least number of requests that are reserved in the store at once.
	minBlock = 6
	// blockTime is the time for which a block should last.
	blockTime = 3 * time.Second
	// planLifetime is how long the planned grants of a Step may be handed out.
	planLifetime = 300 * time.Millisecond
)

// levels are the steps in which the grants are raised: the parts of Limits.Share and of the usable slack. The last
// one leaves budget for the requests that a version gets that turns out to be bad in Switching.
var levels = [...]struct{ share, slack float64 }{{0.3, 0.4}, {0.5, 0.75}, {0.7, 1}}

// budget issues grants.
type budget struct {
	// granted counts the requests granted, with those that may have been granted by earlier deciders.
	// Reserved is the number in the saved state; granted never exceeds it.
	granted, reserved int64
	level             int
	levelSince        time.Time
	burst             bool
	// share is the part of the requests that is to be granted at present; needed is the number of
	// requests that grants take in blockTime.
	share  float64
	needed float64
	// targets is the number of new targets in use.
	targets int

	plan      map[string]int
	plannedAt time.Time
	// next is the index of the host that is planned first, so that scarce budget reaches all in turn.
	next int
}

// allowed returns the number of requests that may be granted in all, unused ones excluded. BadAnswers are those
// of the new version: each may have made a daemon or a caller repeat its request.
func (b *budget) allowed(l Limits, reached, badAnswers int64) float64 {
	level := levels[b.level]
	counted := max(0, reachedMargin*float64(reached)-float64(badAnswers))
	return level.share*l.Share*counted + level.slack*slackPart*l.Slack
}

// available returns the number of requests that may be granted now.
func (b *budget) available(l Limits, reached, unused, badAnswers int64) float64 {
	return b.allowed(l, reached, badAnswers) - float64(b.granted-unused)
}

// raiseLevel goes to the next level after enough answers of the new version without suspicion, and in
// a short rollout with little traffic on each daemon sooner.
func (b *budget) raiseLevel(now time.Time, short bool, answers int64, suspicious bool) {
	if b.levelSince.IsZero() {
		b.levelSince = now
	}
	if suspicious || b.level == len(levels)-1 || now.Sub(b.levelSince) < levelTime && !(short && now.Sub(b.levelSince) >= levelTime/2) {
		return
	}
	if !short && answers < levelAnswers*int64(b.level+1) {
		return
	}
	b.level++
	b.levelSince = now
}

// aim sets the share of the requests to grant and the number of new targets. Rate is that of the service in
// requests a second, available the present budget, left the time to Switching,
// answers the number of answers of the new version.
func (b *budget) aim(l Limits, v View, rate, available float64, left time.Duration, answers int64, maybeCold bool) {
	b.share, b.targets = 0, 1
	if rate <= 0 || v.NewTargets == 0 {
		return
	}
	average := levels[b.level].share * l.Share * rate
	perTarget := burstLoad * rate / float64(max(1, v.OldTargets))
	b.targets = min(max(1, int(average/perTarget)), v.NewTargets)
	wanted := perTarget * float64(b.targets)
	switch {
	case available < 1:
		b.burst = false
	case available >= wanted*(left-lastAnswers).Seconds():
		b.burst = true // all of the budget is used before Switching
	case available >= wanted*burstTime.Seconds() || available >= 0.9*slackPart*l.Slack*levels[0].slack && b.level == 0:
		b.burst = true
	}
	if !b.burst {
		wanted = restPart * average
		if answers < earlyAnswers {
			wanted = max(wanted, available/max(1, usePart*left.Seconds()))
		}
	}
	if maybeCold {
		wanted = min(wanted, coldRate)
	}
	b.share = min(1, wanted/rate)
}

// allot plans the grants of all hosts. Each is charged when it is handed out.
func (b *budget) allot(now time.Time, hosts []Host, l *ledger, available float64) {
	b.plan, b.plannedAt, b.needed = map[string]int{}, now, 0
	if len(hosts) == 0 {
		return
	}
	left := min(int64(available), b.reserved-b.granted)
	b.next %= len(hosts)
	first := b.next
	for i := range hosts {
		d := l.hosts[hosts[(first+i)%len(hosts)].Name]
		if d == nil || now.Sub(d.seenAt) > grantTime {
			continue
		}
		if now.Sub(d.grantedAt) > 2*grantInterval {
			// The hosts get their grants at different times. A burst on all of them would start with a surge.
			d.grantedAt = now.Add(-time.Duration(spread(d.key.host) * float64(grantInterval)))
		}
		perGrant := b.share * max(1, d.rate*grantInterval.Seconds())
		b.needed += perGrant * float64(blockTime/grantInterval)
		if d.rate <= 0 || now.Sub(d.grantedAt) < grantInterval {
			continue
		}
		if d.fraction+perGrant < 1 {
			d.fraction += perGrant
			d.grantedAt = now
			continue
		}
		n := min(int64(d.fraction+perGrant), left)
		if n <= 0 {
			b.next = (first + i) % len(hosts) // it comes first next time
			break
		}
		b.plan[d.key.host] = int(n)
		left -= n
		b.next = (first + i + 1) % len(hosts)
	}
}

// take hands out the planned grant of a host.
func (b *budget) take(now time.Time, host string, l *ledger, limits Limits) Grant {
	n := b.plan[host]
	d := l.hosts[host]
	if n == 0 || d == nil || now.Sub(b.plannedAt) > planLifetime || b.granted+int64(n) > b.reserved {
		return Grant{}
	}
	delete(b.plan, host)
	b.granted += int64(n)
	perGrant := b.share * max(1, d.rate*grantInterval.Seconds())
	d.fraction = math.Mod(d.fraction+perGrant, 1)
	d.grantedAt = now
	return Grant{Requests: n, ValidFor: min(grantTime, limits.RollbackDelay/3), Targets: b.targets}
}

// block returns how far to reserve, or 0 if what is reserved suffices. A block that a failing decider leaves behind
// is lost, so that it must not take all of the available budget.
func (b *budget) block(available float64) int64 {
	size := int64(min(max(b.needed, minBlock), max(minBlock, available/2)))
	if b.reserved-b.granted > size/2 {
		return 0
	}
	return b.granted + size
}
