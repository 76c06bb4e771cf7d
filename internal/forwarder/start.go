package forwarder

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// start begins to serve the call.
func (x *exchange) start() {
	f := x.forwarder
	x.started = true
	x.startedAt = time.Now()
	x.lastByte = x.startedAt
	x.view = f.view.Load()
	x.closeAfter = x.closeAfter || f.draining
	f.calls[x] = struct{}{}
	if x.request.message.get(headerUpgrade) != "" {
		x.refuse(501, "upgrade", runNo)
		return
	}
	if x.caller.fromPeer {
		x.startFromPeer()
		return
	}
	x.startFromCaller()
}

// startFromCaller routes a call that enters the mesh here.
func (x *exchange) startFromCaller() {
	f := x.forwarder
	f.stats.Entered.Add(1)
	m := x.request.message
	if !x.view.Ready && !f.draining {
		x.refuse(503, "not-ready", runNo)
		return
	}
	if len(f.calls) > f.common.Settings.MaxInFlight {
		x.refuse(503, "too-many-calls", runNo)
		return
	}
	path, ok := requestPath(m.uri)
	if !ok {
		x.refuse(400, "malformed", runNo)
		return
	}
	x.route = x.view.Match(m.method, path)
	if x.route == nil {
		x.refuse(404, "no-route", runNo)
		return
	}
	x.rank = x.view.Rank(x.route.Class)
	x.idempotent = x.route.Idempotent
	x.setDeadline(x.startedAt.Add(time.Duration(x.route.TimeoutMs) * time.Millisecond))
	x.fingerprint = fingerprint(x.route.Name, m, x.request.body)
	if x.view.Refused[x.fingerprint] {
		f.stats.CrashRefused.Add(1)
		x.refuse(422, "crashes-upstreams", runNo)
		return
	}
	f.budget(x.route).Earn(x.view.Preset.GetRetryBudget())
	if !x.idempotent {
		x.key = m.get(headerIdempotencyKey)
	}
	if x.key != "" {
		x.startKeyed()
		return
	}
	x.dispatch()
}

// requestPath returns the path of a request's target.
func requestPath(uri string) (string, bool) {
	if !strings.HasPrefix(uri, "/") {
		return "", false
	}
	raw, _, _ := strings.Cut(uri, "?")
	path, err := url.PathUnescape(raw)
	if err != nil || strings.Contains(path, "/../") || strings.HasSuffix(path, "/..") {
		return "", false
	}
	return path, true
}

// fingerprint identifies requests that are alike: route, method, target and the gathered part of the body.
func fingerprint(route string, m *message, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{route, m.method, m.uri} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), gatherLimit)])
	return d.Sum64()
}

// startFromPeer serves what another node asks for.
func (x *exchange) startFromPeer() {
	m := x.request.message
	x.operation = m.get(headerOperation)
	x.id, _ = strconv.ParseUint(m.get(headerID), 16, 64)
	deadline, _ := strconv.ParseInt(m.get(headerDeadline), 10, 64)
	switch x.operation {
	case operationClaim:
		x.setDeadline(time.UnixMilli(deadline))
		x.answerClaim()
		return
	case operationReserve:
		x.setDeadline(time.UnixMilli(deadline))
		x.answerReserve()
		return
	case operationCall, operationOwn:
	default:
		x.refuse(400, "unknown-operation", runNo)
		return
	}
	x.forwarder.stats.Relayed.Add(1)
	entry, known := x.forwarder.ids.get(ledgerKey(x.id))
	if known {
		x.refuseKnown(entry)
		return
	}
	x.entry = x.forwarder.ids.start(ledgerKey(x.id), time.UnixMilli(deadline).Add(idGrace))
	if x.entry == nil {
		x.refuse(503, "too-many-calls", runNo)
		return
	}
	x.startForPeer(time.UnixMilli(deadline))
}

// startForPeer starts a call whose id is new here.
func (x *exchange) startForPeer(deadline time.Time) {
	m := x.request.message
	x.route = x.findRoute(m.get(headerRoute), m.get(headerService))
	x.idempotent = x.route.Idempotent
	x.rank = x.view.Rank(x.route.Class)
	x.version = m.get(headerVersion)
	x.fingerprint, _ = strconv.ParseUint(m.get(headerFingerprint), 16, 64)
	x.setDeadline(deadline)
	if !x.deadline.After(x.startedAt) {
		x.refuse(504, "deadline", runNo)
		return
	}
	if x.view.Refused[x.fingerprint] {
		x.refuse(422, "crashes-upstreams", runNo)
		return
	}
	if x.operation == operationOwn {
		x.key = m.get(headerIdempotencyKey)
		x.ownKey()
		return
	}
	x.enterLocal()
}

// findRoute returns the route that the sending node has chosen. A node that does not know it yet
// treats the call as non-idempotent, which is always safe.
func (x *exchange) findRoute(name, service string) *schema.Route {
	if r := x.view.Match(x.request.message.method, x.request.message.uri); r != nil && r.Name == name {
		return r
	}
	return &schema.Route{Name: name, Service: service}
}
