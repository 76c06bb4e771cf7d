package forwarder

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

// maxSavedBodyBytes limits the body of a saved response.
const maxSavedBodyBytes = 64 << 10

// savedResponse is a response saved in a dedup table, so that repeated requests and claims get the same response.
type savedResponse struct {
	message *message
	body    []byte
	// bodyOmitted is set if the body exceeded maxSavedBodyBytes and was not saved.
	bodyOmitted bool
}

// writeHead sends a response head to the caller, and starts saving the response if a non-idempotent call is in a dedup
// table. fromPeer is set if the head comes from a node, this one included: only then are headerRun and headerRefusal
// sent.
func (x *exchange) writeHead(m *message, fromPeer bool) {
	x.forwarder.common.Checker.Assert(!x.headSent && !x.ended, checker.SingleResponse, "second response to call %x", x.id)
	x.headSent = true
	x.lastByteAt = time.Now()
	if !x.idempotent && (x.entry != nil || x.keyEntry != nil) {
		x.saved = &savedResponse{message: headToSave(m, fromPeer)}
	}
	if x.caller == nil {
		return
	}
	var b bytes.Buffer
	b.Grow(512)
	writeStatus(&b, m.status, m.reason)
	writeFields(&b, m.forwarded())
	if fromPeer {
		copyField(&b, m, headerRun)
		copyField(&b, m, headerRefusal)
	}
	x.writeFraming(&b, m)
	x.write(b.Bytes())
	x.paced = x.forwarder.link.BytesPerSecond > 0 && x.expectedBytes(m) >= longResponseBytes
}

// headToSave returns the head to save. Of an upstream's head, the header fields of this system and the hop-by-hop ones
// are left out.
func headToSave(m *message, fromPeer bool) *message {
	if fromPeer {
		return m
	}
	saved := *m
	saved.header = m.forwarded()
	return &saved
}

func copyField(b *bytes.Buffer, m *message, key string) {
	if v := m.get(key); v != "" {
		writeField(b, key, v)
	}
}

// writeFraming ends a head with the header fields that apply to the caller's connection.
func (x *exchange) writeFraming(b *bytes.Buffer, m *message) {
	length := m.length
	noBody := parser.Bodyless(m.status) || x.request.message.method == http.MethodHead
	x.chunkedResponse = length < 0 && !noBody
	if x.chunkedResponse && x.request.message.proto == "HTTP/1.0" {
		x.chunkedResponse = false
		x.closeAfter = true
		x.caller.conn.setResetOnClose(true)
	}
	writeLength(b, length, x.chunkedResponse)
	x.closeAfter = x.closeAfter || x.forwarder.draining && x.isLast()
	if x.closeAfter {
		writeField(b, headerConnection, "close")
	} else if x.request.message.proto == "HTTP/1.0" {
		writeField(b, headerConnection, "keep-alive")
	}
	if x.caller.fromPeer {
		if x.forwarder.starved(time.Now()) {
			writeField(b, headerStarved, "1")
		}
		writeField(b, headerLoad, x.forwarder.loadReport(x.route).String())
		x.writeLocalCondition(b, time.Now())
	}
	b.WriteString("\r\n")
}

func writeStatus(b *bytes.Buffer, status int, reason string) {
	if reason == "" {
		reason = http.StatusText(status)
	}
	if reason == "" {
		reason = "Status"
	}
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + reason + "\r\n")
}

// writeBody sends a piece of the response body. It reports whether the source should pause.
func (x *exchange) writeBody(data []byte) (full bool) {
	if r := x.saved; r != nil && !r.bodyOmitted {
		r.body = append(r.body, data...)
		if len(r.body) > maxSavedBodyBytes {
			r.body = nil
			r.bodyOmitted = true
		}
	}
	if x.caller == nil || x.request.message.method == http.MethodHead {
		return false
	}
	if !x.chunkedResponse {
		x.write(data)
		return x.caller != nil && x.outputFull()
	}
	var b bytes.Buffer
	b.Grow(len(data) + 16)
	writeChunk(&b, data)
	x.write(b.Bytes())
	return x.caller != nil && x.outputFull()
}

// writeEnd completes the response and the call. The outcome is that of exchange.end.
func (x *exchange) writeEnd(outcome string) {
	if x.buffered != nil {
		x.sendBuffered()
	}
	if x.chunkedResponse && x.caller != nil {
		x.write([]byte(lastChunk))
	}
	x.end(x.saved, outcome)
}

// refuse responds in place of the upstream, unless a response has begun. run is the value of headerRun. If the request
// may have run and an upstream's failure response is kept as fallback, that is sent instead.
func (x *exchange) refuse(status int, reason, run string) {
	if x.ended || x.headSent {
		return
	}
	x.cancelAttempts()
	x.buffered = nil
	if run == runUnknown && x.fallback != nil {
		x.sendFallback()
		return
	}
	f := x.forwarder
	if run == runNo {
		f.common.Checker.Assert(x.runs == 0 || x.idempotent, checker.NotRunAccurate,
			"call %x refused as not executed, but %d attempts may have been", x.id, x.runs)
		if x.runs > 0 {
			run = runUnknown
		}
	}
	if run == runNo {
		x.returnToken()
	}
	f.stats.recordRefusal(reason)
	switch {
	case x.operation != "" || status == http.StatusNotFound || status == http.StatusTooManyRequests:
	case status == http.StatusUnauthorized:
		x.logUnknownKey()
	default:
		x.recordStarved()
		x.logCall(f.callLog.failures, "call refused", "status", status, "reason", reason, "run", run)
	}
	text := reason + "\n"
	m := &message{status: status, length: int64(len(text)), header: []parser.Field{
		{Key: "Content-Type", Value: "text/plain"},
		{Key: headerRun, Value: run},
		{Key: headerRefusal, Value: reason},
	}}
	if retryAfter, ok := x.retryAfter(status); ok {
		m.header = append(m.header, parser.Field{Key: headerRetryAfter, Value: retryAfter})
	}
	x.writeHead(m, true)
	x.saved = nil
	x.writeBody([]byte(text))
	x.writeEnd(run)
}

// replay sends a saved response.
func (x *exchange) replay(r *savedResponse) {
	m := *r.message
	m.length = int64(len(r.body))
	m.chunked = false
	x.writeHead(&m, true)
	x.saved = nil
	x.writeBody(r.body)
	x.writeEnd("")
}

// responseDrained resumes reading the response after its output has drained.
func (x *exchange) responseDrained() {
	if a := x.attempt; a != nil && a.conn != nil {
		a.conn.conn.resume()
	}
}
