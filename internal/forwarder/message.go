package forwarder

import (
	"bytes"
	"strconv"
	"strings"
)

// Headers between nodes, and towards callers.
const (
	// headerRun tells in a refusal whether the request was run: runNo or runUnknown.
	headerRun = "Tamarackpitch-Run"
	// headerRefusal names the reason of a refusal.
	headerRefusal = "Tamarackpitch-Refusal"
	// headerOperation tells the node beside an upstream what is asked of it.
	headerOperation = "Tamarackpitch-Operation"
	// headerID identifies a call across nodes and attempts.
	headerID = "Tamarackpitch-Id"
	// headerDeadline is the end of the call's time, in Unix milliseconds.
	headerDeadline    = "Tamarackpitch-Deadline"
	headerRoute       = "Tamarackpitch-Route"
	headerService     = "Tamarackpitch-Service"
	headerVersion     = "Tamarackpitch-Version"
	headerFingerprint = "Tamarackpitch-Fingerprint"
	// headerOwner names the node that owns an idempotency key.
	headerOwner = "Tamarackpitch-Owner"
	// headerLoad is a node's hint: the calls that run or wait beside its upstream.
	headerLoad = "Tamarackpitch-Load"

	headerPrefix         = "Tamarackpitch-"
	headerIdempotencyKey = "Idempotency-Key"
	headerConnection     = "Connection"
	headerContentLength  = "Content-Length"
	headerTransfer       = "Transfer-Encoding"
	headerExpect         = "Expect"
	headerUpgrade        = "Upgrade"
)

// Values of headerRun.
const (
	runNo      = "no"
	runUnknown = "unknown"
)

// field is one header line.
type field struct {
	key   string
	value string
}

// message is the head of a request or an answer.
type message struct {
	method string
	uri    string
	proto  string
	status int
	reason string
	header []field
	// length is the body's length, or -1 if it is not known beforehand.
	length  int64
	chunked bool
	// hasLength tells that a Content-Length line was there.
	hasLength bool
	bytes     int
}

func (m *message) get(key string) string {
	for _, f := range m.header {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// keepAlive tells whether the sender leaves the connection open after this message.
func (m *message) keepAlive() bool {
	connection := strings.ToLower(m.get(headerConnection))
	if m.proto == "HTTP/1.0" {
		return strings.Contains(connection, "keep-alive")
	}
	return !strings.Contains(connection, "close")
}

// isHopByHop tells whether a header line concerns one connection only.
func isHopByHop(key string) bool {
	switch key {
	case headerConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
		"Trailer", headerTransfer, headerUpgrade, headerExpect, headerContentLength:
		return true
	}
	return false
}

// forwarded returns the header lines that go on to the next hop: without those of the connection,
// and without this system's own.
func (m *message) forwarded() []field {
	named := strings.ToLower(m.get(headerConnection))
	kept := make([]field, 0, len(m.header))
	for _, f := range m.header {
		if isHopByHop(f.key) || strings.HasPrefix(f.key, headerPrefix) {
			continue
		}
		if named != "" && strings.Contains(named, strings.ToLower(f.key)) {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

func writeField(b *bytes.Buffer, key, value string) {
	b.WriteString(key)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

func writeFields(b *bytes.Buffer, fields []field) {
	for _, f := range fields {
		writeField(b, f.key, f.value)
	}
}

// writeLength writes the framing of a body.
func writeLength(b *bytes.Buffer, length int64, chunked bool) {
	switch {
	case chunked:
		writeField(b, headerTransfer, "chunked")
	case length >= 0:
		writeField(b, headerContentLength, strconv.FormatInt(length, 10))
	}
}

func writeChunk(b *bytes.Buffer, data []byte) {
	b.WriteString(strconv.FormatInt(int64(len(data)), 16))
	b.WriteString("\r\n")
	b.Write(data)
	b.WriteString("\r\n")
}

const lastChunk = "0\r\n\r\n"

// bodyless tells whether an answer never has a body.
func bodyless(status int) bool {
	return status < 200 || status == 204 || status == 304
}
