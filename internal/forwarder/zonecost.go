package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// costPerByte is the extra latency accepted to avoid carrying one byte of a response between availability zones,
	// since operators pay for this traffic.
	costPerByte = 60 * time.Microsecond
	// defaultAnswerBytes is the assumed length of a route's responses before the first is seen.
	defaultAnswerBytes = 4 << 10
	// lengthWeight is the weight of a new length in the exponential moving average.
	lengthWeight = 0.1
	// maxAnswerLengths bounds the number of routes whose mean lengths are kept.
	maxAnswerLengths = 4096
)

// zoneCost returns the cost of carrying a response of the route between availability zones, expressed as latency.
func (f *Forwarder) zoneCost(r *schema.Route) time.Duration {
	bytes, ok := f.answerBytes[r.Name]
	if !ok {
		bytes = defaultAnswerBytes
	}
	return time.Duration(bytes * float64(costPerByte))
}

// noteAnswerBytes updates the route's mean response length.
func (f *Forwarder) noteAnswerBytes(r *schema.Route, bytes int64) {
	old, ok := f.answerBytes[r.Name]
	if !ok {
		if len(f.answerBytes) >= maxAnswerLengths {
			clear(f.answerBytes)
		}
		old = float64(bytes)
	}
	f.answerBytes[r.Name] = old + lengthWeight*(float64(bytes)-old)
}
