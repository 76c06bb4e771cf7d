package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

const (
	// unforwardedTimeout is the time within which a call must end whose response is endless and not forwarded.
	unforwardedTimeout = 2 * time.Second
	// noEnd is the framing of a body that ends when the connection closes, longBody that of a body of 1 TiB, and chunked
	// that of a chunked body.
	noEnd    = "Cache-Control: no-store"
	longBody = "Content-Length: 1099511627776"
	chunked  = "Transfer-Encoding: chunked"
)

// framings holds the framings of an endless body by name.
var framings = map[string]string{"no length": noEnd, "long": longBody, "chunked": chunked}

// endlessBody returns a sender of a head with the given fields and a framing, followed by an endless body.
func endlessBody(head, framing string) *endlessSender {
	piece := strings.Repeat("x", 4096)
	if framing == chunked {
		piece = "1000\r\n" + piece + "\r\n"
	}
	return newEndlessSender(head+framing+"\r\n\r\n", piece)
}

// firstEndless returns a handler that responds to the first request with an endless response, and with a valid one to
// all others. It counts the requests.
func firstEndless(e *endlessSender, runs *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			e.serve(w, r)
			return
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Seal", "s")
		_, _ = io.WriteString(w, "paid")
	}
}

// TestEndlessDiscardedResponse sends an endless late response to another request: it must not be read any further, and
// the call whose response it holds up must not be claimed as not run.
func TestEndlessDiscardedResponse(t *testing.T) {
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			e := endlessBody("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\n", framing)
			var runs atomic.Int32
			handler := firstEndless(e, &runs)
			entry := sealedMesh(t, 20_000, handler, handler)
			began := time.Now()
			r := do("POST", entry.url("/post"), "pay", "X-Id", "1")
			e.assertCutOff(t)
			qt.Assert(t, time.Since(began) < unforwardedTimeout, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			qt.Assert(t, r.err, qt.IsNil)
			qt.Assert(t, r.run, qt.Equals, "unknown", qt.Commentf("%+v", r))
			qt.Assert(t, runs.Load(), qt.Equals, int32(1))
		})
	}
}

// suppressedHeads holds heads of upstream responses that are read but not forwarded.
var suppressedHeads = map[string]string{
	"failure": "HTTP/1.1 500 Internal Server Error\r\nX-Id: {id}\r\nX-Seal: s\r\n",
	"no seal": "HTTP/1.1 200 OK\r\nX-Id: {id}\r\n",
	"refusal": "HTTP/1.1 503 X\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n",
}

// TestEndlessSuppressedResponseIsRetried sends an endless response that is not forwarded to an idempotent call: another
// upstream must take the call long before the deadline.
func TestEndlessSuppressedResponseIsRetried(t *testing.T) {
	for name, head := range suppressedHeads {
		for framingName, framing := range framings {
			t.Run(name+", "+framingName, func(t *testing.T) {
				e := endlessBody(head, framing)
				var runs atomic.Int32
				handler := firstEndless(e, &runs)
				entry := sealedMesh(t, 20_000, handler, handler)
				began := time.Now()
				r := do("GET", entry.url("/get"), "", "X-Id", "1")
				e.assertCutOff(t)
				qt.Assert(t, time.Since(began) < unforwardedTimeout, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
				qt.Assert(t, r.err, qt.IsNil)
				qt.Assert(t, r.body, qt.Equals, "paid", qt.Commentf("%+v", r))
				qt.Assert(t, runs.Load(), qt.Equals, int32(2))
			})
		}
	}
}

// TestEndlessSuppressedResponseIsUnknown sends an endless response that is not forwarded to a non-idempotent call: it must
// not run again, and must not be claimed as not run, not even after the endless refusal of a faulty upstream.
func TestEndlessSuppressedResponseIsUnknown(t *testing.T) {
	for _, name := range []string{"no seal", "refusal"} {
		for framingName, framing := range framings {
			t.Run(name+", "+framingName, func(t *testing.T) {
				e := endlessBody(suppressedHeads[name], framing)
				var runs atomic.Int32
				handler := firstEndless(e, &runs)
				entry := sealedMesh(t, 20_000, handler, handler)
				r := do("POST", entry.url("/post"), "pay", "X-Id", "1")
				e.assertCutOff(t)
				qt.Assert(t, r.err, qt.IsNil)
				qt.Assert(t, r.status, qt.Equals, http.StatusBadGateway)
				qt.Assert(t, r.run, qt.Equals, "unknown", qt.Commentf("%+v", r))
				qt.Assert(t, runs.Load(), qt.Equals, int32(1))
			})
		}
	}
}

// TestSlowLongFailureIsRetriedAtOnce sends the head of a failure whose body is too long to be kept, and no more: another
// upstream must take the call without waiting for that body.
func TestSlowLongFailureIsRetriedAtOnce(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	var runs atomic.Int32
	valid := firstEndless(nil, &runs)
	handler := func(w http.ResponseWriter, r *http.Request) {
		if !runs.CompareAndSwap(0, 1) {
			valid(w, r)
			return
		}
		c := hijack(w)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, strings.ReplaceAll(suppressedHeads["failure"], idPlaceholder, "1")+longBody+"\r\n\r\n")
		<-release
	}
	entry := sealedMesh(t, 20_000, handler, handler)
	began := time.Now()
	r := do("GET", entry.url("/get"), "", "X-Id", "1")
	qt.Assert(t, time.Since(began) < unforwardedTimeout, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
	qt.Assert(t, r.body, qt.Equals, "paid", qt.Commentf("%+v", r))
}

// failThenRefuse starts a mesh in which the first upstream that a call reaches fails with a body of the given length, and
// the second refuses the call without running it: the caller gets the failure if that has been kept.
func failThenRefuse(t *testing.T, length int) *testNode {
	t.Helper()
	var runs atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		if runs.Add(1) > 1 {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("X-Seal", "s")
		w.Header().Set("Content-Length", fmt.Sprint(length))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, length))
	}
	return sealedMesh(t, 20_000, handler, handler)
}

