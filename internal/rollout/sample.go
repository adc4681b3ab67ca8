package rollout

import (
	"math"
	"time"
)

const (
	// LatencyBuckets is the number of buckets of a latency histogram. The first holds latencies below 1 ms;
	// each further one ends at √2 times the end of the one before; the last holds all from 33 s.
	LatencyBuckets = 32
	// firstBucketEnd is the end of the first bucket.
	firstBucketEnd = time.Millisecond
)

// Sample counts the answers of one version, cumulatively.
type Sample struct {
	Good, Bad int64
	// Latencies counts good answers by the time to the first event, see LatencyBucket.
	Latencies [LatencyBuckets]int64
}

// LatencyBucket returns the index of a latency in Sample.Latencies.
func LatencyBucket(d time.Duration) int {
	if d < firstBucketEnd {
		return 0
	}
	i := 1 + int(2*math.Log2(float64(d)/float64(firstBucketEnd)))
	return min(i, LatencyBuckets-1)
}

// BucketStart returns the smallest latency of a bucket.
func BucketStart(i int) time.Duration {
	if i <= 0 {
		return 0
	}
	return time.Duration(float64(firstBucketEnd) * math.Pow(2, float64(i-1)/2))
}

// Add adds the counts of o.
func (s *Sample) Add(o Sample) {
	s.Good += o.Good
	s.Bad += o.Bad
	for i, n := range o.Latencies {
		s.Latencies[i] += n
	}
}

// increase returns what s has more than an earlier sample, and 0 for counts that are smaller.
func (s Sample) increase(earlier Sample) Sample {
	d := Sample{Good: max(0, s.Good-earlier.Good), Bad: max(0, s.Bad-earlier.Bad)}
	for i, n := range s.Latencies {
		d.Latencies[i] = max(0, n-earlier.Latencies[i])
	}
	return d
}

// slowFrom returns the numbers of latencies in buckets from the given one on, and of all.
func (s Sample) slowFrom(bucket int) (slow, all int64) {
	for i, n := range s.Latencies {
		all += n
		if i >= bucket {
			slow += n
		}
	}
	return slow, all
}

// median returns the bucket of the median latency, and false if there are fewer than min latencies.
func (s Sample) median(atLeast int64) (int, bool) {
	_, all := s.slowFrom(0)
	if all == 0 || all < atLeast {
		return 0, false
	}
	var below int64
	for i, n := range s.Latencies {
		below += n
		if 2*below >= all {
			return i, true
		}
	}
	return LatencyBuckets - 1, true
}
