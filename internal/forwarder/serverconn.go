package forwarder

import (
	"bytes"
	"errors"
	"time"
)

const (
	// maxPipelined is the number of unanswered requests at which reading from a connection pauses.
	maxPipelined = 8
	// maxDiscardBytes limits the rest of a request body that is read and discarded once the request has been answered.
	maxDiscardBytes = 16 << 20
)

// serverConn is an accepted connection, from a caller or another node. Responses are sent in the order of the requests;
// requests that may start before they are next run concurrently.
type serverConn struct {
	forwarder *Forwarder
	conn      *conn
	// fromPeer is set if the peer is a node, whose internal headers are trusted.
	fromPeer bool
	openedAt time.Time
	// usedAt is when a part of a request was last read, or a call finished; zero before the first request.
	usedAt time.Time
	// queue holds the calls whose request is not completely read or not answered, in the order of arrival.
	queue []*exchange
	// reading is the exchange whose request is being read, or nil.
	reading *exchange
	// discarded counts the discarded bytes of the request body being read.
	discarded int64
}

func (s *serverConn) isHead() bool { return false }

func (s *serverConn) expects() bool { return true }

func (s *serverConn) onHead(m *message) error {
	if !s.fromPeer && m.fieldBytes > s.forwarder.callerLimits().headerBytes {
		return &Error{Operation: "read", Kind: KindTooLarge, Detail: "header"}
	}
	x := newExchange(s, m)
	s.usedAt = time.Now()
	s.conn.headSince = time.Time{}
	s.reading = x
	s.discarded = 0
	if s.conn.closed || s.conn.discarding {
		// The last response has been decided on in the middle of the input that is being parsed.
		x.ended = true
		return nil
	}
	s.queue = append(s.queue, x)
	x.countBody(max(m.length, 0))
	if m.get(headerExpect) != "" && !x.oversized && x.isNext() {
		s.conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if len(s.queue) >= maxPipelined {
		s.conn.pause()
	}
	return nil
}

func (s *serverConn) onBody(data []byte) error {
	x := s.reading
	s.usedAt = time.Now()
	if x.request.message.length < 0 {
		x.countBody(int64(len(data)))
	}
	if x.ended || x.oversized {
		s.discarded += int64(len(data))
		if s.discarded > maxDiscardBytes {
			return &Error{Operation: "read", Kind: KindTooLarge, Detail: "request body after an early response"}
		}
		return nil
	}
	x.receiveBody(data)
	return nil
}

func (s *serverConn) onEnd(bool) error {
	x := s.reading
	s.reading = nil
	x.request.complete = true
	if x.ended {
		s.finish(x)
		return nil
	}
	x.receiveEnd()
	return nil
}

// finish removes a request from the queue and moves on to the next one, if the request is the first, its body has been
// read and its response has been sent.
func (s *serverConn) finish(x *exchange) {
	if len(s.queue) == 0 || s.queue[0] != x || !x.request.complete || len(x.output) > 0 {
		return
	}
	s.queue = s.queue[1:]
	s.usedAt = time.Now()
	if x.closeAfter {
		s.endConnection()
		return
	}
	s.resume()
	s.flushNext()
	s.startReady()
}

// onClose counts a malformed request that has closed the connection, and abandons the unfinished calls.
func (s *serverConn) onClose(err error) {
	delete(s.forwarder.serverConns, s)
	s.countMalformed(err)
	queue := s.queue
	s.queue = nil
	for _, x := range queue {
		x.abandon()
	}
}

// countMalformed counts a connection that ends because of a malformed request, if that is what the error says.
func (s *serverConn) countMalformed(err error) {
	var typed *Error
	if errors.As(err, &typed) && (typed.Kind == KindMalformed || typed.Kind == KindTooLarge) {
		s.forwarder.stats.Malformed.Add(1)
		s.forwarder.common.Logger.Debug("malformed request refused", "reason", err)
	}
}

func (s *serverConn) onDrained() {
	if len(s.queue) > 0 {
		s.queue[0].responseDrained()
	}
}

// onMalformed handles a request that can't be parsed. If calls before it are unfinished, the connection ends after their
// responses. Else the request is refused, unless its response has begun.
func (s *serverConn) onMalformed(err error) bool {
	if s.conn.discarding || s.endAfterEarlier(err) {
		return true
	}
	if len(s.queue) == 0 || !s.queue[0].headSent {
		s.refuseMalformed(err)
	}
	return false
}

// endAfterEarlier drops the request being read, and has the connection end after the calls before it. It reports false if
// there are none.
func (s *serverConn) endAfterEarlier(err error) bool {
	earlier := s.queue
	if s.reading != nil {
		earlier = earlier[:len(earlier)-1]
	}
	if len(earlier) == 0 {
		return false
	}
	s.countMalformed(err)
	if s.reading != nil {
		s.reading.abandon()
		s.reading = nil
	}
	s.queue = earlier
	earlier[len(earlier)-1].closeAfter = true
	s.conn.discardInput()
	return true
}

// refuseMalformed responds to a request that can't be parsed.
func (s *serverConn) refuseMalformed(err error) {
	status := statusLineFor(KindMalformed)
	var typed *Error
	if errors.As(err, &typed) {
		status = statusLineFor(typed.Kind)
	}
	var b bytes.Buffer
	text := err.Error() + "\n"
	b.WriteString("HTTP/1.1 " + status + "\r\n")
	writeField(&b, headerRun, runNo)
	writeField(&b, headerRefusal, "malformed")
	writeField(&b, "Content-Type", "text/plain")
	writeField(&b, headerConnection, "close")
	writeLength(&b, int64(len(text)), false)
	b.WriteString("\r\n" + text)
	s.conn.write(b.Bytes())
}

// disconnected reports whether the caller's connection has been closed: an exchange's caller is nil from then on.
func (s *serverConn) disconnected() bool { return s == nil }

// idle reports whether no call is unfinished and no head is being read.
func (s *serverConn) idle() bool { return len(s.queue) == 0 && s.conn.reader.message == nil }

func (s *serverConn) lastUse() time.Time {
	if s.usedAt.IsZero() {
		return s.openedAt
	}
	return s.usedAt
}

// statusLineFor returns the status code and reason phrase of the response to a request that can't be read.
func statusLineFor(k Kind) string {
	switch k {
	case KindTooLarge:
		return "431 Request Header Fields Too Large"
	case KindTimeout:
		return "408 Request Timeout"
	}
	return "400 Bad Request"
}

// sweep closes a connection that has been idle for too long or whose next request head is overdue.
func (s *serverConn) sweep(now time.Time) {
	limits := s.forwarder.callerLimits()
	unused := now.Sub(s.lastUse())
	switch {
	case len(s.queue) > 0 || s.conn.lingering:
	case s.idle() && unused > limits.idleTimeout && !s.conn.hasInput():
		s.conn.closeWith(nil)
	case !s.conn.headSince.IsZero() && now.Sub(s.conn.headSince) > limits.headerTimeout && !s.conn.hasInput():
		err := &Error{Operation: "read", Kind: KindTimeout, Detail: "request header"}
		s.refuseMalformed(err)
		s.conn.closeWith(err)
	}
}
