package forwarder

import (
	"bytes"
	"slices"
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
	// headerTimeLeft is the time left for the call, in milliseconds.
	headerTimeLeft = "Tamarackpitch-Time-Left"
	// headerProcess is the identity of the process that a claim is meant for.
	headerProcess = "Tamarackpitch-Process"
	// headerSentAt is the sender's steady time at which the call was sent, in milliseconds, and
	// headerSender the sender's name and incarnation. Together they show how long a call was held up on its way.
	headerSentAt      = "Tamarackpitch-Sent-At"
	headerSender      = "Tamarackpitch-Sender"
	headerRoute       = "Tamarackpitch-Route"
	headerService     = "Tamarackpitch-Service"
	headerVersion     = "Tamarackpitch-Version"
	headerFingerprint = "Tamarackpitch-Fingerprint"
	// headerOwner names the node that owns an idempotency key.
	headerOwner = "Tamarackpitch-Owner"
	// headerLoad is a node's hint: the calls that run or wait beside its upstream, and the mean time of one in ms.
	headerLoad = "Tamarackpitch-Load"
	// headerWait tells a node that the call may not wait for a slot, with the value waitNo.
	headerWait = "Tamarackpitch-Wait"
	// headerAimLeft is the time left until an answer is late, in milliseconds. It is absent where it is late already.
	headerAimLeft = "Tamarackpitch-Aim-Left"

	headerPrefix         = "Tamarackpitch-"
	headerIdempotencyKey = "Idempotency-Key"
	headerConnection     = "Connection"
	headerContentLength  = "Content-Length"
	headerTransfer       = "Transfer-Encoding"
	headerExpect         = "Expect"
	headerHost           = "Host"
	headerRetryAfter     = "Retry-After"
	headerUpgrade        = "Upgrade"
)

// Values of headerRun.
const (
	runNo      = "no"
	runUnknown = "unknown"
)

// headerStarved tells, with an upstream's failure, that calls which it depends on were turned away lately,
// so that another upstream would fail as well.
const headerStarved = "Tamarackpitch-Starved"

const waitNo = "no"

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
	// headBytes counts the bytes of the header lines.
	headBytes int
}

func (m *message) get(key string) string {
	for _, f := range m.header {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// count returns the number of header lines with a key.
func (m *message) count(key string) int {
	n := 0
	for _, f := range m.header {
		if f.key == key {
			n++
		}
	}
	return n
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
// without this system's own, and without the ones named.
func (m *message) forwarded(without ...string) []field {
	named := strings.ToLower(m.get(headerConnection))
	kept := make([]field, 0, len(m.header))
	for _, f := range m.header {
		if isHopByHop(f.key) || strings.HasPrefix(f.key, headerPrefix) || slices.Contains(without, f.key) {
			continue
		}
		if named != "" && namesHeader(named, f.key) {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

// namesHeader tells whether a Connection header names another header.
func namesHeader(connection, key string) bool {
	for _, name := range strings.Split(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(name), key) {
			return true
		}
	}
	return false
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
