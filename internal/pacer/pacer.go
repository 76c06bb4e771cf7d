// Package pacer finds how many calls an upstream can run at once after its start or a fault, from how it answers.
//
// It is designed for upstreams that return, cold or not quite sound, while the whole fleet is loaded: all entry nodes would
// otherwise fill a new upstream's slots at once. The node beside the upstream owns the pacer, since it alone sees all calls
// that arrive there.
package pacer

import "time"

const (
	// initialWindow is the number of calls that an upstream gets at once after its start.
	initialWindow = 2
	// goodRatio is up to which multiple of the usual service time responses let the window double in each round. Above it
	// the window grows by one call a round.
	goodRatio = 2.5
	// slowRatio is the multiple of the usual service time from which responses make the window shrink. Upstreams that are
	// sound differ by less.
	slowRatio = 3.5
	// maxRatio bounds what a single response can add to a round's mean.
	maxRatio = 8
	// slowBackoff is the factor by which a round of slow responses shrinks the window.
	slowBackoff = 0.7
	// failureStep is by how many calls failures shrink the window per service time. It is not a factor: failures that strike
	// many returning upstreams at once, such as lost connections, would otherwise take the room that the service needs.
	failureStep = 1
	// minRound is the smallest number of responses whose mean is trusted to shrink the window.
	minRound = 4
	// minWindow is the number of calls that every upstream may get, so that its responses can show that it has recovered.
	minWindow = 1
)

// Change is what an observation did to the window.
type Change int

const (
	// None means that the number of calls in the window is the same.
	None Change = iota
	// Opened means that more calls may run.
	Opened
	// Closed means that fewer calls may run. Those that run already are not affected.
	Closed
)

// Pacer limits the calls that run at one upstream. The zero value lets none run. It is not safe for concurrent use.
type Pacer struct {
	// slots is the number of calls that the upstream can run at once.
	slots int
	// window is the number of calls that may run, between minWindow and slots if there are slots.
	window float64
	// count and sum are the responses of the current round and the sum of their ratios.
	count int
	sum   float64
	// failedAt is when a failure last shrank the window. Those that follow within a service time have the same cause.
	failedAt time.Time
	// observed is set once the upstream has been called since Start.
	observed bool
}

// Start begins the pace of an upstream that has just started.
func (p *Pacer) Start(slots int) {
	*p = Pacer{slots: slots, window: float64(min(initialWindow, slots))}
}

// Restart begins a new pace for an upstream that could not be reached for a while.
func (p *Pacer) Restart() {
	p.Start(p.slots)
	p.observed = true
}

// Restore opens the window for an upstream that was running before this process began to observe it.
func (p *Pacer) Restore(slots int) { *p = Pacer{slots: slots, window: float64(slots)} }

// SetSlots changes the number of slots. A window that was fully open stays so.
func (p *Pacer) SetSlots(slots int) {
	if p.IsOpen() {
		p.window = float64(slots)
	}
	p.slots = slots
	p.window = min(p.window, float64(slots))
}

// Window returns the number of calls that may run at once.
func (p *Pacer) Window() int { return int(p.window) }

// Observed reports whether the upstream has been called since Start.
func (p *Pacer) Observed() bool { return p.observed }

// IsOpen reports whether all slots may be used.
func (p *Pacer) IsOpen() bool { return p.Window() >= p.slots }

// Succeed records that a call was answered in a time that is the given multiple of what such calls usually take at the
// service's upstreams. A ratio of 0 means that this is not known, and counts as usual.
func (p *Pacer) Succeed(ratio float64) Change {
	if p.slots == 0 {
		return None
	}
	if ratio <= 0 {
		ratio = 1
	}
	last := p.Window()
	p.observed = true
	p.count++
	p.sum += min(ratio, maxRatio)
	mean := p.sum / float64(p.count)
	switch {
	case mean > slowRatio && p.count >= minRound:
		p.set(p.window * slowBackoff)
		p.startRound()
	case mean > slowRatio:
	case mean <= goodRatio:
		p.set(p.window + 1)
	default:
		p.set(p.window + 1/p.window)
	}
	if p.count >= max(last, minRound) {
		p.startRound()
	}
	return p.changeSince(last)
}

// Fail records that the upstream refused a call or failed to answer it. service is its usual service time. It shrinks only a
// window that is not fully open: failures of an upstream that had all its calls before say nothing about their number.
func (p *Pacer) Fail(service time.Duration, now time.Time) Change {
	if p.IsOpen() || now.Sub(p.failedAt) < service {
		return None
	}
	last := p.Window()
	p.observed = true
	p.failedAt = now
	p.set(p.window - failureStep)
	p.startRound()
	return p.changeSince(last)
}

func (p *Pacer) startRound() { p.count, p.sum = 0, 0 }

func (p *Pacer) set(window float64) { p.window = min(max(window, minWindow), float64(p.slots)) }

func (p *Pacer) changeSince(last int) Change {
	switch now := p.Window(); {
	case now > last:
		return Opened
	case now < last:
		return Closed
	}
	return None
}
