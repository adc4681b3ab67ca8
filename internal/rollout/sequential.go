package rollout

import "math"

// stratum counts the answers to requests of one route in one period: all and the bad ones of both versions.
// "Bad" is a failure or a slow answer, by the kind of evidence.
type stratum struct {
	oldAll, oldBad, newAll, newBad int64
	// expected is the number of bad answers of the new version if it had the old version's shares: the sum over the
	// periods and data centres. It differs from that of all together if the versions had their requests at different
	// times or places.
	expected float64
}

// weighted returns s with the expected number for this period.
func (s stratum) weighted() stratum {
	s.expected = float64(s.newAll) * s.oldShare()
	return s
}

// reference returns the share of bad answers that is expected of a good version.
func (s stratum) reference() float64 {
	all := share(2*s.oldBad+1, 2*s.oldAll+50)
	if s.newAll == 0 {
		return all
	}
	return max(all, s.expected/float64(s.newAll))
}

func (s *stratum) add(o stratum) {
	s.oldAll += o.oldAll
	s.oldBad += o.oldBad
	s.newAll += o.newAll
	s.newBad += o.newBad
	s.expected += o.expected
}

// less returns s without the counts of an earlier sum.
func (s stratum) less(o stratum) stratum {
	return stratum{s.oldAll - o.oldAll, s.oldBad - o.oldBad, s.newAll - o.newAll, s.newBad - o.newBad, s.expected - o.expected}
}

func (s stratum) oldShare() float64 { return share(s.oldBad, s.oldAll) }
func (s stratum) newShare() float64 { return share(s.newBad, s.newAll) }

func share(part, all int64) float64 {
	if all <= 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// alternatives is the number of alternative hypotheses that a test mixes with equal weights.
const alternatives = 3

// factors are the logarithms of the likelihood ratios of one stratum, by alternative.
type factors [alternatives]float64

// hypotheses of a comparison of two versions. Tolerated is the odds ratio of bad answers up to which the new
// version is good.
type hypotheses struct {
	tolerated   float64
	alternative [alternatives]float64
}

// compare returns the likelihood ratios of a stratum under Fisher's noncentral hypergeometric distribution,
// that is, given how many answers of both versions together were bad. Under the null hypothesis, an odds
// ratio of at most the tolerated one, each has an expectation of at most 1, whatever the share of bad answers
// in the period is. A stratum without bad answers, or without answers of one version, has none.
func (h hypotheses) compare(s stratum) factors {
	bad := s.oldBad + s.newBad
	if bad == 0 || s.oldAll == 0 || s.newAll == 0 || bad == s.oldAll+s.newAll {
		return factors{}
	}
	low, high := max(0, bad-s.oldAll), min(s.newAll, bad)
	norm := func(odds float64) float64 {
		sum := math.Inf(-1)
		for j := low; j <= high; j++ {
			sum = logAdd(sum, logChoose(s.newAll, j)+logChoose(s.oldAll, bad-j)+float64(j)*math.Log(odds))
		}
		return sum
	}
	null := norm(h.tolerated)
	var f factors
	for i, odds := range h.alternative {
		f[i] = float64(s.newBad)*math.Log(odds/h.tolerated) - norm(odds) + null
	}
	return f
}

// compareShare returns the likelihood ratios of answers of the new version alone, against the null
// hypothesis that at most the tolerated share is bad.
func compareShare(s stratum, tolerated float64) factors {
	var f factors
	for i, part := range [alternatives]float64{0.15, 0.45, 0.9} {
		p := tolerated + part*(1-tolerated)
		f[i] = float64(s.newBad)*math.Log(p/tolerated) + float64(s.newAll-s.newBad)*math.Log((1-p)/(1-tolerated))
	}
	return f
}

// process is an e-process: its value exceeds 1/α at any time with a probability of at most α if the null
// hypothesis holds. It is a mixture over alternatives and over the times from which on the new version may
// be bad; the k-th such time has the weight 1/(k(k+1)). The zero value is ready for use.
type process struct {
	total  factors
	sum    stratum
	starts []start
	// known is set while log is the value of the present counts.
	known bool
	log   float64
}

// start is the state of a process when one of its starting times began.
type start struct {
	total factors
	sum   stratum
}

// begin starts the evidence anew, as one more component of the mixture.
func (p *process) begin() {
	p.known = false
	p.starts = append(p.starts, start{p.total, p.sum})
}

// add multiplies the value by the likelihood ratios of a stratum.
func (p *process) add(f factors, s stratum) {
	p.known = false
	if len(p.starts) == 0 {
		p.begin()
	}
	for i := range f {
		p.total[i] += f[i]
	}
	p.sum.add(s)
}

// value returns the logarithm of the value.
func (p *process) value() float64 {
	if p.known || len(p.starts) == 0 {
		return p.log
	}
	p.known, p.log = true, math.Inf(-1)
	for k := range p.starts {
		p.log = logAdd(p.log, p.component(k))
	}
	return p.log
}

// component returns the logarithm of the part of the value that is due to one starting time.
func (p *process) component(k int) float64 {
	sum := math.Inf(-1)
	for i := range p.total {
		sum = logAdd(sum, p.total[i]-p.starts[k].total[i])
	}
	return sum - math.Log(alternatives*float64(k+1)*float64(k+2))
}

// exceeds looks for a starting time whose component alone exceeds the threshold and from which on the new version has
// at least minBad bad answers and a share of them that exceeds the old version's by minExcess. Periods without bad
// answers don't change the value, so that the earliest such time would include many good answers before a change.
func (p *process) exceeds(threshold float64, minBad int64, minExcess float64) (since stratum, found bool) {
	if p.value() <= threshold {
		return stratum{}, false
	}
	for k := len(p.starts) - 1; k >= 0; k-- {
		s := p.sum.less(p.starts[k].sum)
		if s.newBad >= minBad && s.newShare()-s.oldShare() >= minExcess && p.component(k) > threshold {
			return s, true
		}
	}
	return stratum{}, false
}

// logAdd returns the logarithm of the sum of two numbers given by their logarithms.
func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// logChoose returns the logarithm of the binomial coefficient.
func logChoose(n, k int64) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
