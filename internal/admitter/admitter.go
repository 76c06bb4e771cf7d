// Package admitter is the admission control for one upstream: it limits concurrent calls, queues the excess by
// priority, and refuses at once the calls that would not get a slot in time.
//
// The queue holds only what can still be answered in time. Higher priorities go first and evict lower ones, and a
// refused call learns it on arrival instead of after a wait. Within a priority, short calls go before long ones: they
// use little capacity, and their callers may hold a slot of another upstream while they wait.
package admitter

import "time"

// Decision is the result of a Request.
type Decision int

const (
	// Granted means that the item holds a slot until Release.
	Granted Decision = iota
	// Queued means that the item waits until Next returns it with a slot.
	Queued
	// Refused means that the item neither got a slot nor was queued.
	Refused
)

// Request asks for a slot.
type Request struct {
	// Rank is the priority; 0 is the highest.
	Rank int
	// Kind groups items with similar service times, which are averaged per kind.
	Kind string
	// Customer is the customer that the item is for, or empty. Among items of one priority, those of customers that hold
	// slots for much longer than their weight allows go behind others.
	Customer string
	// Weight is the weight of the customer; 0 stands for the mean.
	Weight float64
	// MayQueue reports whether the item may be queued. If not, it gets a slot at once or is refused.
	MayQueue bool
	// Target is the latency target: a later response is late. Zero means none.
	Target time.Time
	// Deadline is when the caller gives up. Zero means never. An item is refused if it is expected to get its slot too
	// late for Target, or for Deadline where Target can no longer be met or is not set.
	Deadline time.Time
}

const (
	// targetServiceTimes is how many mean service times before Target an item must have a slot. It is above 1 because
	// many items take longer than the mean.
	targetServiceTimes = 1.5
	// deadlineServiceTimes is how many mean service times before Deadline an item must have a slot. Under a rate limit it
	// is targetServiceTimes, since a grant is then lost if the item misses its deadline.
	deadlineServiceTimes = 0.5
)

// Admitter hands out the slots of one upstream. The zero value has no slots and no queue. It is not safe for
// concurrent use.
type Admitter[T comparable] struct {
	slots       int
	queueLength int
	// inFlight counts the items that hold a slot. It exceeds slots for a while after SetLimits has lowered them.
	inFlight int
	// queue holds the waiting items. It is empty while a slot is free and the rate limit allows a grant, as long as the
	// owner calls Next after Release, after SetLimits and once NextGrant has passed.
	queue  queue[T]
	rate   rateLimit
	times  serviceTimes
	flows  flows
	floor  floor
	shares shares
}

// SetLimits sets the number of slots and the maximum queue length. Items that already run or wait are kept.
func (a *Admitter[T]) SetLimits(slots, queueLength int) {
	a.slots = slots
	a.queueLength = queueLength
}

// SetFloor sets the share of the slots, below 1, that is kept for waiters below the highest waiting priority.
func (a *Admitter[T]) SetFloor(share float64) { a.floor.share = share }

// SetRateLimit limits how many slots are granted per second.
func (a *Admitter[T]) SetRateLimit(perSecond float64, now time.Time) { a.rate.set(perSecond, now) }

// SetRateLimitAfter is SetRateLimit for a limit that also counts the grants of the last second, unless another one is in
// force.
func (a *Admitter[T]) SetRateLimitAfter(perSecond float64, grants int, now time.Time) {
	a.rate.setAfter(perSecond, grants, now)
}

// ClearRateLimit removes the rate limit. The owner then calls Next until it returns false.
func (a *Admitter[T]) ClearRateLimit() { a.rate.clear() }

// RateAllows reports whether the rate limit allows a grant now.
func (a *Admitter[T]) RateAllows(now time.Time) bool { return a.rate.available(now) }

// RateDelay returns for how long the rate limit keeps a further item waiting behind those in the queue. It is negative
// by the accumulated grants that are left, and 0 without a limit.
func (a *Admitter[T]) RateDelay(now time.Time) time.Duration { return a.rate.wait(a.Queued(), now) }

// NextGrant returns the time until the rate limit allows the first waiting item to get a free slot. It returns false if
// no item waits, or no slot is free.
func (a *Admitter[T]) NextGrant(now time.Time) (time.Duration, bool) {
	if a.Queued() == 0 || a.inFlight >= a.slots {
		return 0, false
	}
	return a.rate.wait(0, now), true
}

// InFlight returns the number of items that hold a slot.
func (a *Admitter[T]) InFlight() int { return a.inFlight }

// Queued returns the number of waiting items.
func (a *Admitter[T]) Queued() int { return len(a.queue.waiters) }

// ServiceTime returns the mean time for which an item holds its slot, or 0 before the first sample.
func (a *Admitter[T]) ServiceTime() time.Duration { return a.times.all.mean }

// ServiceTimeOf returns the mean service time of a kind, or that of all items if the kind has no samples.
func (a *Admitter[T]) ServiceTimeOf(kind string) time.Duration { return a.times.mean(kind) }

// RecordServiceTime records for how long an item of a kind held its slot.
func (a *Admitter[T]) RecordServiceTime(kind string, d time.Duration) { a.times.record(kind, d) }

