package upstream

import "time"

// Behaviour is how an upstream answers. It is switched at run time.
type Behaviour struct {
	// LatencyMs is the time one request takes, in milliseconds.
	LatencyMs float64 `json:"latency-ms"`
	// FailRate is the share of requests that get status 500.
	FailRate float64 `json:"fail-rate"`
	// SlowFactor multiplies the latency; 0 stands for 1.
	SlowFactor float64 `json:"slow-factor"`
	// OnPrefix limits failing and slowness to paths with this prefix.
	OnPrefix string `json:"on-prefix"`
	// AfterMs delays failing and slowness from the start of the process.
	AfterMs int64 `json:"after-ms"`
	// AboveInFlight limits failing and slowness to times with more requests in flight.
	AboveInFlight int `json:"above-in-flight"`
}

// bad tells whether the misbehaviour applies to a request.
func (b Behaviour) bad(path string, age time.Duration, inFlight int) bool {
	switch {
	case len(path) < len(b.OnPrefix) || path[:len(b.OnPrefix)] != b.OnPrefix:
		return false
	case age < time.Duration(b.AfterMs)*time.Millisecond:
		return false
	}
	return inFlight > b.AboveInFlight
}

func (b Behaviour) latency(bad bool) time.Duration {
	ms := b.LatencyMs
	if bad && b.SlowFactor > 0 {
		ms *= b.SlowFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}
