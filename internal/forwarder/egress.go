package forwarder

import (
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
)

const (
	// egressAhead is how much of long answers is handed to the link ahead of time: the longest that a short answer
	// waits behind them.
	maxEgressBacklog = 30 * time.Millisecond
	// egressPiece is how much of a long answer is handed to the link at a time.
	egressWriteBytes = 16 << 10
	// maxEgressAnswer bounds what waits of one answer before its upstream is held back, and maxEgressBytes what
	// waits of all before that bound is highWater.
	maxEgressCallBytes  = 1 << 20
	maxEgressTotalBytes = 16 << 20
)

// egress sends long answers piece by piece as the VM's network link takes them. It answers long answers on a thin link:
// they wait in memory, where short answers pass them, instead of on the link, and hold no slot meanwhile.
type egress struct {
	forwarder *Forwarder
	link      *admitter.Link
	// waiting holds calls with output to send, each once, that with the earliest deadline first.
	waiting []*exchange
	// bytes is the output of all that wait.
	bytes int
	timer *time.Timer
	// pumping tells that pump runs, so that it is not entered again.
	pumping bool
}

// add takes in the output of a call whose turn it is.
func (e *egress) add(x *exchange) {
	grown := len(x.output) - x.egressBytes
	x.egressBytes = len(x.output)
	e.bytes += grown
	e.link.Promise(float64(grown))
	if !x.inEgress {
		x.inEgress = true
		at, _ := slices.BinarySearchFunc(e.waiting, x, func(a, b *exchange) int {
			if a.deadline.After(b.deadline) {
				return 1
			}
			return -1
		})
		e.waiting = slices.Insert(e.waiting, at, x)
	}
	e.pump(time.Now())
}

// pump sends what the link takes now, and comes back when it takes more.
func (e *egress) pump(now time.Time) {
	if e.pumping {
		return
	}
	e.pumping = true
	defer func() { e.pumping = false }()
	for len(e.waiting) > 0 {
		x := e.waiting[0]
		if x.caller.gone() || len(x.output) == 0 {
			e.removeFirst(x)
			continue
		}
		if ahead := e.link.Ahead(now); ahead > maxEgressBacklog {
			e.arm(ahead - maxEgressBacklog)
			return
		}
		e.send(x, now)
	}
}

// send hands the next piece of an answer to the link.
func (e *egress) send(x *exchange, now time.Time) {
	n := min(len(x.output), egressWriteBytes)
	piece := x.output[:n]
	x.output = x.output[n:]
	e.deduct(x, n)
	x.lastByte = now
	x.caller.conn.write(piece)
	if x.caller.gone() {
		return
	}
	if len(x.output) == 0 {
		e.removeFirst(x)
		x.outputSent()
	} else if len(x.output) < lowWater {
		x.answerDrained()
	}
}

func (e *egress) deduct(x *exchange, n int) {
	x.egressBytes -= n
	e.bytes -= n
	e.link.Settle(float64(n))
}

// leave takes out the call that is first.
func (e *egress) removeFirst(x *exchange) {
	e.deduct(x, x.egressBytes)
	x.inEgress = false
	e.waiting = slices.Delete(e.waiting, 0, 1)
	if x.caller.gone() {
		x.output = nil
	}
}

func (e *egress) arm(wait time.Duration) {
	wait = max(wait, time.Millisecond)
	if e.timer == nil {
		e.timer = time.AfterFunc(wait, e.onTimer)
		return
	}
	e.timer.Reset(wait)
}

func (e *egress) onTimer() {
	e.forwarder.mu.Lock()
	defer e.forwarder.mu.Unlock()
	e.pump(time.Now())
}

// full tells that the source of an answer should pause.
func (e *egress) full(x *exchange) bool {
	if e.bytes > maxEgressTotalBytes {
		return len(x.output) > highWater
	}
	return len(x.output) > maxEgressCallBytes
}

// outputSent goes on after all that was waiting of an answer has been sent.
func (x *exchange) outputSent() {
	if x.ended {
		x.caller.finish(x)
		return
	}
	x.answerDrained()
}
