package stutterer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// outerDeadline is the deadline of most requests of callers; the others have one from minInnerDeadline on.
	outerDeadline = 2 * time.Second
	// requestsPerConn is how many requests a caller sends on a connection.
	requestsPerConn = 30
	// leaveChance is the probability that a caller leaves while it waits for an answer, within leaveDelay.
	leaveChance = 0.03
	leaveDelay  = 200 * time.Millisecond
	// shortChance is the probability of a short deadline.
	shortChance = 0.5
	// idleWait is the longest time that a caller leaves its connection idle.
	idleWait = 20 * time.Millisecond
	// redialPause is the time after a connection that could not be established.
	redialPause = 50 * time.Millisecond
)

// caller sends requests to the node of a VM, one after the other.
type caller struct {
	vm     *vm
	number int
	// drawer draws the requests.
	drawer *drawer
	sent   int
	stop   chan struct{}
	done   chan struct{}
}

func newCaller(v *vm, number int) *caller {
	seed := v.soak.config.Seed
	return &caller{vm: v, number: number, drawer: &drawer{random: rand.New(rand.NewPCG(seed, uint64(number)<<32))},
		stop: v.soak.stop, done: make(chan struct{})}
}

// loop sends requests until the soak stops.
func (c *caller) loop() {
	defer close(c.done)
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		conn, err := dial(c.vm.outbound)
		if err != nil {
			time.Sleep(redialPause)
			continue
		}
		for i := 0; i < requestsPerConn && !conn.ended; i++ {
			c.call(conn)
			if !conn.ended {
				c.vm.soak.ledger.checkIdle(conn, c.drawer.upTo(idleWait))
			}
		}
		conn.close()
	}
}

// call sends a request on a connection.
func (c *caller) call(conn *callerConn) {
	d, l := c.drawer, c.vm.soak.ledger
	c.sent++
	id := fmt.Sprintf("%04x%012x", c.number, c.sent)
	t := targets[0]
	if d.hit(1 - outerShare) {
		t = targets[1+d.random.IntN(len(targets)-1)]
	}
	deadline := outerDeadline
	if d.hit(shortChance) {
		deadline = minInnerDeadline + d.upTo(maxInnerDeadline-minInnerDeadline)
	}
	h := l.open(id, c.vm.service, t.idempotent, "sent by a caller on VM %d (%s) with %s left", c.vm.number, c.vm.service, deadline)
	conn.last = h
	q := t.request(id, deadline, d)
	if d.hit(leaveChance) {
		leave := time.AfterFunc(d.upTo(leaveDelay), func() { _ = conn.conn.Close() })
		defer leave.Stop()
	}
	l.close(h, conn.call(q))
}
