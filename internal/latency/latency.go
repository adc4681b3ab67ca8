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
	// MinSamples is the number of measurements below which no quantile is given.
	MinSamples       = 10
	smallestMicros   = 50
	largestMicros    = 10 * 60 * 1000 * 1000
	significantDigit = 2
	// smoothing is the weight of the newest measurement in a target's average.
	smoothing = 0.2
)

// Book holds the durations; the zero value is empty. It is not safe for concurrent use.
type Book struct {
	kinds   map[string]*windows
	targets map[string]time.Duration
}

// windows are two histograms, of which the newer one is being filled.
type windows struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	rotated  time.Time
}

// Record adds one duration.
func (b *Book) Record(now time.Time, kind, target string, d time.Duration) {
	if b.kinds == nil {
		b.kinds = map[string]*windows{}
		b.targets = map[string]time.Duration{}
	}
	w := b.kinds[kind]
	if w == nil {
		w = &windows{current: newHistogram(), previous: newHistogram(), rotated: now}
		b.kinds[kind] = w
	}
	w.rotate(now)
	_ = w.current.RecordValue(min(max(d.Microseconds(), smallestMicros), largestMicros))
	average, ok := b.targets[target]
	if !ok {
		b.targets[target] = d
		return
	}
	b.targets[target] = average + time.Duration(smoothing*float64(d-average))
}

// Quantile returns the duration below which the share q of the kind's stages ended,
// and whether there are enough measurements.
func (b *Book) Quantile(now time.Time, kind string, q float64) (time.Duration, bool) {
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

// Target returns the smoothed duration of the target, and whether it has one.
func (b *Book) Target(target string) (time.Duration, bool) {
	d, ok := b.targets[target]
	return d, ok
}

// Forget drops what is known of the target, which has started anew.
func (b *Book) Forget(target string) {
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
