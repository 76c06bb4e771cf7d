package forwarder

import (
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// reasonNodeLeaving means that the node would exit before it could answer the call.
const reasonNodeLeaving = "node-leaving"

// maxTimeLeft bounds the remaining time that a header may state.
const maxTimeLeft = 24 * time.Hour

// start starts to serve the call, when it is first on its connection or may start ahead.
func (x *exchange) start() {
	f := x.forwarder
	x.started = true
	x.startedAt = time.Now()
	x.lastByteAt = x.startedAt
	x.progressSentAt = x.startedAt
	x.snapshot = f.snapshot.Load()
	f.calls[x] = struct{}{}
	if x.oversized {
		x.refuseOversized()
		return
	}
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

// startFromCaller routes a call that enters the mesh at this node.
func (x *exchange) startFromCaller() {
	f := x.forwarder
	f.stats.Entered.Add(1)
	m := x.request.message
	path, ok := requestPath(m.uri)
	if !ok || m.proto == "HTTP/1.1" && m.count(headerHost) != 1 {
		x.refuse(400, "malformed", runNo)
		return
	}
	if !x.snapshot.Ready && !f.draining || !x.snapshot.Configured {
		x.refuse(503, "not-ready", runNo)
		return
	}
	if len(f.calls) > f.common.Settings.MaxInFlight {
		x.refuse(503, "too-many-calls", runNo)
		return
	}
	x.route = x.snapshot.Match(requestHost(m), m.method, path)
	if x.route == nil {
		x.refuse(404, "no-route", runNo)
		return
	}
	if !x.authenticate() {
		return
	}
	x.service = f.chooseService(x.route)
	x.idempotent = x.route.Idempotent
	x.setDeadline(x.callerDeadline())
	x.rank = x.snapshot.CustomerRank(x.customer, x.route.Class)
	x.targetAt = x.callerTarget()
	x.takeToken()
}

// startAdmitted continues with a call that is within its customer's quota.
func (x *exchange) startAdmitted() {
	if x.refusedByLeavingNode() {
		return
	}
	x.startRouted()
}

// outlastsNode reports whether the call's deadline is later than the time until which this node, which is leaving, can
// answer it.
func (x *exchange) outlastsNode() bool {
	end := x.forwarder.leaveDeadline
	return !end.IsZero() && end.Before(x.deadline)
}

// refusedByLeavingNode refuses a call that outlasts this node once it drains, and reports whether it did. Such a call
// could be broken off while its upstream processes it; before it runs, another node can take it. Until the node drains,
// the call is taken, but has to be answered while the node can still do so.
func (x *exchange) refusedByLeavingNode() bool {
	if !x.forwarder.draining {
		x.endWithNode()
		return false
	}
	if !x.outlastsNode() {
		return false
	}
	x.refuse(503, reasonNodeLeaving, runNo)
	return true
}

// endWithNode moves the deadline of a call that outlasts this node to the time until which the node can answer it.
func (x *exchange) endWithNode() {
	if x.outlastsNode() {
		x.endsWithNode = true
		x.setDeadline(x.forwarder.leaveDeadline)
	}
}

// tooLateForNode reports whether a non-idempotent call that was taken before this node drained would run at an endpoint
// now, but is not expected to be answered before the node exits.
func (x *exchange) tooLateForNode(e *balancer.Endpoint, now time.Time) bool {
	if !x.forwarder.draining || !x.endsWithNode || x.idempotent {
		return false
	}
	return now.After(admitter.StartBy(admitter.Request{Deadline: x.deadline}, e.Load.ServiceTime(now), now))
}

// startRouted continues with a call whose route is known.
func (x *exchange) startRouted() {
	f := x.forwarder
	m := x.request.message
	x.fingerprint = fingerprint(x.route.Name, m, x.request.body)
	if x.snapshot.CrashFingerprints[x.fingerprint] {
		f.stats.CrashRefused.Add(1)
		x.refuse(f.config.Dialect.CrashStatus, "crashes-upstreams", runNo)
		return
	}
	f.budget(x.service, x.route.Class).Deposit(x.snapshot.Preset.GetRetryBudget())
	if !x.idempotent && f.config.Dialect.RequestID == "" {
		x.key = m.get(headerIdempotencyKey)
	}
	if x.key != "" {
		// A repeated call may be answered without room.
		x.startKeyed()
		return
	}
	if !x.throttled() {
		x.dispatch()
	}
}

// callerDeadline returns when the route's timeout expires, or the caller's own if that is earlier.
func (x *exchange) callerDeadline() time.Time {
	left := time.Duration(x.route.TimeoutMs) * time.Millisecond
	if ms, ok := parseMillis(x.request.message, x.forwarder.config.Dialect.TimeLeft); ok {
		left = min(left, ms)
	}
	return x.startedAt.Add(left)
}

// callerTarget returns the call's latency target, or zero if the route has none. It is earlier by the time that the caller
// has used up in earlier attempts.
func (x *exchange) callerTarget() time.Time {
	if x.route.AimMs == 0 {
		return time.Time{}
	}
	x.usedBefore, x.usedBeforeKnown = x.timeUsed()
	return x.startedAt.Add(time.Duration(x.route.AimMs)*time.Millisecond - x.usedBefore)
}

// parseMillis returns the value of a header in milliseconds, or false if it is missing or out of range.
func parseMillis(m *message, header string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(m.get(header), 64)
	if err != nil || !(ms >= 0 && ms < maxTimeLeft.Seconds()*1000) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// requestHost returns the host of a request, in lower case and without a port.
func requestHost(m *message) string {
	host := strings.ToLower(m.get(headerHost))
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// requestPath returns the unescaped path of a request's target. It reports false for targets that are not a path, and
// for those with a ".." segment.
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

// fingerprint returns a hash that is the same for similar requests: of the route, the method, the target and the
// first maxBufferedBodyBytes bytes of the body.
func fingerprint(route string, m *message, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{route, m.method, m.uri} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), maxBufferedBodyBytes)])
	return d.Sum64()
}

