// Package admitter limits the calls that run at one upstream, orders those that wait, and turns away at
// once those that would wait in vain.
//
// It answers load beyond the upstream's slots: the queue holds no more than can still be answered in time,
// higher ranks go first and push out lower ones, and what is turned away learns it before it has waited. Within a
// rank short calls, such as those on which running ones depend, go before long ones: they need little room, and
// what waits for them holds a slot elsewhere.
package admitter

import "time"

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
	// Kind names the items that are alike in the time for which they hold a slot.
	Kind string
	// MayWait tells whether the item may wait for a slot.
	MayWait bool
	// Aim is when an answer becomes late. Zero is never.
	Aim time.Time
	// Deadline is when nobody waits for the answer any more. Zero is never. An item is refused if
	// it would get its slot too late for the aim, or if it is too late for that anyway, for the deadline.
	Deadline time.Time
}

const (
	// aimServices is how many mean service times before its aim an item should have a slot, since many take longer
	// than the mean.
	aimServices = 1.5
	// deadlineServices is how many mean service times before its deadline an item must have a slot.
	deadlineServices = 0.5
)

// Admitter hands out slots. It is not safe for concurrent use.
type Admitter[T comparable] struct {
	slots       int
	queueLength int
	// inFlight counts items that hold a slot. It may exceed slots after the slots were lowered.
	inFlight int
	// queue holds the waiting items. It is empty while a slot is free.
	queue queue[T]
	times serviceTimes
	flows flows
}

// SetLimits changes the number of slots and the longest queue.
func (a *Admitter[T]) SetLimits(slots, queueLength int) {
	a.slots = slots
	a.queueLength = queueLength
}

// InFlight returns the number of items that hold a slot.
func (a *Admitter[T]) InFlight() int { return a.inFlight }

// Queued returns the number of waiting items.
func (a *Admitter[T]) Queued() int { return len(a.queue.waiters) }

// ServiceTime returns the time for which an item holds its slot on average, or 0 if none has.
func (a *Admitter[T]) ServiceTime() time.Duration { return a.times.all.mean }

// ServiceTimeOf returns the time for which an item of a kind holds its slot on average, or that of all
// items if none of the kind has.
func (a *Admitter[T]) ServiceTimeOf(kind string) time.Duration { return a.times.of(kind) }

// NoteService takes in for how long an item of a kind held its slot.
func (a *Admitter[T]) NoteService(kind string, d time.Duration) { a.times.note(kind, d) }

// Enter asks for a slot. Where the queue is full, a waiting item of lower priority
// makes room and is returned as evicted.
func (a *Admitter[T]) Enter(item T, c Claim, now time.Time) (verdict Verdict, evicted T, hasEvicted bool) {
	o := order{rank: c.Rank, service: a.times.of(c.Kind)}
	start := a.latestStart(c, &o, now)
	if a.inFlight < a.slots && a.Queued() == 0 {
		a.inFlight++
		a.noteFlow(c, o, now)
		return Granted, evicted, false
	}
	if !c.MayWait || a.slots == 0 || !start.IsZero() && a.wait(o, now) > start.Sub(now) {
		return Refused, evicted, false
	}
	if a.Queued() >= a.queueLength {
		evicted, hasEvicted = a.queue.lastBelow(c.Rank)
		if !hasEvicted {
			return Refused, evicted, false
		}
	}
	a.noteFlow(c, o, now)
	a.queue.add(waiter[T]{item: item, order: o})
	return Queued, evicted, hasEvicted
}

// latestStart returns when an item must get its slot, and notes in its order whether it is late by now.
func (a *Admitter[T]) latestStart(c Claim, o *order, now time.Time) time.Time {
	if !c.Aim.IsZero() {
		start := c.Aim.Add(-time.Duration(aimServices * float64(o.service)))
		if now.Before(start) {
			return start
		}
		o.late = true
	}
	return a.LastStart(c)
}

// LastStart returns when an item must have a slot to be answered before its deadline, or zero for any time.
func (a *Admitter[T]) LastStart(c Claim) time.Time {
	if c.Deadline.IsZero() {
		return time.Time{}
	}
	return c.Deadline.Add(-time.Duration(deadlineServices * float64(a.times.of(c.Kind))))
}

func (a *Admitter[T]) noteFlow(c Claim, o order, now time.Time) {
	a.flows.note(flowKey{kind: c.Kind, late: o.late}, o.rank, o.service, now)
}

// wait estimates how long an item would wait for a slot: for what runs, for what waits before it, and for what will
// come meanwhile and go before it.
func (a *Admitter[T]) wait(o order, now time.Time) time.Duration {
	running := time.Duration(max(a.inFlight-a.slots, 0)+1) * a.times.all.mean
	share := a.flows.share(a.slots, now, func(key flowKey, rank int) bool {
		return order{rank: rank, service: a.times.of(key.kind), late: key.late}.before(o)
	})
	return time.Duration(float64(running+a.queue.ahead(o)) / float64(a.slots) / (1 - share))
}

// Release gives a slot back.
func (a *Admitter[T]) Release() { a.inFlight-- }

// Next hands a free slot to the first waiting item, or returns false.
func (a *Admitter[T]) Next() (item T, ok bool) {
	if a.inFlight >= a.slots {
		return item, false
	}
	item, ok = a.queue.first()
	if ok {
		a.inFlight++
	}
	return item, ok
}

// Remove takes a waiting item out of the queue.
func (a *Admitter[T]) Remove(item T) bool { return a.queue.remove(item) }
