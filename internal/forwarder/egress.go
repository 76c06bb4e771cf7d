package forwarder

import (
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
)

const (
	// maxEgressBacklog bounds the backlog on the link, as transfer time, above which no more of a long response is
	// sent. It is the longest that a short response waits behind long ones.
	maxEgressBacklog = 30 * time.Millisecond
	// egressWriteBytes bounds how much of a long response is sent at a time.
	egressWriteBytes = 16 << 10
	// maxEgressCallBytes is the output of one call above which its source is paused. Once the output of all calls
	// exceeds maxEgressTotalBytes, that limit is lowered to highWaterBytes.
	maxEgressCallBytes  = 1 << 20
	maxEgressTotalBytes = 16 << 20
)

// egress sends long responses in parts at the rate of the VM's network link. On a slow link they wait in memory, where
// short responses can overtake them, instead of in the link's queue, and they hold no slot at the upstream meanwhile.
// Forwarder.mu guards it.
type egress struct {
	forwarder *Forwarder
	link      *admitter.Link
	// waiting holds the calls with output to send, each once, in the order of their deadlines.
	waiting []*exchange
	// bytes is the output of all waiting calls.
	bytes int
	timer *time.Timer
	// pumping reports whether pump is running, so that it is not re-entered.
	pumping bool
}

// add accounts for new output of a call that is next on its connection, and adds the call to those waiting.
func (e *egress) add(x *exchange) {
	grown := len(x.output) - x.egressBytes
	x.egressBytes = len(x.output)
	e.bytes += grown
	e.link.Reserve(float64(grown))
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

// pump sends output until the link's backlog is full, and sets the timer for when it has drained.
func (e *egress) pump(now time.Time) {
	if e.pumping {
		return
	}
	e.pumping = true
	defer func() { e.pumping = false }()
	for len(e.waiting) > 0 {
		x := e.waiting[0]
		if x.caller.disconnected() || len(x.output) == 0 {
			e.removeFirst(x)
			continue
		}
		if ahead := e.link.BacklogTime(now); ahead > maxEgressBacklog {
			e.arm(ahead - maxEgressBacklog)
			return
		}
		e.send(x, now)
	}
}

// send sends the next part of a call's output.
func (e *egress) send(x *exchange, now time.Time) {
	n := min(len(x.output), egressWriteBytes)
	piece := x.output[:n]
	x.output = x.output[n:]
	e.deduct(x, n)
	x.lastByteAt = now
	x.caller.conn.write(piece)
	if x.caller.disconnected() {
		return
	}
	if len(x.output) == 0 {
		e.removeFirst(x)
		x.outputSent()
	} else if len(x.output) < lowWaterBytes {
		x.responseDrained()
	}
}

// deduct removes bytes of a call's output from the totals.
func (e *egress) deduct(x *exchange, n int) {
	x.egressBytes -= n
	e.bytes -= n
	e.link.Release(float64(n))
}

// removeFirst removes x, which is the first waiting call.
func (e *egress) removeFirst(x *exchange) {
	e.deduct(x, x.egressBytes)
	x.inEgress = false
	e.waiting = slices.Delete(e.waiting, 0, 1)
	if x.caller.disconnected() {
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

// full reports whether the source of a call's response should pause.
func (e *egress) full(x *exchange) bool {
	if e.bytes > maxEgressTotalBytes {
		return len(x.output) > highWaterBytes
	}
	return len(x.output) > maxEgressCallBytes
}

// outputSent is called when all of a call's output has been sent. It finishes the call, or resumes the response's
// source.
func (x *exchange) outputSent() {
	if x.ended {
		x.caller.finish(x)
		return
	}
	x.responseDrained()
}
