package granter

import (
	"math"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// due reports whether the next request has to name the customer.
func (p *spending[C]) due(now time.Time) bool {
	return p.changed || len(p.waiting) > 0 || p.returned > 0 || now.Sub(p.usedAt) >= idleTime
}

// expire discards tokens that the granter no longer counts as held.
func (p *spending[C]) expire(now time.Time) {
	if p.held > 0 && !now.Before(p.heldUntil) {
		p.held = 0
	}
}

// ask returns the demand for the next request. An idle customer's tokens are given back.
func (p *spending[C]) ask(now time.Time) *schema.TokenDemand {
	p.expire(now)
	if now.Sub(p.usedAt) >= idleTime && len(p.waiting) == 0 {
		p.returned += p.held
		p.held = 0
	}
	d := &schema.TokenDemand{Customer: p.customer, Held: uint32(p.held), Waiting: uint32(len(p.waiting)),
		Returned: uint32(p.returned), Refused: uint32(p.refused)}
	if now.Sub(p.usedAt) < idleTime {
		d.CallsPerSecond = float32(p.demand.perSecond(now))
	}
	p.returned = 0
	p.refused = 0
	p.changed = false
	p.heldUntil = now.Add(tokenLifetime)
	return d
}

// giveBack gives back a number of unspent tokens with the next request, as far as there are as many.
func (p *spending[C]) giveBack(tokens int) {
	if given := min(tokens, p.held); given > 0 {
		p.held -= given
		p.returned += given
		p.changed = true
	}
}

// take adds granted tokens and returns the calls that need not wait any more. Calls that began to wait after the request
// go on waiting if the tokens do not suffice.
func (p *spending[C]) take(g *schema.TokenGrant, now time.Time) []Outcome[C] {
	p.giveBack(int(g.Surplus))
	p.held += int(g.Tokens)
	p.lackUntil = time.Time{}
	var outcomes []Outcome[C]
	admitted := min(p.held, len(p.waiting))
	for _, c := range p.waiting[:admitted] {
		outcomes = append(outcomes, Outcome[C]{Call: c, Verdict: Admitted})
	}
	p.held -= admitted
	p.waiting = p.waiting[admitted:]
	if g.RetryAfterMs == 0 {
		return outcomes
	}
	p.retryAt = now.Add(millis(g.RetryAfterMs))
	p.lackUntil = now.Add(min(millis(g.RetryAfterMs), lackTime))
	for _, c := range p.waiting {
		outcomes = append(outcomes, Outcome[C]{Call: c, Verdict: Refused, RetryAfter: p.retryAt.Sub(now)})
	}
	p.waiting = nil
	return outcomes
}

// idle reports whether nothing is known of the customer that a later call needs.
func (p *spending[C]) idle(now time.Time) bool {
	return now.Sub(p.usedAt) >= idleTime && p.held == 0 && p.returned == 0 && len(p.waiting) == 0
}

// demandWindow is the time over which the rate of calls is averaged.
const demandWindow = 5 * time.Second

// demandMeter measures a rate of calls as a moving average. The zero value is ready to use.
type demandMeter struct {
	calls fadingSum
}

func (m *demandMeter) add(calls float64, now time.Time) { m.calls.add(calls, demandWindow, now) }

// perSecond returns the rate in calls per second.
func (m *demandMeter) perSecond(now time.Time) float64 {
	return m.calls.value(demandWindow, now) / demandWindow.Seconds()
}

// fadingSum is a sum whose terms fade exponentially with time. The zero value is ready to use.
type fadingSum struct {
	sum float64
	at  time.Time
}

func (s *fadingSum) add(term float64, window time.Duration, now time.Time) {
	s.sum = s.value(window, now) + term
	s.at = now
}

func (s *fadingSum) value(window time.Duration, now time.Time) float64 {
	return s.sum * math.Exp(-now.Sub(s.at).Seconds()/window.Seconds())
}