// Enter decides on a request for a slot. If the queue is full, the last waiting item is evicted to make room and returned,
// if it has a lower priority, or the same but is late and the new item is not.
func (a *Admitter[T]) Enter(item T, r Request, now time.Time) (decision Decision, evicted T, hasEvicted bool) {
	k := sortKey{rank: r.Rank, serviceTime: a.times.mean(r.Kind)}
	start, late := startBy(r, k.serviceTime, now, a.deadlineTimes())
	k.late = late
	k.over = a.shares.over(r.Customer, now)
	if a.inFlight < a.slots && a.Queued() == 0 && a.rate.take(now) {
		a.inFlight++
		a.recordFlow(r, k, now)
		return Granted, evicted, false
	}
	if !r.MayQueue || a.slots == 0 || !start.IsZero() && a.estimateWait(k, now) > start.Sub(now) {
		return Refused, evicted, false
	}
	if a.Queued() >= a.queueLength {
		evicted, hasEvicted = a.queue.popLastBelow(k)
		if !hasEvicted {
			return Refused, evicted, false
		}
	}
	a.recordFlow(r, k, now)
	w := waiter[T]{item: item, sortKey: k}
	if !late && !r.Target.IsZero() {
		w.lateAt = r.Target.Add(-k.serviceTime)
	}
	a.queue.insert(w)
	return Queued, evicted, hasEvicted
}

// StartBy returns the latest time at which an item must get a slot under a rate limit, given its expected service time.
// It is the zero time if the item has no deadline.
func StartBy(r Request, service time.Duration, now time.Time) time.Time {
	start, _ := startBy(r, service, now, targetServiceTimes)
	return start
}

// startBy returns the latest time at which an item must get its slot: early enough for Target, or, by a number of
// service times, for Deadline if Target can no longer be met. It is the zero time if the item has no deadline either.
func startBy(r Request, service time.Duration, now time.Time, deadlineTimes float64) (start time.Time, late bool) {
	if !r.Target.IsZero() {
		start = r.Target.Add(-time.Duration(targetServiceTimes * float64(service)))
		if now.Before(start) {
			return start, false
		}
		late = true
	}
	return latestStart(r, service, deadlineTimes), late
}

// latestStart returns the time that is a number of service times before the item's deadline, or the zero time if it has
// no deadline.
func latestStart(r Request, service time.Duration, deadlineTimes float64) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Deadline.Add(-time.Duration(deadlineTimes * float64(service)))
}

// LatestStart returns the latest time at which an item must have a slot to be answered before its deadline, or the zero
// time if it has no deadline.
func (a *Admitter[T]) LatestStart(r Request) time.Time {
	return latestStart(r, a.times.mean(r.Kind), a.deadlineTimes())
}

// deadlineTimes returns how many mean service times before its deadline an item must have a slot.
func (a *Admitter[T]) deadlineTimes() float64 {
	if a.rate.limited() {
		return targetServiceTimes
	}
	return deadlineServiceTimes
}

func (a *Admitter[T]) recordFlow(r Request, k sortKey, now time.Time) {
	a.flows.record(flowKey{kind: r.Kind, late: k.late, over: k.over}, k.rank, k.serviceTime, now)
	a.shares.record(r.Customer, r.Weight, k.serviceTime, now)
}

// estimateWait estimates how long an item would wait for a slot: until a running item ends, for the queued work ahead
// of it, and for the work that is expected to arrive meanwhile and overtake it; or until the rate limit has granted
// slots to the items ahead, if that takes longer.
func (a *Admitter[T]) estimateWait(k sortKey, now time.Time) time.Duration {
	running := time.Duration(max(a.inFlight-a.slots+1, 0)) * a.times.all.mean
	overtaking := a.flows.sum(now, func(key flowKey, rank int) bool {
		return sortKey{rank: rank, serviceTime: a.times.mean(key.kind), late: key.late, over: key.over}.before(k)
	})
	slotWait := float64(running+a.queue.workAhead(k)) / float64(a.slots) / (1 - overtaking.slotShare(a.slots))
	if a.floor.share > 0 && a.queue.isLower(k) {
		slotWait = min(slotWait, float64(a.queue.lowerWork()+a.times.all.mean)/float64(a.slots)/a.floor.share)
	}
	if !a.rate.limited() {
		return time.Duration(slotWait)
	}
	rateWait := float64(a.rate.wait(a.queue.position(k), now)) / (1 - overtaking.rateShare(a.rate.perSecond()))
	return time.Duration(max(slotWait, rateWait))
}

// Release gives a slot back. The owner then calls Next until it returns false.
func (a *Admitter[T]) Release() { a.inFlight-- }

// Next gives a free slot to the first waiting item and returns it. It returns false if no slot is free, no item waits
// or the rate limit allows no grant yet.
func (a *Admitter[T]) Next(now time.Time) (item T, ok bool) {
	if a.inFlight >= a.slots || a.Queued() == 0 || !a.rate.take(now) {
		return item, false
	}
	if a.queue.hasLower() && a.floor.takesLower() {
		item, ok = a.queue.popOldestLower(now)
	} else {
		item, ok = a.queue.popFirst(now)
	}
	if ok {
		a.inFlight++
	}
	return item, ok
}

// Remove takes an item out of the queue, and reports whether it was waiting.
func (a *Admitter[T]) Remove(item T) bool { return a.queue.remove(item) }
