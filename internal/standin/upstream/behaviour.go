package upstream

import "time"

// Behaviour sets how an upstream answers. It can be replaced at run time with POST /standin/behaviour.
// A request fails or is slowed only if it meets all of OnPrefix, AfterMs and AboveInFlight.
type Behaviour struct {
	// LatencyMs is the time each request takes, in milliseconds.
	LatencyMs float64 `json:"latency-ms"`
	// FailRate is the share of requests, from 0 to 1, that are answered with status 500.
	FailRate float64 `json:"fail-rate"`
	// SlowFactor multiplies the latency; 0 means 1.
	SlowFactor float64 `json:"slow-factor"`
	// OnPrefix limits failures and slowness to paths with this prefix.
	OnPrefix string `json:"on-prefix"`
	// AfterMs is the time from the start of the process, in milliseconds, after which failures and slowness begin.
	AfterMs int64 `json:"after-ms"`
	// AboveInFlight limits failures and slowness to times with more requests in flight than this,
	// the request itself included.
	AboveInFlight int `json:"above-in-flight"`
}

// affects reports whether failures and slowness apply to a request. The age is that of the process.
func (b Behaviour) affects(path string, age time.Duration, inFlight int) bool {
	switch {
	case len(path) < len(b.OnPrefix) || path[:len(b.OnPrefix)] != b.OnPrefix:
		return false
	case age < time.Duration(b.AfterMs)*time.Millisecond:
		return false
	}
	return inFlight > b.AboveInFlight
}

func (b Behaviour) latency(affected bool) time.Duration {
	ms := b.LatencyMs
	if affected && b.SlowFactor > 0 {
		ms *= b.SlowFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}
