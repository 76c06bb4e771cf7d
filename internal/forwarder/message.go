package forwarder

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

// Headers of messages between nodes, and of responses to callers.
const (
	// headerRun states in a refusal whether the request may have run: runNo or runUnknown.
	headerRun = "Tamarackpitch-Run"
	// headerRefusal is the reason for a refusal.
	headerRefusal = "Tamarackpitch-Refusal"
	// headerOperation is the operation that a node requests of another node: one of the operation constants.
	headerOperation = "Tamarackpitch-Operation"
	// headerID identifies one attempt of a call. A claim carries the ID of the attempt that it asks about.
	headerID = "Tamarackpitch-Id"
	// headerTimeLeft is the time until the call's deadline, in milliseconds.
	headerTimeLeft = "Tamarackpitch-Time-Left"
	// headerProcess identifies the process that a claim is addressed to, so that a restarted node recognises claims
	// about calls of its predecessor.
	headerProcess = "Tamarackpitch-Process"
	// headerSentAt is when the call was sent, in milliseconds of the sender's monotonic clock, and headerSender the
	// sender's name and incarnation. The receiver computes from them how long the call was delayed in transit.
	headerSentAt      = "Tamarackpitch-Sent-At"
	headerSender      = "Tamarackpitch-Sender"
	headerRoute       = "Tamarackpitch-Route"
	headerService     = "Tamarackpitch-Service"
	headerVersion     = "Tamarackpitch-Version"
	headerFingerprint = "Tamarackpitch-Fingerprint"
	// headerOwner identifies the process that owns an idempotency key, as headerSender does. A restarted node does not own the
	// keys of its predecessor, since it does not know whether they have run.
	headerOwner = "Tamarackpitch-Owner"
	// headerLoad holds a loadReport of the responding node.
	headerLoad = "Tamarackpitch-Load"
	// headerWait has the value waitNo if the call may not wait for a slot.
	headerWait = "Tamarackpitch-Wait"
	// headerAimLeft is the time until the route's latency target, in milliseconds, or 0 if the target has passed. It is
	// absent if the route has none.
	headerAimLeft = "Tamarackpitch-Aim-Left"

	// headerUpstream identifies the incarnation of the upstream beside a node that a condition applies to: in a request
	// the condition that the sending node remembers, in a response the one that the responding node knows.
	headerUpstream = "Tamarackpitch-Upstream"
	// headerRateLimit is the upstream's rate limit, in calls per second. It is absent if the upstream states none.
	headerRateLimit = "Tamarackpitch-Rate-Limit"
	// headerRateDelay is how long the rate limit keeps a further call waiting, in milliseconds. It is negative by the
	// accumulated calls that may be sent at once.
	headerRateDelay = "Tamarackpitch-Rate-Delay"
	// headerDraining has the value valueDraining if the upstream is draining.
	headerDraining = "Tamarackpitch-Draining"

	// headerKey and headerCustomer are Dialect.Key and Dialect.Customer of the own interface.
	headerKey      = "Tamarackpitch-Key"
	headerCustomer = "Tamarackpitch-Customer"

	headerPrefix           = "Tamarackpitch-"
	headerIdempotencyKey   = "Idempotency-Key"
	headerConnection       = "Connection"
	headerContentLength    = "Content-Length"
	headerTransferEncoding = "Transfer-Encoding"
	headerExpect           = "Expect"
	headerHost             = "Host"
	headerKeepAlive        = "Keep-Alive"
	headerRetryAfter       = "Retry-After"
	headerUpgrade          = "Upgrade"
)

// Values of headerRun.
const (
	runNo      = "no"
	runUnknown = "unknown"
)

// headerStarved is set on a response if the node has recently refused calls that its upstream may depend on. A failure
// of the upstream is then not retried, since another upstream would fail as well.
const headerStarved = "Tamarackpitch-Starved"

// waitNo is the only value of headerWait.
const waitNo = "no"

// valueDraining is the only value of headerDraining.
const valueDraining = "1"

// message is the head of a request or a response.
type message struct {
	method string
	uri    string
	proto  string
	status int
	reason string
	header []parser.Field
	// length is the body's length in bytes, or -1 if the head does not state it.
	length  int64
	chunked bool
	// hasLength is set if there is a Content-Length field.
	hasLength bool
	// receivedBytes counts the bytes received while the head was incomplete.
	receivedBytes int
	// fieldBytes is the total length of the header fields' keys and values.
	fieldBytes int
}

// get returns the value of the first header field with a key, or an empty string. Keys are compared in canonical form.
func (m *message) get(key string) string {
	for _, f := range m.header {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// count returns the number of header fields with a key.
func (m *message) count(key string) int {
	n := 0
	for _, f := range m.header {
		if f.Key == key {
			n++
		}
	}
	return n
}

// keepAlive reports whether the sender keeps the connection open after this message.
func (m *message) keepAlive() bool {
	connection := strings.ToLower(m.get(headerConnection))
	if m.proto == "HTTP/1.0" {
		return strings.Contains(connection, "keep-alive")
	}
	return !strings.Contains(connection, "close")
}

// keepAliveTimeout returns how long the sender keeps the connection open while it is idle, as its Keep-Alive field
// states, or 0 if it does not.
func (m *message) keepAliveTimeout() time.Duration {
	for _, parameter := range strings.Split(m.get(headerKeepAlive), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.ParseUint(value, 10, 31); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// isHopByHop reports whether a header field applies to one connection only. Content-Length counts as one, since each
// hop writes its own framing.
func isHopByHop(key string) bool {
	switch key {
	case headerConnection, headerKeepAlive, "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
		"Trailer", headerTransferEncoding, headerUpgrade, headerExpect, headerContentLength:
		return true
	}
	return false
}

// forwarded returns the header fields to forward to the next hop. It leaves out hop-by-hop fields, this system's own
// and the given ones.
func (m *message) forwarded(without ...string) []parser.Field {
	connectionOptions := strings.ToLower(m.get(headerConnection))
	kept := make([]parser.Field, 0, len(m.header))
	for _, f := range m.header {
		if isHopByHop(f.Key) || strings.HasPrefix(f.Key, headerPrefix) || slices.Contains(without, f.Key) {
			continue
		}
		if connectionOptions != "" && hasConnectionOption(connectionOptions, f.Key) {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

// hasConnectionOption reports whether the value of a Connection field lists a header field.
func hasConnectionOption(options, key string) bool {
	for _, name := range strings.Split(options, ",") {
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

func writeFields(b *bytes.Buffer, fields []parser.Field) {
	for _, f := range fields {
		writeField(b, f.Key, f.Value)
	}
}

// writeLength writes the header field that frames a body. It writes none if the length is negative and the body is not
// chunked.
func writeLength(b *bytes.Buffer, length int64, chunked bool) {
	switch {
	case chunked:
		writeField(b, headerTransferEncoding, "chunked")
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
