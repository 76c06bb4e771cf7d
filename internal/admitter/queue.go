package admitter

import (
	"slices"
	"time"
)

// waiter is an item that waits for a slot.
type waiter[T comparable] struct {
	item T
	sortKey
	// lateAt is when the item can no longer be answered by its latency target; zero if it has none or is late.
	lateAt time.Time
	// number increases with each waiter.
	number uint64
}

// sortKey decides which of two waiters goes first.
type sortKey struct {
	rank int
	// serviceTime is how long the item is expected to hold its slot.
	serviceTime time.Duration
	// late means that the item can no longer be answered by its latency target.
	late bool
	// over means that the item's customer holds slots for longer than its share.
	over bool
}

// before reports whether a waiter overtakes one that arrived earlier: by higher priority, then by a much shorter
// service time, then by still being able to meet its latency target, then by its customer's being within its share.
func (k sortKey) before(earlier sortKey) bool {
	switch {
	case k.rank != earlier.rank:
		return k.rank < earlier.rank
	case float64(k.serviceTime) < shortJobRatio*float64(earlier.serviceTime):
		return true
	case float64(earlier.serviceTime) < shortJobRatio*float64(k.serviceTime):
		return false
	}
	if k.late != earlier.late {
		return earlier.late
	}
	return !k.over && earlier.over
}

// shortJobRatio is the fraction of another item's service time below which an item counts as the shorter one. Items
// that differ less are served in order of arrival.
const shortJobRatio = 0.5

// queue holds the waiters in the order in which they get slots.
type queue[T comparable] struct {
	waiters []waiter[T]
	// entered counts the waiters that have entered.
	entered uint64
}

// position returns the index at which a new waiter is inserted.
func (q *queue[T]) position(k sortKey) int {
	i := len(q.waiters)
	for i > 0 && k.before(q.waiters[i-1].sortKey) {
		i--
	}
	return i
}

func (q *queue[T]) insert(w waiter[T]) {
	if w.number == 0 {
		q.entered++
		w.number = q.entered
	}
	q.waiters = slices.Insert(q.waiters, q.position(w.sortKey), w)
}

// workAhead returns the sum of the expected service times ahead of a new waiter.
func (q *queue[T]) workAhead(k sortKey) time.Duration {
	var work time.Duration
	for _, other := range q.waiters[:q.position(k)] {
		work += other.serviceTime
	}
	return work
}

// popFirst removes and returns the first waiter. Those that have become late while they waited are overtaken by those of
// the same priority that have not: the queue of an overloaded upstream would otherwise turn each new call late as well.
func (q *queue[T]) popFirst(now time.Time) (item T, ok bool) {
	for len(q.waiters) > 0 {
		first := q.waiters[0]
		q.waiters = slices.Delete(q.waiters, 0, 1)
		if first.late || !first.isLate(now) {
			return first.item, true
		}
		first.late, first.lateAt = true, time.Time{}
		q.insert(first)
	}
	return item, false
}

// hasLower reports whether there is a waiter of lower priority than the first.
func (q *queue[T]) hasLower() bool {
	return len(q.waiters) > 1 && q.waiters[len(q.waiters)-1].rank > q.waiters[0].rank
}

// isLower reports whether a new waiter has a lower priority than the first.
func (q *queue[T]) isLower(k sortKey) bool { return len(q.waiters) > 0 && k.rank > q.waiters[0].rank }

// lowerWork returns the sum of the expected service times of the waiters of lower priority than the first.
func (q *queue[T]) lowerWork() time.Duration {
	var work time.Duration
	for _, w := range q.waiters {
		if w.rank > q.waiters[0].rank {
			work += w.serviceTime
		}
	}
	return work
}

// popOldestLower removes and returns the waiter of lower priority than the first that has waited longest, preferably one that
// is not late. It returns false if there is none.
func (q *queue[T]) popOldestLower(now time.Time) (item T, ok bool) {
	oldest := -1
	for i, w := range q.waiters {
		if w.rank > q.waiters[0].rank && (oldest < 0 || w.goesBefore(q.waiters[oldest], now)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return item, false
	}
	item = q.waiters[oldest].item
	q.waiters = slices.Delete(q.waiters, oldest, oldest+1)
	return item, true
}

// isLate reports whether the waiter can no longer be answered by its latency target.
func (w waiter[T]) isLate(now time.Time) bool {
	return w.late || !w.lateAt.IsZero() && !now.Before(w.lateAt)
}

// goesBefore compares waiters regardless of their priorities: those in time go first, in the order of their arrival.
func (w waiter[T]) goesBefore(other waiter[T], now time.Time) bool {
	if late := w.isLate(now); late != other.isLate(now) {
		return !late
	}
	return w.number < other.number
}

// popLastBelow removes and returns the last waiter if its priority is lower than that of a new one, or if only it is late.
func (q *queue[T]) popLastBelow(k sortKey) (item T, ok bool) {
	last := len(q.waiters) - 1
	if last < 0 {
		return item, false
	}
	if l := q.waiters[last]; l.rank < k.rank || l.rank == k.rank && (!l.late || k.late) {
		return item, false
	}
	item = q.waiters[last].item
	q.waiters = q.waiters[:last]
	return item, true
}

func (q *queue[T]) remove(item T) bool {
	i := slices.IndexFunc(q.waiters, func(w waiter[T]) bool { return w.item == item })
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}
