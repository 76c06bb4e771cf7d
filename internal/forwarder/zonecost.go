package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// costPerByte is the extra latency accepted to avoid carrying one byte between availability zones, since operators pay
	// for this traffic.
	costPerByte = 60 * time.Microsecond
	// headBytes is the usual length of the heads of a request and its response between nodes.
	headBytes = 1 << 10
	// defaultResponseBytes is the assumed length of a route's responses before the first is seen.
	defaultResponseBytes = 4 << 10
	// lengthWeight is the weight of a new length in the exponential moving average.
	lengthWeight = 0.1
	// maxResponseLengths bounds the number of routes whose mean lengths are kept.
	maxResponseLengths = 4096
)

// zoneCost returns the expected cost of having the call served in another availability zone, expressed as latency: of
// carrying its response, and of the request and heads of the tries that are refused before.
func (x *exchange) zoneCost(now time.Time) time.Duration {
	f := x.forwarder
	response, ok := f.responseBytes[x.route.Name]
	if !ok {
		response = defaultResponseBytes
	}
	try := time.Duration(headBytes+max(x.request.message.length, 0)) * costPerByte
	return time.Duration(response*float64(costPerByte)) + f.overflow(x.service).Cost(try, now)
}

// overflow returns how often other zones have room for a service's calls.
func (f *Forwarder) overflow(service string) *balancer.Overflow {
	o, ok := f.overflows[service]
	if !ok {
		o = &balancer.Overflow{}
		f.overflows[service] = o
	}
	return o
}

// recordOverflow records whether an endpoint of another zone had room for a call.
func (x *exchange) recordOverflow(e *balancer.Endpoint, hadRoom bool, now time.Time) {
	if f := x.forwarder; e.Zone != f.common.Settings.Zone {
		f.overflow(x.service).Record(hadRoom, now)
	}
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