// startFromPeer serves a request of another node. A call whose ID is known is refused: it was
// fenced, or has arrived before.
func (x *exchange) startFromPeer() {
	m := x.request.message
	x.operation = m.get(headerOperation)
	x.id, _ = strconv.ParseUint(m.get(headerID), 16, 64)
	x.adoptCondition()
	left, _ := parseMillis(m, headerTimeLeft)
	deadline := x.startedAt.Add(left - x.forwarder.transit.excessDelay(m, x.startedAt))
	switch x.operation {
	case operationClaim:
		x.setDeadline(deadline)
		x.handleClaim()
		return
	case operationReserve:
		x.setDeadline(deadline)
		x.handleReserve()
		return
	case operationCall, operationOwn:
	default:
		x.refuse(400, "unknown-operation", runNo)
		return
	}
	x.forwarder.stats.Relayed.Add(1)
	entry, known := x.forwarder.ids.get(idKey(x.id))
	if known {
		x.refuseDuplicate(entry)
		return
	}
	x.entry = x.forwarder.ids.start(idKey(x.id), deadline.Add(idGrace))
	if x.entry == nil {
		x.refuse(503, "too-many-calls", runNo)
		return
	}
	x.startNewFromPeer(deadline)
}

// startNewFromPeer starts a call of another node whose ID is new here.
func (x *exchange) startNewFromPeer(deadline time.Time) {
	m := x.request.message
	x.service = m.get(headerService)
	x.route = x.findRoute(m.get(headerRoute), x.service)
	x.idempotent = x.route.Idempotent
	x.adoptCustomer()
	x.rank = x.snapshot.CustomerRank(x.customer, x.route.Class)
	x.version = m.get(headerVersion)
	x.fingerprint, _ = strconv.ParseUint(m.get(headerFingerprint), 16, 64)
	x.setDeadline(deadline)
	x.mayQueue = m.get(headerWait) != waitNo
	if left, ok := parseMillis(m, headerAimLeft); ok {
		x.targetAt = x.startedAt.Add(left)
	}
	if !x.deadline.After(x.startedAt) {
		x.refuse(504, "deadline", runNo)
		return
	}
	if x.snapshot.CrashFingerprints[x.fingerprint] {
		x.refuse(x.forwarder.config.Dialect.CrashStatus, "crashes-upstreams", runNo)
		return
	}
	if x.operation == operationOwn {
		x.key = m.get(headerIdempotencyKey)
		x.serveAsKeyOwner()
		return
	}
	if x.refusedByLeavingNode() {
		return
	}
	x.admitLocal()
}

// findRoute returns the route that the sending node chose. If this node does not have the route yet, the call is
// treated as non-idempotent, which is always safe.
func (x *exchange) findRoute(name, service string) *schema.Route {
	if r := x.snapshot.Match(requestHost(x.request.message), x.request.message.method, x.request.message.uri); r != nil &&
		r.Name == name {
		return r
	}
	return &schema.Route{Name: name, Service: service}
}

// callerService returns the service on whose VM the call entered the mesh, as stated by the sending node if there is
// one.
func (x *exchange) callerService() string {
	if x.caller != nil && x.caller.fromPeer || x.operation != "" {
		return x.request.message.get(x.forwarder.config.Dialect.CallerService)
	}
	return x.forwarder.config.Service
}
