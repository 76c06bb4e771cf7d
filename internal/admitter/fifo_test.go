package admitter_test

import "time"

// fifoPolicy is the baseline that the admitter is compared with: first come, first served, with one limit on the wait
// for all calls, that of the most urgent call of the last second.
type fifoPolicy struct {
	slots, inFlight int
	queue           []*call
	meanServiceTime time.Duration
	// shortestWait is the limit on the wait, set at shortestWaitAt.
	shortestWait   time.Duration
	shortestWaitAt time.Duration
}

func (p *fifoPolicy) enter(c *call, now time.Duration) (granted bool) {
	if p.inFlight < p.slots && len(p.queue) == 0 {
		p.inFlight++
		return true
	}
	maxWait := c.target - now - p.meanServiceTime
	if maxWait <= p.shortestWait || now-p.shortestWaitAt > time.Second {
		p.shortestWait, p.shortestWaitAt = max(maxWait, 50*time.Millisecond), now
	}
	if time.Duration(len(p.queue)+1)*p.meanServiceTime/time.Duration(p.slots) <= min(maxWait, p.shortestWait) {
		p.queue = append(p.queue, c)
	}
	return false
}

func (p *fifoPolicy) release(c *call, _ time.Duration) (next *call, ok bool) {
	p.meanServiceTime += (c.serviceTime - p.meanServiceTime) / 10
	p.inFlight--
	if len(p.queue) == 0 {
		return nil, false
	}
	next, p.queue = p.queue[0], p.queue[1:]
	p.inFlight++
	return next, true
}
