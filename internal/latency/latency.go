// Package latency keeps the measured durations of stages, by kind and by target.
//
// # Usage
//
//	book.Record(now, "llm", "llm-1", 180*time.Millisecond)
//	d, ok := book.Quantile(now, "llm", 0.95)
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Settings of the histograms.
const (
	// Window is the time after which measurements begin to be forgotten.
	Window = 30 * time.Second
	// TargetMaxAge is the time for which a target's average counts after its last
	// measurement.
	TargetMaxAge = 3 * time.Second
	// MinSamples is the number of measurements below which no quantile is given.
	MinSamples       = 10
	smallestMicros   = 50
	largestMicros    = 10 * 60 * 1000 * 1000
	significantDigit = 2
	// smoothing is the weight of the newest measurement in a target's average.
	smoothing = 0.2
)

// Tracker holds the durations; the zero value is empty. It is not safe for concurrent use.
type Tracker struct {
	kinds   map[string]*windows
	targets map[string]average
}

// average is the smoothed duration of one target and the time of its last measurement.
type average struct {
	duration time.Duration
	at       time.Time
}

// windows are two histograms, of which the newer one is being filled.
type windows struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	rotated  time.Time
}

// Record adds one duration.
func (b *Tracker) Record(now time.Time, kind, target string, d time.Duration) {
	if b.kinds == nil {
		b.kinds = map[string]*windows{}
		b.targets = map[string]average{}
	}
	w := b.kinds[kind]
	if w == nil {
		w = &windows{current: newHistogram(), previous: newHistogram(), rotated: now}
		b.kinds[kind] = w
	}
	w.rotate(now)
	_ = w.current.RecordValue(min(max(d.Microseconds(), smallestMicros), largestMicros))
	known := b.targets[target]
	if now.Sub(known.at) >= TargetMaxAge {
		known.duration = d
	}
	known.duration += time.Duration(smoothing * float64(d-known.duration))
	known.at = now
	b.targets[target] = known
}

// Quantile returns the duration below which the share q of the kind's stages ended,
// and whether there are enough measurements.
func (b *Tracker) Quantile(now time.Time, kind string, q float64) (time.Duration, bool) {
	w := b.kinds[kind]
	if w == nil {
		return 0, false
	}
	w.rotate(now)
	if w.current.TotalCount()+w.previous.TotalCount() < MinSamples {
		return 0, false
	}
	newer := w.current.ValueAtQuantile(q * 100)
	if w.current.TotalCount() < MinSamples {
		newer = max(newer, w.previous.ValueAtQuantile(q*100))
	}
	return time.Duration(newer) * time.Microsecond, true
}

// TargetAverage returns the smoothed duration of the target, and whether there was a
// measurement in its window. Without one nothing is known: a target that nobody used
// because it was slow must not stay slow for ever.
func (b *Tracker) TargetAverage(now time.Time, target string) (time.Duration, bool) {
	known, ok := b.targets[target]
	if !ok || now.Sub(known.at) >= TargetMaxAge {
		return 0, false
	}
	return known.duration, true
}

// ForgetTarget drops what is known of the target, which has started anew.
func (b *Tracker) ForgetTarget(target string) {
	delete(b.targets, target)
}

func (w *windows) rotate(now time.Time) {
	if now.Sub(w.rotated) < Window {
		return
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	w.rotated = now
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(smallestMicros, largestMicros, significantDigit)
}
