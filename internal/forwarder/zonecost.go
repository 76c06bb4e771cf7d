package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// costPerByte is the extra latency accepted to avoid carrying one byte of a response between availability zones,
	// since operators pay for this traffic.
	costPerByte = 60 * time.Microsecond
	// defaultResponseBytes is the assumed length of a route's responses before the first is seen.
	defaultResponseBytes = 4 << 10
	// lengthWeight is the weight of a new length in the exponential moving average.
	lengthWeight = 0.1
	// maxResponseLengths bounds the number of routes whose mean lengths are kept.
	maxResponseLengths = 4096
)

// zoneCost returns the cost of carrying a response of the route between availability zones, expressed as latency.
func (f *Forwarder) zoneCost(r *schema.Route) time.Duration {
	bytes, ok := f.responseBytes[r.Name]
	if !ok {
		bytes = defaultResponseBytes
	}
	return time.Duration(bytes * float64(costPerByte))
}

// recordResponseBytes updates the route's mean response length.
func (f *Forwarder) recordResponseBytes(r *schema.Route, bytes int64) {
	old, ok := f.responseBytes[r.Name]
	if !ok {
		if len(f.responseBytes) >= maxResponseLengths {
			clear(f.responseBytes)
		}
		old = float64(bytes)
	}
	f.responseBytes[r.Name] = old + lengthWeight*(float64(bytes)-old)
}
