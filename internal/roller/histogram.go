package roller

import (
	"math"
	"time"
)

// LatencyBuckets is the number of latency buckets in an evidence message.
const LatencyBuckets = 44

// bucketsPerDoubling is the resolution of the latency buckets.
const bucketsPerDoubling = 2

// firstBucket is the upper bound of the first bucket.
const firstBucket = 125 * time.Microsecond

// LatencyBucket returns the bucket of a latency. Bounds grow by the square root of two.
func LatencyBucket(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	ratio := float64(latency) / float64(firstBucket)
	b := int(math.Ceil(bucketsPerDoubling * math.Log2(ratio)))
	return min(b, LatencyBuckets-1)
}

// BucketBound returns the upper bound of a bucket.
func BucketBound(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(2, float64(bucket)/bucketsPerDoubling))
}

// histogram counts latencies by bucket. Counts decay, so they are fractions.
type histogram [LatencyBuckets]float64

func (h *histogram) add(counts []uint64) {
	for i, c := range counts {
		if i < LatencyBuckets {
			h[i] += float64(c)
		}
	}
}

func (h *histogram) decay(factor float64) {
	for i := range h {
		h[i] *= factor
	}
}

func (h *histogram) total() float64 {
	var sum float64
	for _, c := range h {
		sum += c
	}
	return sum
}

// quantile returns the bucket at which the share q is reached.
func (h *histogram) quantile(q float64) int {
	target := q * h.total()
	var sum float64
	for i, c := range h {
		sum += c
		if sum >= target && sum > 0 {
			return i
		}
	}
	return LatencyBuckets - 1
}

// above returns the count beyond a bucket.
func (h *histogram) above(bucket int) float64 {
	var sum float64
	for i := bucket + 1; i < LatencyBuckets; i++ {
		sum += h[i]
	}
	return sum
}
