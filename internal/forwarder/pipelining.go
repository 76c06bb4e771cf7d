package forwarder

// Responses are sent in the order of their requests, as HTTP/1.1 pipelining requires. A call is next when all responses
// before it on the connection have been sent. Idempotent calls may start before they are next; their output is kept
// until then.

// maxAheadBytes bounds the output of calls on one connection that are not next. Above it no call starts ahead.
const maxAheadBytes = 512 << 10

// isNext reports whether the call's response is the next one to be sent on its connection.
func (x *exchange) isNext() bool {
	queue := x.caller.queue
	return len(queue) > 0 && queue[0] == x
}

// isLast reports whether no request has been read on the connection after the call's.
func (x *exchange) isLast() bool {
	queue := x.caller.queue
	return len(queue) > 0 && queue[len(queue)-1] == x
}

// write sends bytes of the response, or keeps them in output until the call is next and, if the response is paced,
// the link has room.
func (x *exchange) write(b []byte) {
	next := x.isNext()
	if next && !x.paced {
		x.caller.conn.write(b)
		return
	}
	x.output = append(x.output, b...)
	if next {
		x.forwarder.egress.add(x)
	}
}

// outputFull reports whether the source of the response should pause.
func (x *exchange) outputFull() bool {
	switch {
	case x.paced:
		return x.forwarder.egress.full(x)
	case x.isNext():
		return x.caller.conn.full()
	}
	return len(x.output) > highWaterBytes
}

// mayStartAhead reports whether a call may start before it is next: an idempotent one whose request has been read
// completely.
func (x *exchange) mayStartAhead() bool {
	f := x.forwarder
	snapshot := f.snapshot.Load()
	m := x.request.message
	if x.caller.fromPeer || f.draining || !snapshot.Ready || !x.request.complete || x.oversized {
		return false
	}
	path, ok := requestPath(m.uri)
	if !ok {
		return false
	}
	route := snapshot.Match(requestHost(m), m.method, path)
	return route != nil && route.Idempotent
}

// startReady starts the first call of the queue if enough of its request has been read, and those behind it that may
// start ahead. Requests behind one whose response closes the connection are not served.
func (s *serverConn) startReady() {
	ahead := 0
	for i, x := range s.queue {
		if !x.started && (i == 0 && x.readyToStart() || i > 0 && ahead <= maxAheadBytes && x.mayStartAhead()) {
			x.start()
		}
		if len(s.queue) <= i || s.queue[i] != x || !x.started || x.closeAfter {
			// The queue has changed meanwhile, or the calls behind this one have to wait.
			return
		}
		ahead += len(x.output)
	}
}

// flushNext is called when a call becomes the first of the queue. It sends the call's output so far, or closes the
// connection if the response can't be completed.
func (s *serverConn) flushNext() {
	if len(s.queue) == 0 {
		return
	}
	x := s.queue[0]
	if x.abortWhenNext {
		s.conn.closeWith(&Error{Operation: "answer", Kind: KindCut, Detail: "response ended before it was complete"})
		return
	}
	if x.paced && len(x.output) > 0 {
		s.forwarder.egress.add(x)
		return
	}
	output := x.output
	x.output = nil
	if len(output) > 0 && !s.conn.write(output) {
		return
	}
	x.outputSent()
}

// endConnection ends the connection once its output has been sent. Calls behind the last response are abandoned.
func (s *serverConn) endConnection() {
	queue := s.queue
	s.queue = nil
	for _, x := range queue {
		x.abandon()
	}
	s.conn.linger()
}

// resume continues reading unless maxPipelined requests are waiting.
func (s *serverConn) resume() {
	if s.reading != nil || len(s.queue) < maxPipelined {
		s.conn.resume()
	}
}
