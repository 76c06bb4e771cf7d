package forwarder

import (
	"bytes"
	"strconv"
	"time"
)

// requestHead returns the head of the request as it goes to the upstream or to another node.
func (a *attempt) requestHead() []byte {
	x := a.exchange
	m := x.request.message
	var b bytes.Buffer
	b.Grow(1024 + len(x.request.body))
	if a.kind != kindCall {
		a.writeQuestion(&b)
		return b.Bytes()
	}
	b.WriteString(m.method + " " + m.uri + " HTTP/1.1\r\n")
	d := x.forwarder.config.Dialect
	writeFields(&b, m.forwarded(d.internal()...))
	if m.length > 0 || m.length < 0 || m.hasLength {
		writeLength(&b, m.length, m.length < 0)
	}
	if d.CallerService != "" {
		writeField(&b, d.CallerService, x.callerService())
	}
	if a.local() {
		a.writeUpstreamFields(&b, d)
	} else {
		a.writeInternal(&b)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeUpstreamFields writes the header lines for the upstream.
func (a *attempt) writeUpstreamFields(b *bytes.Buffer, d Dialect) {
	left := max(time.Until(a.exchange.deadline).Milliseconds(), 1)
	writeField(b, d.TimeLeft, strconv.FormatInt(left, 10))
	if l := a.exchange.forwarder.local.upstream; d.ExpectInstance != "" && l != nil && l.Instance != "" {
		writeField(b, d.ExpectInstance, l.Instance)
	}
}

// writeTime writes how much time is left, and when this was so.
func (a *attempt) writeTime(b *bytes.Buffer) {
	x := a.exchange
	now := time.Now()
	writeField(b, headerTimeLeft, strconv.FormatInt(max(x.deadline.Sub(now).Milliseconds(), 0), 10))
	writeField(b, headerSentAt, strconv.FormatInt(now.Sub(processStart).Milliseconds(), 10))
	writeField(b, headerSender, x.forwarder.sender)
}

// writeInternal writes the header lines that the other node needs.
func (a *attempt) writeInternal(b *bytes.Buffer) {
	x := a.exchange
	a.writeTime(b)
	writeField(b, headerOperation, a.operation)
	writeField(b, headerID, strconv.FormatUint(a.id, 16))
	writeField(b, headerRoute, x.route.Name)
	writeField(b, headerService, x.service)
	writeField(b, headerVersion, a.endpoint.Version)
	writeField(b, headerFingerprint, strconv.FormatUint(x.fingerprint, 16))
	if !x.mayWait {
		writeField(b, headerWait, waitNo)
	}
	if left := time.Until(x.aimAt).Milliseconds(); left > 0 {
		writeField(b, headerAimLeft, strconv.FormatInt(left, 10))
	}
}

// writeQuestion writes a request of the node itself, which has no body.
func (a *attempt) writeQuestion(b *bytes.Buffer) {
	x := a.exchange
	b.WriteString("POST /" + a.operation + " HTTP/1.1\r\nHost: " + a.endpoint.Node + "\r\n")
	writeField(b, headerOperation, a.operation)
	writeField(b, headerID, strconv.FormatUint(a.id, 16))
	a.writeTime(b)
	writeField(b, headerService, x.service)
	if a.kind == kindClaim {
		writeField(b, headerProcess, strconv.FormatUint(a.endpoint.Process, 16))
	}
	if a.kind == kindReserve {
		writeField(b, headerIdempotencyKey, x.key)
		writeField(b, headerOwner, x.view.Node)
	}
	writeLength(b, 0, false)
	b.WriteString("\r\n")
}
