// Package latency tracks the measured durations of attempts at stages: quantiles for each kind of
// target, and a moving average for each target.
//
// # Usage
//
//	var tracker latency.Tracker
//	tracker.Record(now, "llm", "llm-1", 180*time.Millisecond)
//	d, ok := tracker.Quantile(now, "llm", 0.95)
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Window is the time for which a histogram is filled. Its measurements count for one more
	// window as long as the next histogram has fewer than MinSamples.
	Window = 30 * time.Second
	// TargetMaxAge is the time after its last measurement for which a target's average is valid.
	TargetMaxAge = 3 * time.Second
	// MinSamples is the smallest number of measurements for which a quantile is returned.
	MinSamples = 10
	// minMicros and maxMicros are the range of the histograms in microseconds; durations outside
	// of it are recorded as its limits.
	minMicros = 50
	maxMicros = 10 * 60 * 1000 * 1000
	// significantDigits is the number of decimal digits to which histograms are exact.
	significantDigits = 2
	// smoothing is the weight, 0 to 1, of the newest measurement in a target's average.
	smoothing = 0.2
)

// Tracker holds the durations. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Tracker struct {
	histograms map[string]*rotatingHistogram
	averages   map[string]average
}

// average is the moving average of a target's durations and the time of its last measurement.
type average struct {
	duration  time.Duration
	updatedAt time.Time
}

// rotatingHistogram is a pair of histograms: current receives measurements, previous holds
// those of the window before.
type rotatingHistogram struct {
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	rotatedAt time.Time
}

// Record adds the duration of one attempt at the target, which is of the kind.
func (t *Tracker) Record(now time.Time, kind, target string, d time.Duration) {
	if t.histograms == nil {
		t.histograms = map[string]*rotatingHistogram{}
		t.averages = map[string]average{}
	}
	h := t.histograms[kind]
	if h == nil {
		h = &rotatingHistogram{current: newHistogram(), previous: newHistogram(), rotatedAt: now}
		t.histograms[kind] = h
	}
	h.rotate(now)
	_ = h.current.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
	a := t.averages[target]
	if now.Sub(a.updatedAt) >= TargetMaxAge {
		a.duration = d
	}
	a.duration += time.Duration(smoothing * float64(d-a.duration))
	a.updatedAt = now
	t.averages[target] = a
}

// Quantile returns the quantile q, from 0 to 1, of the durations at targets of the kind. It returns
// false if the current and the previous window together have fewer than MinSamples measurements.
// If the current window alone has fewer, the result is the larger quantile of the two windows.
func (t *Tracker) Quantile(now time.Time, kind string, q float64) (time.Duration, bool) {
	h := t.histograms[kind]
	if h == nil {
		return 0, false
	}
	h.rotate(now)
	if h.current.TotalCount()+h.previous.TotalCount() < MinSamples {
		return 0, false
	}
	micros := h.current.ValueAtQuantile(q * 100)
	if h.current.TotalCount() < MinSamples {
		micros = max(micros, h.previous.ValueAtQuantile(q*100))
	}
	return time.Duration(micros) * time.Microsecond, true
}

// TargetAverage returns the moving average of the target's durations. It returns false if the
// last measurement is older than TargetMaxAge: otherwise a target that gets no requests because
// it was slow would count as slow forever.
func (t *Tracker) TargetAverage(now time.Time, target string) (time.Duration, bool) {
	a, ok := t.averages[target]
	if !ok || now.Sub(a.updatedAt) >= TargetMaxAge {
		return 0, false
	}
	return a.duration, true
}

// ForgetTarget removes the average of a target; it is called when the target has restarted.
func (t *Tracker) ForgetTarget(target string) {
	delete(t.averages, target)
}

// rotate starts a new window if the current one has ended.
func (h *rotatingHistogram) rotate(now time.Time) {
	if now.Sub(h.rotatedAt) < Window {
		return
	}
	h.current, h.previous = h.previous, h.current
	h.current.Reset()
	h.rotatedAt = now
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}
