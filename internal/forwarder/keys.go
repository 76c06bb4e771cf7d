package forwarder

import (
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
)

// keyReplicas is the number of nodes that hold an idempotency key: the owner, which runs the call, and the nodes that
// reserve the key for it. Before the owner runs the call, it asks all others that it can reach, and at least one has to
// reserve the key. A later owner therefore finds the key reserved, unless every node that reserved it is gone or no
// longer among the key's nodes.
const keyReplicas = 4

const maxKeyBytes = 255

// keyNodes returns the nodes that may hold the call's key, in order of preference as its owner. Names at one place stand for
// one node, which is returned once.
func (x *exchange) keyNodes() []*balancer.Endpoint {
	service := x.snapshot.Services[x.service]
	if service == nil {
		return nil
	}
	ranked := ranker.Rank("key/"+x.key, service.Nodes, func(e *balancer.Endpoint) string { return e.Node })
	var nodes []*balancer.Endpoint
	var places set[place]
	for _, e := range ranked {
		at := x.forwarder.placeOf(e)
		if len(nodes) < keyReplicas && !places.has(at) {
			places.add(at)
			nodes = append(nodes, e)
		}
	}
	return nodes
}

// startKeyed sends a call with an idempotency key to the key's owner. The body must have been read completely, since
// the call may be sent to several nodes.
func (x *exchange) startKeyed() {
	if len(x.key) > maxKeyBytes {
		x.refuse(400, "malformed", runNo)
		return
	}
	if !x.request.complete {
		x.refuse(413, "keyed-body-too-large", runNo)
		return
	}
	x.tryNextOwner()
}

// tryNextOwner sends the call to the first of the key's nodes that has not been tried as its owner. It is called again
// if that node can't be reached or has fenced the call.
func (x *exchange) tryNextOwner() {
	for _, e := range x.keyNodes() {
		at := x.forwarder.placeOf(e)
		if x.askedOwners.has(at) {
			continue
		}
		x.askedOwners.add(at)
		if x.forwarder.isOwn(e) {
			x.serveAsKeyOwner()
			return
		}
		x.sendPeer(e, operationOwn)
		return
	}
	x.refuse(503, "no-key-owner", runNo)
}

// awaitsOwner reports whether the call entered the mesh here and still has to reach the owner of its key.
func (x *exchange) awaitsOwner() bool {
	return x.key != "" && x.operation == "" && x.keyEntry == nil
}

// allowOwnerRetry allows another attempt at the owner of the key after the owner has fenced this one. The owner has
// shown that it is alive, and another node would refuse the key if it has been reserved.
func (x *exchange) allowOwnerRetry(a *attempt) {
	x.tries++
	if x.awaitsOwner() && x.tries < maxTries {
		x.askedOwners.remove(a.place())
	}
}

// scopedKey returns the key under which Forwarder.keys holds the call.
func (x *exchange) scopedKey() string { return scopeKey(x.service, x.customerName(), x.key) }

// scopeKey returns an idempotency key with its service and its customer, so that a customer never gets the response to
// another one that uses the same key.
func scopeKey(service, customer, key string) string {
	if customer == "" {
		return service + "\x00" + key
	}
	return service + "\x00" + customer + "\x00" + key
}

// serveAsKeyOwner runs a keyed call on the owner of the key, or responds from an earlier run. A key whose earlier call
// is known not to have run can be used again.
func (x *exchange) serveAsKeyOwner() {
	f := x.forwarder
	e, known := f.keys.get(x.scopedKey())
	if known && e.state == entryFinished && e.outcome == runNo {
		f.keys.remove(e)
		known = false
	}
	switch {
	case known && e.state == entryReserved:
		x.refuse(409, "key-taken", runUnknown)
		return
	case known:
		f.stats.KeyRepeats.Add(1)
		x.respondToRepeat(e)
		return
	}
	if x.refusedByLeavingNode() {
		return
	}
	x.keyEntry = f.keys.start(x.scopedKey(), time.Now().Add(keyLifetime))
	if x.keyEntry == nil {
		x.refuse(503, "too-many-keys", runNo)
		return
	}
	x.reserveNext()
}

// respondToRepeat responds to a call whose key is known with the outcome of the first run, once that has finished.
func (x *exchange) respondToRepeat(e *dedupEntry) {
	if e.state == entryRunning {
		e.waiting = append(e.waiting, x)
		return
	}
	x.respondFrom(e)
}

// reserveNext asks the next of the key's other nodes to reserve it. Once all have been asked, it runs the call if any
// of them holds the key.
func (x *exchange) reserveNext() {
	f := x.forwarder
	nodes := x.keyNodes()
	others := slices.DeleteFunc(nodes, f.isOwn)
	if len(others) == 0 {
		// The service has no other node that could reserve the key.
		x.dispatch()
		return
	}
	for _, e := range others {
		at := f.placeOf(e)
		if x.askedReservers.has(at) {
			continue
		}
		x.askedReservers.add(at)
		a := &attempt{exchange: x, kind: kindReserve, operation: operationReserve, id: f.newID(), endpoint: e}
		x.attempt = a
		f.pool(e.PeerAddress, peerConnections).assign(a)
		if x.attempt == a {
			x.arm(time.Now())
		}
		return
	}
	if x.reservations == 0 {
		x.refuse(503, "key-not-reserved", runNo)
		return
	}
	x.dispatch()
}

// onReserveHead keeps the head of the response to a reservation for onReserveEnd.
func (x *exchange) onReserveHead(a *attempt, m *message) {
	a.suppressed = m
}

// onReserveEnd is called when the response to a reservation has been read completely. A node without room for the key
// is skipped. Any other refusal ends the call, since the node may hold the key for another owner or have run the call.
func (x *exchange) onReserveEnd(a *attempt) {
	m := a.suppressed
	switch {
	case m.status == 200:
		x.reservations++
		x.reserveNext()
	case m.get(headerRun) == runNo:
		x.reserveNext()
	default:
		x.refuse(409, "key-taken", runUnknown)
	}
}

// onReserveLost is called when the connection of a reservation failed before the response was complete. A node that has not
// responded is skipped. Else the head of its response holds, so that a key is not used although it is taken.
func (x *exchange) onReserveLost(a *attempt) {
	switch {
	case x.ended:
	case a.suppressed != nil:
		x.onReserveEnd(a)
	default:
		x.reserveNext()
	}
}

// handleReserve reserves a key for the node that asks. It refuses if the key is reserved for another node, or if its
// call is running or has run here.
func (x *exchange) handleReserve() {
	f := x.forwarder
	m := x.request.message
	owner := m.get(headerOwner)
	x.adoptCustomer()
	key := scopeKey(m.get(headerService), x.customerName(), m.get(headerIdempotencyKey))
	e, known := f.keys.get(key)
	if known && e.state == entryFinished && e.outcome == runNo {
		f.keys.remove(e)
		known = false
	}
	if !known {
		e = f.keys.add(key, entryReserved, time.Now().Add(keyLifetime))
		if e == nil {
			x.refuse(503, "too-many-keys", runNo)
			return
		}
		e.owner = owner
	}
	if e.state != entryReserved || e.owner != owner {
		x.refuse(409, "key-taken", runUnknown)
		return
	}
	x.writeHead(&message{status: 200, length: 0}, true)
	x.writeEnd("")
}
