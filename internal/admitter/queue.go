package admitter

import (
	"slices"
	"time"
)

// waiter is an item that waits for a slot.
type waiter[T comparable] struct {
	item T
	order
}

// order is what decides which of two waiters goes first.
type order struct {
	rank int
	// service is how long the item is expected to hold its slot.
	service time.Duration
	// late tells that the item can no longer be in time.
	late bool
}

// before tells whether a waiter goes before one that came earlier: a higher rank first, then the shorter item,
// then one that can be in time.
func (o order) before(earlier order) bool {
	switch {
	case o.rank != earlier.rank:
		return o.rank < earlier.rank
	case float64(o.service) < shorter*float64(earlier.service):
		return true
	case float64(earlier.service) < shorter*float64(o.service):
		return false
	}
	return !o.late && earlier.late
}

// shorter is the part of another's service time below which an item counts as short beside it. Items that differ less
// go in the order of their arrival.
const shorter = 0.5

// queue holds waiters in the order in which they get slots.
type queue[T comparable] struct {
	waiters []waiter[T]
}

// place returns the position that a new waiter gets.
func (q *queue[T]) place(w order) int {
	i := len(q.waiters)
	for i > 0 && w.before(q.waiters[i-1].order) {
		i--
	}
	return i
}

func (q *queue[T]) add(w waiter[T]) {
	q.waiters = slices.Insert(q.waiters, q.place(w.order), w)
}

// ahead returns the work that a new waiter would wait for.
func (q *queue[T]) ahead(w order) time.Duration {
	var work time.Duration
	for _, other := range q.waiters[:q.place(w)] {
		work += other.service
	}
	return work
}

// first takes out the first waiter.
func (q *queue[T]) first() (item T, ok bool) {
	if len(q.waiters) == 0 {
		return item, false
	}
	item = q.waiters[0].item
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return item, true
}

// lastBelow takes out the last waiter if its priority is below a rank.
func (q *queue[T]) lastBelow(rank int) (item T, ok bool) {
	last := len(q.waiters) - 1
	if last < 0 || q.waiters[last].rank <= rank {
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
