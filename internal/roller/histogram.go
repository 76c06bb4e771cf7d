package roller

import (
	"math"
	"time"
)

// LatencyBuckets is the number of latency buckets in an evidence message.
const LatencyBuckets = 44

// bucketsPerDoubling is the number of latency buckets per factor of two.
const bucketsPerDoubling = 2

// firstBucket is the upper bound of the first bucket.
const firstBucket = 125 * time.Microsecond

// LatencyBucket returns the bucket of a latency. Bounds grow by a factor of the square root of two.
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

// histogram counts latencies by bucket. The counts are fractional because they decay.
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

// quantile returns the bucket that contains the q-quantile, or the last one if the histogram is empty.
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

// above returns the count in the buckets above the given one.
func (h *histogram) above(bucket int) float64 {
	var sum float64
	for i := bucket + 1; i < LatencyBuckets; i++ {
		sum += h[i]
	}
	return sum
}
