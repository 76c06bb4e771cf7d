package poller

import "time"

// probe is an event that is raised to measure how late the loop handles events.
type probe struct {
	raisedAt time.Time
	measured func(lag time.Duration)
}

// Probe raises an event and calls measured on the loop with the time until it was handled. It does nothing while an earlier
// probe waits, or after Stop.
func (p *Poller) Probe(measured func(lag time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.probe != nil {
		return
	}
	p.probe = &probe{raisedAt: time.Now(), measured: measured}
	p.waker.wake()
}

// finishProbe reports the result of the waiting probe, if there is one. It runs on the loop.
func (p *Poller) finishProbe(now time.Time) {
	p.mu.Lock()
	waiting := p.probe
	p.probe = nil
	p.mu.Unlock()
	if waiting != nil {
		waiting.measured(now.Sub(waiting.raisedAt))
	}
}
