package forwarder

import (
	"bytes"
	"errors"
	"time"
)

const (
	// maxPipelined bounds the requests read ahead on one connection.
	maxPipelined = 8
	// maxDiscard bounds the rest of a request body that is read after an early answer.
	maxDiscard = 16 << 20
)

// serverConn is a connection from a caller or from another node. Requests are answered in order; some are begun before
// their turn.
type serverConn struct {
	forwarder *Forwarder
	conn      *conn
	// fromPeer tells that the other side is a node, whose internal headers are trusted.
	fromPeer bool
	openedAt time.Time
	usedAt   time.Time
	// queue holds the requests that are not answered, in the order in which they came.
	queue []*exchange
	// reading is the exchange whose body is being read, or nil.
	reading *exchange
	// discarded counts the bytes of a body whose request has been answered.
	discarded int64
}

func (s *serverConn) isHead() bool { return false }

func (s *serverConn) onHead(m *message) error {
	if !s.fromPeer && m.headBytes > s.forwarder.callerLimits().headBytes {
		return &Error{Operation: "read", Kind: KindTooLarge, Detail: "header"}
	}
	x := newExchange(s, m)
	s.usedAt = time.Now()
	s.queue = append(s.queue, x)
	s.reading = x
	s.discarded = 0
	x.countBody(max(m.length, 0))
	if m.get(headerExpect) != "" && !x.oversized && x.hasTurn() {
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
		if s.discarded > maxDiscard {
			return &Error{Operation: "read", Kind: KindTooLarge, Detail: "body after an early answer"}
		}
		return nil
	}
	x.receiveBody(data)
	return nil
}

func (s *serverConn) onEnd() error {
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

// finish goes on to the next request once an answer has been sent and its request read.
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
	s.giveTurn()
	s.startNext()
}

// onClose tells the calls under way that nobody waits for their answers.
func (s *serverConn) onClose(err error) {
	delete(s.forwarder.callers, s)
	var own *Error
	if errors.As(err, &own) && (own.Kind == KindMalformed || own.Kind == KindTooLarge) {
		s.forwarder.stats.Malformed.Add(1)
		s.forwarder.common.Logger.Debug("request refused", "reason", err)
	}
	queue := s.queue
	s.queue = nil
	for _, x := range queue {
		x.abandon()
	}
}

func (s *serverConn) onDrained() {
	if len(s.queue) > 0 {
		s.queue[0].answerDrained()
	}
}

// onMalformed answers a request that can't be parsed before the connection ends, unless the next answer on
// the connection belongs to another request or has begun.
func (s *serverConn) onMalformed(err error) {
	if len(s.queue) > 0 && (s.queue[0] != s.reading || s.queue[0].headSent) {
		return
	}
	status := refusalStatus(KindMalformed)
	var own *Error
	if errors.As(err, &own) {
		status = refusalStatus(own.Kind)
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

// gone tells whether the caller has left.
func (s *serverConn) gone() bool { return s == nil }

func (s *serverConn) idle() bool { return len(s.queue) == 0 && s.conn.reader.message == nil }

func (s *serverConn) lastUse() time.Time {
	if s.usedAt.IsZero() {
		return s.openedAt
	}
	return s.usedAt
}

// refusalStatus is the status line for a request that can't be read.
func refusalStatus(k Kind) string {
	switch k {
	case KindTooLarge:
		return "431 Request Header Fields Too Large"
	case KindTimeout:
		return "408 Request Timeout"
	}
	return "400 Bad Request"
}

// sweep ends connections that are idle for too long or send a head too slowly.
func (s *serverConn) sweep(now time.Time) {
	limits := s.forwarder.callerLimits()
	unused := now.Sub(s.lastUse())
	switch {
	case len(s.queue) > 0:
	case s.idle() && unused > limits.idleTimeout:
		s.conn.closeWith(nil)
	case !s.idle() && unused > limits.headerTimeout:
		err := &Error{Operation: "read", Kind: KindTimeout, Detail: "request header"}
		s.onMalformed(err)
		s.conn.closeWith(err)
	}
}
