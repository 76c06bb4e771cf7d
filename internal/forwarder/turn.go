package forwarder

// maxAheadBytes bounds the answers on one connection that wait for their turn; beyond it no further call is begun
// before its turn.
const maxAheadBytes = 512 << 10

// hasTurn tells whether the call's answer is the next one on its connection. The answers of calls that were begun
// ahead of their turn wait in output.
func (x *exchange) hasTurn() bool {
	queue := x.caller.queue
	return len(queue) > 0 && queue[0] == x
}

// write sends bytes of the answer, or keeps them until the answers before it have been sent or the link takes them.
func (x *exchange) write(b []byte) {
	turn := x.hasTurn()
	if turn && !x.paced {
		x.caller.conn.write(b)
		return
	}
	x.output = append(x.output, b...)
	if turn {
		x.forwarder.egress.add(x)
	}
}

// outputFull tells that the source of the answer should pause.
func (x *exchange) outputFull() bool {
	switch {
	case x.paced:
		return x.forwarder.egress.full(x)
	case x.hasTurn():
		return x.caller.conn.full()
	}
	return len(x.output) > highWater
}

// mayStartAhead tells whether a call may begin before its turn: an idempotent one that has been read whole. What
// stands behind an answer that ends the connection counts as not read and is left alone.
func (x *exchange) mayStartAhead() bool {
	f := x.forwarder
	view := f.view.Load()
	m := x.request.message
	if x.caller.fromPeer || f.draining || !view.Ready || !x.request.complete || x.oversized {
		return false
	}
	path, ok := requestPath(m.uri)
	if !ok {
		return false
	}
	route := view.Match(requestHost(m), m.method, path)
	return route != nil && route.Idempotent
}

// startNext serves the first request of the queue if enough of it has been read, and those behind it that may begin
// ahead of their turn.
func (s *serverConn) startNext() {
	ahead := 0
	for i, x := range s.queue {
		if !x.started && (i == 0 && x.readyToStart() || i > 0 && ahead <= maxAheadBytes && x.mayStartAhead()) {
			x.start()
		}
		if len(s.queue) <= i || s.queue[i] != x || !x.started || x.closeAfter {
			// The queue has moved on meanwhile, or what follows has to wait.
			return
		}
		ahead += len(x.output)
	}
}

// giveTurn sends what is ready of the first answer of the queue.
func (s *serverConn) giveTurn() {
	if len(s.queue) == 0 {
		return
	}
	x := s.queue[0]
	if x.abortAtTurn {
		s.conn.closeWith(&Error{Operation: "answer", Kind: KindCut, Detail: "upstream's answer was cut"})
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

// endConnection closes the connection once its output is sent. Calls behind the last answer count as not read.
func (s *serverConn) endConnection() {
	queue := s.queue
	s.queue = nil
	for _, x := range queue {
		x.abandon()
	}
	s.conn.pause()
	s.conn.closeWhenSent()
}

// resume goes on reading unless enough requests wait already.
func (s *serverConn) resume() {
	if s.reading != nil || len(s.queue) < maxPipelined {
		s.conn.resume()
	}
}
