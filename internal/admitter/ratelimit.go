package admitter

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time over which unused grants of a rate limit accumulate.
	burstTime = 500 * time.Millisecond
	// minRate is the lowest rate limit, in grants per second. Only the response to a call tells that a limit has ended,
	// so calls never stop completely.
	minRate = 0.2
)

// rateLimit bounds how often slots are granted. The zero value sets no bound.
type rateLimit struct {
	// limiter is nil if there is no limit.
	limiter *rate.Limiter
}

// Burst returns the number of grants that a rate limit allows at once after a pause.
func Burst(perSecond float64) int {
	return max(int(perSecond*burstTime.Seconds()), 1)
}

// Interval returns the time between two grants at a rate limit.
func Interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minRate))
}

// set sets the limit in grants per second. A new limit starts without accumulated grants.
func (r *rateLimit) set(perSecond float64, now time.Time) {
	burst := Burst(perSecond)
	if r.limiter == nil {
		r.limiter = rate.NewLimiter(rate.Limit(max(perSecond, minRate)), burst)
		r.limiter.AllowN(now, burst)
		return
	}
	r.limiter.SetLimitAt(now, rate.Limit(max(perSecond, minRate)))
	r.limiter.SetBurstAt(now, burst)
}

// setAfter sets a limit in grants per second as if it had been in force during the last second, in which a number of
// grants was made: a new limit starts with the accumulated grants that are left, or with a debt of at most a second's.
func (r *rateLimit) setAfter(perSecond float64, grants int, now time.Time) {
	if r.limiter != nil {
		r.set(perSecond, now)
		return
	}
	burst := Burst(perSecond)
	r.limiter = rate.NewLimiter(rate.Limit(max(perSecond, minRate)), burst)
	for range min(grants, burst+int(perSecond)) {
		r.limiter.ReserveN(now, 1)
	}
}

func (r *rateLimit) clear() { r.limiter = nil }

func (r *rateLimit) limited() bool { return r.limiter != nil }

// perSecond returns the limit in grants per second. There must be one.
func (r *rateLimit) perSecond() float64 { return float64(r.limiter.Limit()) }

// take uses up a grant. It returns false if none is available.
func (r *rateLimit) take(now time.Time) bool { return !r.limited() || r.limiter.AllowN(now, 1) }

// available reports whether take would succeed.
func (r *rateLimit) available(now time.Time) bool {
	return !r.limited() || r.limiter.TokensAt(now) >= 1
}

// wait returns the time until a grant is available after a number of others. It is negative by the accumulated grants
// that are left then, and 0 without a limit.
func (r *rateLimit) wait(ahead int, now time.Time) time.Duration {
	if !r.limited() {
		return 0
	}
	missing := float64(ahead+1) - r.limiter.TokensAt(now)
	return time.Duration(missing / r.perSecond() * float64(time.Second))
}