// TestLongestFailureIsKept lets an upstream fail with a body at the limit of what is read of a response that is not
// forwarded, and with one above it.
func TestLongestFailureIsKept(t *testing.T) {
	const limit = 256 << 10
	tests := []struct {
		name         string
		length, want int
		wantRun      string
	}{
		{"at the limit", limit, http.StatusInternalServerError, ""},
		{"above the limit", limit + 1, http.StatusBadGateway, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := do("GET", failThenRefuse(t, test.length).url("/get"), "", "X-Id", "1")
			qt.Assert(t, r.err, qt.IsNil)
			qt.Assert(t, r.status, qt.Equals, test.want, qt.Commentf("refusal %q", r.refusal))
			qt.Assert(t, r.run, qt.Equals, test.wantRun)
			if test.wantRun == "" {
				qt.Assert(t, r.body, qt.HasLen, test.length)
			}
		})
	}
}

// TestLongFailureWithoutBodyIsKept lets an upstream respond to a HEAD request with a failure that states a length above
// the limit: it has no body, so that it is kept.
func TestLongFailureWithoutBodyIsKept(t *testing.T) {
	r := do("HEAD", failThenRefuse(t, 1<<20).url("/get"), "", "X-Id", "1")
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusInternalServerError, qt.Commentf("%+v", r))
	qt.Assert(t, r.run, qt.Equals, "")
}

// endlessNode returns the script of a node that sends an endless response to one operation.
func endlessNode(e *endlessSender, operation string) script {
	return func(o string, w net.Conn) bool {
		if o == operation {
			e.send(w, "")
		}
		return false
	}
}

// nodeRefusal returns the head of a node's refusal, without its framing.
func nodeRefusal(status, run string) string {
	return "HTTP/1.1 " + status + " X\r\nTamarackpitch-Refusal: r\r\nTamarackpitch-Run: " + run + "\r\n"
}

// TestEndlessRefusalOfNode sends an endless refusal of a call, by another node: its body has no meaning, so that the call
// goes on as the head says.
func TestEndlessRefusalOfNode(t *testing.T) {
	tests := []struct{ name, head, method, path, want string }{
		{"not run", nodeRefusal("503", "no"), "POST", "/post", "fallback"},
		{"unknown, idempotent", nodeRefusal("502", "unknown"), "GET", "/get", "fallback"},
	}
	for _, test := range tests {
		for framingName, framing := range framings {
			t.Run(test.name+", "+framingName, func(t *testing.T) {
				e := endlessBody(test.head, framing)
				entry, _, u := withPeer(t, endlessNode(e, "call"))
				r := do(test.method, entry.url(test.path), "pay")
				e.assertCutOff(t)
				qt.Assert(t, r.body, qt.Equals, test.want, qt.Commentf("%+v", r))
				qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
			})
		}
	}
}

// TestEndlessResponseToClaim sends an endless refusal in response to the claim of a lost call.
func TestEndlessResponseToClaim(t *testing.T) {
	tests := []struct {
		name, head, wantRun string
		wantRuns            int64
	}{
		{"fenced", nodeRefusal("409", "no"), "", 1},
		{"unknown", nodeRefusal("502", "unknown"), "unknown", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := endlessBody(test.head, chunked)
			entry, _, u := withPeer(t, endlessNode(e, "claim"))
			r := do("POST", entry.url("/post"), "pay")
			e.assertCutOff(t)
			qt.Assert(t, r.run, qt.Equals, test.wantRun, qt.Commentf("%+v", r))
			qt.Assert(t, u.runs.Load(), qt.Equals, test.wantRuns)
		})
	}
}

// TestEndlessResponseToReservation sends an endless refusal in response to the reservation of a key that is taken: the
// call must not run.
func TestEndlessResponseToReservation(t *testing.T) {
	e := endlessBody(nodeRefusal("409", "unknown"), chunked)
	owner := newNode(t, "owner")
	p := newScriptedPeer(t, endlessNode(e, "reserve"))
	u := newUpstream(t, respondWith("paid"))
	peer := endpoint("peer", "v1", p.address)
	endpoints := []*balancer.Endpoint{owner.endpoint("v1"), peer}
	owner.publish(snapshotConfig{endpoints: endpoints, local: u.local("v1")})
	// The key decides which node owns it, so some keys are asked for at the owner's node first.
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"} {
		r := do("POST", owner.url("/post"), "pay", "Idempotency-Key", key)
		if e.written.Load() > 0 {
			qt.Assert(t, r.refusal, qt.Equals, "key-taken", qt.Commentf("%+v", r))
			qt.Assert(t, r.run, qt.Equals, "unknown")
			break
		}
	}
	e.assertCutOff(t)
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
}
