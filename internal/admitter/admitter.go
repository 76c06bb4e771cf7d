// Package admitter limits the calls that run at one upstream, orders those that wait, and turns away at
// once those that would wait in vain.
//
// It answers load beyond the upstream's slots: the queue holds no more than can still be answered in time,
// higher ranks go first and push out lower ones, and what is turned away learns it before it has waited. Calls of
// one rank share the bound on waiting of the most urgent, so that short calls, on which running ones depend, and long
// ones are turned away equally often.
package admitter

import (
	"slices"
	"time"
)

// Verdict tells what became of a request for a slot.
type Verdict int

// Verdicts.
const (
	// Granted means that the item holds a slot until Release.
	Granted Verdict = iota
	// Queued means that the item waits; Release hands it a slot later.
	Queued
	// Refused means that there is no room for the item.
	Refused
)

// Claim is what an item asks for.
type Claim struct {
	// Rank orders the items; 0 goes first.
	Rank int
	// MayWait tells whether the item may wait for a slot.
	MayWait bool
	// LatestStart is when the item should have a slot. It is refused if it would wait longer. Zero is any time.
	LatestStart time.Time
}

// Admitter hands out slots. It is not safe for concurrent use.
type Admitter[T comparable] struct {
	slots       int
	queueLength int
	// inFlight counts items that hold a slot. It may exceed slots after the slots were lowered.
	inFlight int
	// queues holds the waiting items by rank, 0 being the highest priority, oldest first.
	queues [][]T
	queued int
	// service is the moving average of the time that an item holds its slot.
	service time.Duration
	// served counts the items whose time is in service.
	served int
	// shortest is the time for which the most urgent item of late could wait, and shortestAt when it came.
	shortest   time.Duration
	shortestAt time.Time
}

const (
	// patienceMemory is how long the most urgent item counts.
	patienceMemory = time.Second
	// minPatience bounds the effect of one item that comes almost too late.
	minPatience = 50 * time.Millisecond
)

// serviceWeight is the weight of a new service time in the moving average.
const serviceWeight = 0.1

// SetLimits changes the number of slots and the longest queue.
func (a *Admitter[T]) SetLimits(slots, queueLength int) {
	a.slots = slots
	a.queueLength = queueLength
}

// InFlight returns the number of items that hold a slot.
func (a *Admitter[T]) InFlight() int { return a.inFlight }

// Queued returns the number of waiting items.
func (a *Admitter[T]) Queued() int { return a.queued }

// ServiceTime returns the time for which an item holds its slot on average, or 0 if none has.
func (a *Admitter[T]) ServiceTime() time.Duration { return a.service }

// NoteService takes in for how long an item held its slot.
func (a *Admitter[T]) NoteService(d time.Duration) {
	a.served++
	// The first few count alike, so that a single odd one does not stand for long.
	weight := max(serviceWeight, 1/float64(a.served))
	a.service += time.Duration(weight * float64(d-a.service))
}

// Enter asks for a slot. Where the queue is full, a waiting item of lower priority
// makes room and is returned as evicted.
func (a *Admitter[T]) Enter(item T, c Claim, now time.Time) (verdict Verdict, evicted T, hasEvicted bool) {
	if a.inFlight < a.slots && a.queued == 0 {
		a.inFlight++
		return Granted, evicted, false
	}
	if !c.MayWait || a.slots == 0 || !c.LatestStart.IsZero() && a.wait(c.Rank) > a.patience(c, now) {
		return Refused, evicted, false
	}
	if a.queued >= a.queueLength {
		evicted, hasEvicted = a.evictBelow(c.Rank)
		if !hasEvicted {
			return Refused, evicted, false
		}
	}
	for len(a.queues) <= c.Rank {
		a.queues = append(a.queues, nil)
	}
	a.queues[c.Rank] = append(a.queues[c.Rank], item)
	a.queued++
	return Queued, evicted, hasEvicted
}

// wait estimates how long an item of a rank would wait for a slot.
func (a *Admitter[T]) wait(rank int) time.Duration {
	ahead := max(a.inFlight-a.slots, 0) + 1
	for r := 0; r <= rank && r < len(a.queues); r++ {
		ahead += len(a.queues[r])
	}
	return time.Duration(ahead) * a.service / time.Duration(a.slots)
}

// patience returns how long an item may wait: its own time, and no longer than the most urgent of late.
func (a *Admitter[T]) patience(c Claim, now time.Time) time.Duration {
	own := c.LatestStart.Sub(now)
	if own <= a.shortest || now.Sub(a.shortestAt) > patienceMemory {
		a.shortest, a.shortestAt = max(own, minPatience), now
	}
	return min(own, a.shortest)
}

// evictBelow takes out the newest waiting item of the lowest priority below rank.
func (a *Admitter[T]) evictBelow(rank int) (item T, ok bool) {
	for r := len(a.queues) - 1; r > rank; r-- {
		n := len(a.queues[r])
		if n == 0 {
			continue
		}
		item = a.queues[r][n-1]
		a.queues[r] = a.queues[r][:n-1]
		a.queued--
		return item, true
	}
	return item, false
}

// Release gives a slot back.
func (a *Admitter[T]) Release() { a.inFlight-- }

// Next hands a free slot to the first waiting item, or returns false.
func (a *Admitter[T]) Next() (item T, ok bool) {
	if a.inFlight >= a.slots {
		return item, false
	}
	for r, q := range a.queues {
		if len(q) == 0 {
			continue
		}
		item = q[0]
		a.queues[r] = q[1:]
		a.queued--
		a.inFlight++
		return item, true
	}
	return item, false
}

// Remove takes a waiting item out of the queue.
func (a *Admitter[T]) Remove(item T) bool {
	for r, q := range a.queues {
		if i := slices.Index(q, item); i >= 0 {
			a.queues[r] = slices.Delete(q, i, i+1)
			a.queued--
			return true
		}
	}
	return false
}
