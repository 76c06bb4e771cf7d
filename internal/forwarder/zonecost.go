package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// costPerByte is the time that a caller may wait for an answer rather than have one byte of it carried
	// between availability zones, since operators pay for these bytes.
	costPerByte = 60 * time.Microsecond
	// defaultAnswerBytes stands for the length of a route's answers before the first is seen.
	defaultAnswerBytes = 4 << 10
	// answerWeight is the weight of a new length in the moving average.
	lengthWeight = 0.1
	// maxAnswerLengths bounds the routes whose lengths are remembered.
	maxAnswerLengths = 4096
)

// zoneCost is what carrying an answer of the route between availability zones costs, as waiting time.
func (f *Forwarder) zoneCost(r *schema.Route) time.Duration {
	bytes, ok := f.answerBytes[r.Name]
	if !ok {
		bytes = defaultAnswerBytes
	}
	return time.Duration(bytes * float64(costPerByte))
}

// noteAnswerBytes takes in the length of an answer.
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
