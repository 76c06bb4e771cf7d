package forwarder

import "time"

const (
	// meterWindow is the time over which a sendMeter counts.
	meterWindow      = 4 * time.Second
	meterBuckets     = 16
	meterBucketWidth = meterWindow / meterBuckets
)

// sendMeter counts events over the last meterWindow, in buckets: between one bucket's width less and the whole of it.
// The zero value has counted none.
type sendMeter struct {
	// counts holds the events by bucket, modulo meterBuckets; newest is the number of the newest bucket.
	counts [meterBuckets]int
	newest int64
}

// record counts one event. Times must not decrease.
func (s *sendMeter) record(now time.Time) {
	s.advance(now)
	s.counts[s.newest%meterBuckets]++
}

// total returns the number of events in the window that ends now.
func (s *sendMeter) total(now time.Time) int {
	s.advance(now)
	sum := 0
	for _, c := range s.counts {
		sum += c
	}
	return sum
}

// advance empties the buckets that have begun since the last call.
func (s *sendMeter) advance(now time.Time) {
	bucket := int64(now.Sub(processStart) / meterBucketWidth)
	for n := max(s.newest+1, bucket-meterBuckets+1); n <= bucket; n++ {
		s.counts[n%meterBuckets] = 0
	}
	s.newest = max(s.newest, bucket)
}

// lastSecond returns the number of events in the last second, to one bucket's width more.
func (s *sendMeter) lastSecond(now time.Time) int {
	s.advance(now)
	sum := 0
	for n := s.newest; n >= max(s.newest-int64(time.Second/meterBucketWidth), 0); n-- {
		sum += s.counts[n%meterBuckets]
	}
	return sum
}
