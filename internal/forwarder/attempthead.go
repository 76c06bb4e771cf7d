package forwarder

import (
	"bytes"
	"strconv"
	"time"
)

// requestHead returns the head of the attempt's request, as sent to the upstream or another node.
func (a *attempt) requestHead() []byte {
	x := a.exchange
	m := x.request.message
	var b bytes.Buffer
	b.Grow(1024 + len(x.request.body))
	if a.kind != kindCall {
		a.writeNodeRequest(&b)
		return b.Bytes()
	}
	b.WriteString(m.method + " " + m.uri + " HTTP/1.1\r\n")
	d := x.forwarder.config.Dialect
	writeFields(&b, m.forwarded(x.droppedHeaders()...))
	if m.length > 0 || m.length < 0 || m.hasLength {
		writeLength(&b, m.length, m.length < 0)
	}
	if d.CallerService != "" {
		writeField(&b, d.CallerService, x.callerService())
	}
	if name := x.customerName(); name != "" {
		writeField(&b, d.Customer, name)
	}
	if a.local() {
		a.writeUpstreamFields(&b, d)
	} else {
		a.writePeerFields(&b)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeUpstreamFields writes the header fields that only the upstream gets.
func (a *attempt) writeUpstreamFields(b *bytes.Buffer, d Dialect) {
	deadline := a.exchange.deadline
	if a.exchange.endsWithNode {
		deadline = deadline.Add(-upstreamMargin)
	}
	left := max(time.Until(deadline).Milliseconds(), 1)
	writeField(b, d.TimeLeft, strconv.FormatInt(left, 10))
	if l := a.exchange.forwarder.local.upstream; d.ExpectInstance != "" && l != nil && l.Instance != "" {
		writeField(b, d.ExpectInstance, l.Instance)
	}
}

// writeCommonFields writes the time left until the deadline, the fields from which the receiver computes the delay in
// transit, and what this node knows about the receiver's upstream.
func (a *attempt) writeCommonFields(b *bytes.Buffer) {
	x := a.exchange
	now := time.Now()
	writeField(b, headerTimeLeft, strconv.FormatInt(max(x.deadline.Sub(now).Milliseconds(), 0), 10))
	writeField(b, headerSentAt, strconv.FormatInt(now.Sub(processStart).Milliseconds(), 10))
	writeField(b, headerSender, x.forwarder.sender)
	x.forwarder.writePeerCondition(b, a.endpoint.Node)
}

// writePeerFields writes the header fields that another node needs to serve the call.
func (a *attempt) writePeerFields(b *bytes.Buffer) {
	x := a.exchange
	a.writeCommonFields(b)
	writeField(b, headerOperation, a.operation)
	writeField(b, headerID, strconv.FormatUint(a.id, 16))
	writeField(b, headerRoute, x.route.Name)
	writeField(b, headerService, x.service)
	writeField(b, headerVersion, a.endpoint.Version)
	writeField(b, headerFingerprint, strconv.FormatUint(x.fingerprint, 16))
	if !x.mayQueue {
		writeField(b, headerWait, waitNo)
	}
	if !x.targetAt.IsZero() {
		writeField(b, headerAimLeft, strconv.FormatInt(max(time.Until(x.targetAt).Milliseconds(), 0), 10))
	}
}

// writeNodeRequest writes the head of a request that this node makes itself: a claim or a reservation. It has no body.
func (a *attempt) writeNodeRequest(b *bytes.Buffer) {
	x := a.exchange
	b.WriteString("POST /" + a.operation + " HTTP/1.1\r\nHost: " + a.endpoint.Node + "\r\n")
	writeField(b, headerOperation, a.operation)
	writeField(b, headerID, strconv.FormatUint(a.id, 16))
	a.writeCommonFields(b)
	writeField(b, headerService, x.service)
	if a.kind == kindClaim {
		writeField(b, headerProcess, strconv.FormatUint(a.endpoint.Process, 16))
	}
	if a.kind == kindReserve {
		writeField(b, headerIdempotencyKey, x.key)
		if name := x.customerName(); name != "" {
			writeField(b, x.forwarder.config.Dialect.Customer, name)
		}
		writeField(b, headerOwner, x.forwarder.sender)
	}
	writeLength(b, 0, false)
	b.WriteString("\r\n")
}
