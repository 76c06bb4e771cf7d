package forwarder

import (
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
)

// keyGroup is the number of nodes that hold an idempotency key. Every one that can be reached is
// asked before the key runs, and at least one besides the owner has to hold it. So a later owner
// meets a holder as long as not all of them have gone, or left the group, in the meantime.
const keyGroup = 4

// keyOwners returns the nodes that may know the call's key, best first.
func (x *exchange) keyOwners() []*balancer.Endpoint {
	service := x.view.Services[x.service]
	if service == nil {
		return nil
	}
	ranked := ranker.Rank("key/"+x.key, service.Owners, func(e *balancer.Endpoint) string { return e.Node })
	return ranked[:min(len(ranked), keyGroup)]
}

// startKeyed sends a call with an idempotency key to the key's owner.
func (x *exchange) startKeyed() {
	if len(x.key) > 255 {
		x.refuse(400, "malformed", runNo)
		return
	}
	if !x.request.complete {
		x.refuse(413, "keyed-body-too-large", runNo)
		return
	}
	x.tryNextOwner()
}

// tryNextOwner sends the call to the first owner that has not been tried.
func (x *exchange) tryNextOwner() {
	if x.tried == nil {
		x.tried = map[string]bool{}
	}
	for _, e := range x.keyOwners() {
		if x.tried["owner/"+e.Node] {
			continue
		}
		x.tried["owner/"+e.Node] = true
		if e.Node == x.view.Node {
			x.ownKey()
			return
		}
		x.sendPeer(e, operationOwn)
		return
	}
	x.refuse(503, "no-key-owner", runNo)
}

// awaitsOwner tells whether the call must first reach the owner of its key.
func (x *exchange) awaitsOwner() bool {
	return x.key != "" && x.operation == "" && x.keyEntry == nil
}

// allowOwnerAgain lets the owner of the key be asked once more, after it has fenced the first try:
// it is well, and another owner would only know that the key is taken.
func (x *exchange) allowOwnerAgain(a *attempt) {
	x.tries++
	if x.awaitsOwner() && x.tries < maxTries {
		delete(x.tried, "owner/"+a.endpoint.Node)
	}
}

func (x *exchange) ledgerKey() string { return x.service + "\x00" + x.key }

// ownKey runs a keyed call on the node that owns the key, or answers from the earlier run.
func (x *exchange) ownKey() {
	f := x.forwarder
	e, known := f.keys.get(x.ledgerKey())
	if known && e.state == entryFinished && e.outcome == runNo {
		f.keys.forget(e)
		known = false
	}
	switch {
	case known && e.state == entryReserved:
		x.refuse(409, "key-taken", runUnknown)
		return
	case known:
		f.stats.KeyRepeats.Add(1)
		x.waitForKey(e)
		return
	}
	x.keyEntry = f.keys.start(x.ledgerKey(), time.Now().Add(keyLifetime))
	if x.keyEntry == nil {
		x.refuse(503, "too-many-keys", runNo)
		return
	}
	x.reserve()
}

// waitForKey answers a repeated call from the first one.
func (x *exchange) waitForKey(e *ledgerEntry) {
	if e.state == entryRunning {
		e.waiting = append(e.waiting, x)
		return
	}
	x.answerFrom(e)
}

// reserve asks the other owners, one after the other, to hold the key, and then runs the call.
func (x *exchange) reserve() {
	f := x.forwarder
	owners := x.keyOwners()
	others := slices.DeleteFunc(owners, func(e *balancer.Endpoint) bool { return e.Node == x.view.Node })
	if len(others) == 0 {
		// The only node of the service has nobody to share the key with.
		x.dispatch()
		return
	}
	for _, e := range others {
		if x.tried["reserve/"+e.Node] {
			continue
		}
		if x.tried == nil {
			x.tried = map[string]bool{}
		}
		x.tried["reserve/"+e.Node] = true
		a := &attempt{exchange: x, kind: kindReserve, operation: operationReserve, id: f.newID(), endpoint: e}
		x.attempt = a
		f.pool(e.PeerAddress, peerConnections).serve(a)
		if x.attempt == a {
			x.arm(time.Now())
		}
		return
	}
	if x.holders == 0 {
		x.refuse(503, "key-not-reserved", runNo)
		return
	}
	x.dispatch()
}

func (x *exchange) reserveHead(a *attempt, m *message) {
	a.swallowed = m
}

// reserveEnd goes on after another owner has answered.
func (x *exchange) reserveEnd(a *attempt) {
	m := a.swallowed
	switch {
	case m.status == 200:
		x.holders++
		x.reserve()
	case m.get(headerRun) == runNo:
		x.reserve()
	default:
		x.refuse(409, "key-taken", runUnknown)
	}
}

func (x *exchange) reserveLost() {
	if !x.ended {
		x.reserve()
	}
}

// answerReserve holds a key for its owner, unless another node holds it.
func (x *exchange) answerReserve() {
	f := x.forwarder
	m := x.request.message
	owner := m.get(headerOwner)
	key := m.get(headerService) + "\x00" + m.get(headerIdempotencyKey)
	e, known := f.keys.get(key)
	if known && e.state == entryFinished && e.outcome == runNo {
		f.keys.forget(e)
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
