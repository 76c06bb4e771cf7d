package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/throttler"
)

const (
	// maxFreeSlotTries is how many nodes without a free slot a call is offered to before it may wait at one.
	maxFreeSlotTries = 2
	// maxQueueTries is how many nodes may refuse a call a place in their queues before it is refused.
	maxQueueTries = 2
	// maxUsedShare is the share of the time to the latency target from which a call that comes back counts as late.
	maxUsedShare = 0.5
	// maxOccupancies bounds the services and routes whose occupancy is kept. At the bound all are dropped.
	maxOccupancies = 1024
)

// occupancyKey identifies what is full: the slots of a service, if the route is empty, or the links of its VMs for the
// responses of a route.
type occupancyKey struct {
	service string
	route   string
}

// lacksRoom reports whether a refusal says that a node had no room for the call, by its slots, its queue or its link.
func lacksRoom(reason string) bool {
	switch reason {
	case reasonBusy, reasonQueueFull, reasonWaitedInVain, reasonLinkFull:
		return true
	}
	return false
}

func (x *exchange) throttlerKey() throttler.Key {
	return throttler.Key{Service: x.service, Route: x.route.Name, Rank: x.rank, Late: x.late()}
}

// late reports whether the call, as one that came back after refusals, has hardly a chance any more to be answered by its
// latency target.
func (x *exchange) late() bool {
	return !x.targetAt.IsZero() && x.usedBefore >= time.Duration(maxUsedShare*float64(x.route.AimMs)*float64(time.Millisecond))
}

// cameBackEarly reports whether the caller is known to repeat its call sooner than any Retry-After lets it.
func (x *exchange) cameBackEarly() bool {
	aim := time.Duration(x.route.AimMs) * time.Millisecond
	return x.usedBeforeKnown && x.usedBefore > 0 &&
		x.usedBefore < max(newReturnWindow(x.timeLeft(), aim-x.usedBefore).earliest, minRetryAfter)
}

// usefulTime returns the time in which the call's response is worth most: until its latency target, or until its deadline if
// it has no target or can hardly meet it.
func (x *exchange) usefulTime() time.Duration {
	if x.targetAt.IsZero() || x.late() {
		return x.deadline.Sub(x.startedAt)
	}
	return x.targetAt.Sub(x.startedAt)
}

// throttled refuses a call that enters the mesh here if this node is late with what has arrived before, or if the call's
// service has lately had no room for such calls. It reports whether it did.
func (x *exchange) throttled() bool {
	f := x.forwarder
	if !x.madeByUpstream() && f.random.Float64() < f.lag.RefusalShare(x.usefulTime()) {
		x.refuse(503, reasonNodeLate, runNo)
		return true
	}
	if !x.madeByUpstream() && x.late() && x.serviceFull(x.startedAt) {
		// All room goes to calls that can still be in time.
		x.refuse(503, reasonServiceFull, runNo)
		return true
	}
	if f.throttler.Admits(x.throttlerKey(), x.startedAt, f.random.Float64(), x.cameBackEarly()) {
		return false
	}
	x.refuse(503, reasonServiceFull, runNo)
	return true
}

// recordRoom records whether a call that entered the mesh here got a slot. The outcome is that of end. A call whose
// refusal has another reason says nothing about the room.
func (x *exchange) recordRoom(outcome string) {
	if x.operation != "" || x.caller != nil && x.caller.fromPeer || x.tries == 0 {
		return
	}
	refused := outcome == runNo && lacksRoom(x.lastRefusal)
	if outcome == "" || refused {
		x.forwarder.throttler.Record(x.throttlerKey(), !refused, time.Now())
	}
}

// recordOccupancy records whether an endpoint had a free slot, or its link room for the route's responses.
func (f *Forwarder) recordOccupancy(k occupancyKey, load, slots int, now time.Time) {
	if _, known := f.occupancies[k]; !known && len(f.occupancies) >= maxOccupancies {
		clear(f.occupancies)
	}
	f.occupancies[k] = f.occupancies[k].With(load, slots, now)
}

// recordLinkRoom records whether the link of a node had room for a response of the call's route.
func (x *exchange) recordLinkRoom(admitted bool, now time.Time) {
	load := 1
	if admitted {
		load = 0
	}
	x.forwarder.recordOccupancy(occupancyKey{service: x.service, route: x.route.Name}, load, 1, now)
}

// serviceFull reports whether hardly any node of the call's service has room for it.
func (x *exchange) serviceFull(now time.Time) bool {
	f := x.forwarder
	return f.occupancies[occupancyKey{service: x.service}].Full(now) ||
		f.occupancies[occupancyKey{service: x.service, route: x.route.Name}].Full(now)
}

// waitsAtOnce reports whether the call is offered to an endpoint for its queue, without having been refused there before: if
// an upstream makes it, after other nodes had no free slot for it, or while the service is full. As in allowQueueAt, calls
// first stay in the node's own zone if that has upstreams.
func (x *exchange) waitsAtOnce(zone string, now time.Time) bool {
	if x.madeByUpstream() {
		return true
	}
	if x.slotRefusals < maxFreeSlotTries && !x.serviceFull(now) {
		return false
	}
	return x.slotRefusals+x.queueRefusals > 0 || zone == x.forwarder.common.Settings.Zone || !x.hasEndpointInZone()
}

// recordRoomRefusal counts a refusal for lack of room, of a free slot or of a place in the queue.
func (x *exchange) recordRoomRefusal() {
	if x.mayQueue {
		x.queueRefusals++
		return
	}
	x.slotRefusals++
}

// madeByUpstream reports whether an upstream makes the call for another one that it runs. Where callers identify their
// customers, only upstreams' calls have none. Such calls go before those of customers in every queue, so that one try gets
// them a slot soon.
func (x *exchange) madeByUpstream() bool { return x.customer == nil && x.snapshot.HasCustomers() }

// recordRoomReport records what a node's response tells about the room of its upstream, which may run a number of calls at
// once.
func (a *attempt) recordRoomReport(m *message, load, slots int, now time.Time) {
	x := a.exchange
	x.forwarder.recordOccupancy(occupancyKey{service: a.endpoint.Service}, load, slots, now)
	if m.get(headerRun) == "" || m.get(headerRefusal) == reasonLinkFull {
		x.recordLinkRoom(m.get(headerRefusal) == "", now)
	}
}
