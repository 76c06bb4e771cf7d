// Package admitter limits the calls that run at one upstream and queues the rest by priority.
package admitter

import "slices"

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

// Admitter hands out slots. It is not safe for concurrent use.
type Admitter[T comparable] struct {
	slots       int
	queueLength int
	// inFlight counts items that hold a slot. It may exceed slots after the slots were lowered.
	inFlight int
	// queues holds the waiting items by rank, 0 being the highest priority.
	queues [][]T
	queued int
}

// SetLimits changes the number of slots and the longest queue.
func (a *Admitter[T]) SetLimits(slots, queueLength int) {
	a.slots = slots
	a.queueLength = queueLength
}

// InFlight returns the number of items that hold a slot.
func (a *Admitter[T]) InFlight() int { return a.inFlight }

// Queued returns the number of waiting items.
func (a *Admitter[T]) Queued() int { return a.queued }

// Enter asks for a slot. Where the queue is full, a waiting item of lower priority
// makes room and is returned as evicted.
func (a *Admitter[T]) Enter(item T, rank int) (verdict Verdict, evicted T, hasEvicted bool) {
	if a.inFlight < a.slots && a.queued == 0 {
		a.inFlight++
		return Granted, evicted, false
	}
	if a.queued >= a.queueLength {
		evicted, hasEvicted = a.evictBelow(rank)
		if !hasEvicted {
			return Refused, evicted, false
		}
	}
	for len(a.queues) <= rank {
		a.queues = append(a.queues, nil)
	}
	a.queues[rank] = append(a.queues[rank], item)
	a.queued++
	return Queued, evicted, hasEvicted
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
