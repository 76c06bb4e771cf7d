package admitter_test

import "time"

// sharedBound is an earlier policy, the baseline of the replays: first come, first served, and every call may wait
// as long as the most urgent one of the last second.
type sharedBound struct {
	slots, inFlight int
	queue           []*call
	service         time.Duration
	shortest        time.Duration
	shortestAt      time.Duration
}

func (p *sharedBound) enter(c *call, now time.Duration) (granted bool) {
	if p.inFlight < p.slots && len(p.queue) == 0 {
		p.inFlight++
		return true
	}
	own := c.aim - now - p.service
	if own <= p.shortest || now-p.shortestAt > time.Second {
		p.shortest, p.shortestAt = max(own, 50*time.Millisecond), now
	}
	if time.Duration(len(p.queue)+1)*p.service/time.Duration(p.slots) <= min(own, p.shortest) {
		p.queue = append(p.queue, c)
	}
	return false
}

func (p *sharedBound) release(c *call) (next *call, ok bool) {
	p.service += (c.work - p.service) / 10
	p.inFlight--
	if len(p.queue) == 0 {
		return nil, false
	}
	next, p.queue = p.queue[0], p.queue[1:]
	p.inFlight++
	return next, true
}
