package forwarder

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// maxTries bounds the attempts of one call.
	maxTries = 3
	// maxRuns bounds the upstreams that may have run one idempotent call.
	maxRuns = 2
)

// request is a call's request as far as it has been read.
type request struct {
	message *message
	// body is what has been read and not been streamed on.
	body []byte
	// complete tells that the whole body has been read.
	complete bool
	// streamed tells that a part of the body is gone, so that the request can't be sent again.
	streamed bool
}

// exchange is one call on one node, from its request to the end of its answer.
type exchange struct {
	forwarder *Forwarder
	// caller is nil once the caller's connection has ended.
	caller  *serverConn
	request request

	view        *router.Snapshot
	route       *schema.Route
	operation   string
	id          uint64
	key         string
	version     string
	fingerprint uint64
	rank        int
	idempotent  bool
	startedAt   time.Time
	deadline    time.Time
	timer       *time.Timer

	started bool
	// ended is set once; after it nothing is written for this call.
	ended    bool
	headSent bool
	// chunkedOut tells that the answer's body goes on in chunks.
	chunkedOut bool
	// closeAfter tells that the caller's connection ends with the answer.
	closeAfter bool
	lastByte   time.Time

	// attempt is the try under way; claim asks for the fate of a silent or lost one.
	attempt *attempt
	claim   *attempt
	claims  int
	queued  bool
	tries   int
	// runs counts the attempts that may have run. A non-idempotent call has at most one.
	runs  int
	tried map[string]bool
	// lastRefusal is why the last try did not run.
	lastRefusal string
	// claimed is the attempt whose fate the claim asks for.
	claimed *attempt
	// freshConn asks for a new connection to the local upstream.
	freshConn bool

	// holders counts the other nodes that hold the call's key.
	holders int

	entry    *ledgerEntry
	keyEntry *ledgerEntry
	capture  *answer
}

func newExchange(s *serverConn, m *message) *exchange {
	x := &exchange{forwarder: s.forwarder, caller: s, request: request{message: m}}
	x.closeAfter = !m.keepAlive()
	return x
}

// ready tells whether enough of the request has been read to start.
func (x *exchange) ready() bool {
	return x.request.complete || x.request.message.length > gatherLimit || len(x.request.body) > gatherLimit
}

func (x *exchange) receiveBody(data []byte) {
	x.lastByte = time.Now()
	if a := x.attempt; a != nil && a.streams() {
		x.request.streamed = true
		a.sendBody(data)
		return
	}
	x.request.body = append(x.request.body, data...)
	if x.started && len(x.request.body) > highWater {
		x.caller.conn.pause()
	}
	x.caller.startNext()
}

func (x *exchange) receiveEnd() {
	if a := x.attempt; a != nil && a.streams() {
		a.endBody()
		return
	}
	x.caller.startNext()
}

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

func (x *exchange) setDeadline(t time.Time) {
	x.deadline = t
	x.arm(time.Now())
}

// arm sets the timer to the next moment at which something may be due.
func (x *exchange) arm(now time.Time) {
	next := x.nextCheck(now)
	wait := max(next.Sub(now), time.Millisecond)
	if x.timer == nil {
		x.timer = time.AfterFunc(wait, x.onTimer)
		return
	}
	x.timer.Reset(wait)
}

func (x *exchange) nextCheck(now time.Time) time.Time {
	settings := x.forwarder.common.Settings
	if x.headSent {
		return x.lastByte.Add(settings.BodyIdleTimeout)
	}
	next := x.deadline
	if check := now.Add(settings.SilenceAfter / 2); x.attempt != nil && check.Before(next) {
		next = check
	}
	return next
}

func (x *exchange) onTimer() {
	f := x.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.ended {
		return
	}
	now := time.Now()
	switch {
	case x.headSent && now.Sub(x.lastByte) >= f.common.Settings.BodyIdleTimeout:
		x.cut()
	case !x.headSent && !now.Before(x.deadline):
		x.timeOut()
	case !x.headSent:
		x.checkSilence(now)
	}
	if !x.ended {
		x.arm(now)
	}
}

// timeOut ends a call whose time is over.
func (x *exchange) timeOut() {
	run := runNo
	if x.runs > 0 || x.operation == operationClaim || x.operation == operationReserve {
		run = runUnknown
	}
	x.dropAttempts()
	x.refuse(504, "deadline", run)
}

// abandon is called when the caller's connection has ended.
func (x *exchange) abandon() {
	x.caller = nil
	if x.ended || !x.started {
		x.ended = true
		return
	}
	if !x.idempotent && x.attempt != nil && x.attempt.sent && x.request.complete {
		// The answer is kept for a caller or node that asks for it.
		return
	}
	x.forwarder.stats.Cancelled.Add(1)
	outcome := runNo
	if x.runs > 0 {
		outcome = runUnknown
	}
	x.dropAttempts()
	x.end(nil, outcome)
}

// dropAttempts ends whatever is under way for the call.
func (x *exchange) dropAttempts() {
	if x.queued {
		x.queued = false
		x.forwarder.admitter.Remove(x)
	}
	if x.attempt != nil {
		x.attempt.drop()
		x.attempt = nil
	}
	x.dropClaim()
}

func (x *exchange) dropClaim() {
	if x.claim != nil {
		x.claim.drop()
		x.claim = nil
	}
}

// end closes the call. The outcome is empty for an upstream's own answer, else runNo or runUnknown.
func (x *exchange) end(a *answer, outcome string) {
	if x.ended {
		return
	}
	x.ended = true
	if x.timer != nil {
		x.timer.Stop()
	}
	f := x.forwarder
	delete(f.calls, x)
	if x.entry != nil {
		f.ids.finish(x.entry, a, outcome)
	}
	if x.keyEntry != nil {
		f.keys.finish(x.keyEntry, a, outcome)
	}
	if x.caller != nil {
		if !x.request.complete {
			// The rest of the body is read and dropped.
			x.caller.conn.resume()
		}
		x.caller.finish(x)
	}
}

// cut ends a call whose answer can't be completed: its connection ends, so that
// what was written can't be taken for the whole answer.
func (x *exchange) cut() {
	x.forwarder.stats.Cut.Add(1)
	x.dropAttempts()
	caller := x.caller
	x.caller = nil
	x.end(nil, runUnknown)
	if caller != nil {
		caller.conn.closeWith(&Error{Operation: "answer", Kind: KindCut, Detail: "upstream's answer was cut"})
	}
}
