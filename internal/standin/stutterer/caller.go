package stutterer

import (
	"fmt"
	"time"
)

const (
	// requestsPerConn is how many requests a caller sends on a connection.
	requestsPerConn = 30
	// outerChance is the probability of a request to the first target.
	outerChance = 0.6
	// outerDeadline is the deadline of requests; with the probability shortChance they have one of an inner call.
	outerDeadline = 2 * time.Second
	shortChance   = 0.5
	// leaveChance is the probability that a caller leaves within leaveDelay.
	leaveChance = 0.03
	leaveDelay  = 200 * time.Millisecond
	// idleWait is the longest time for which a caller leaves its connection idle.
	idleWait = 20 * time.Millisecond
	// redialPause is the time between two attempts to connect.
	redialPause = 50 * time.Millisecond
)

// caller sends requests to the node of a VM, one after the other.
type caller struct {
	vm     *vm
	number int
	drawer *drawer
	sent   int
	done   chan struct{}
}

func newCaller(v *vm, number int) *caller {
	return &caller{vm: v, number: number, drawer: v.soak.newDrawer(uint64(number) << 32), done: make(chan struct{})}
}

// loop sends requests until the soak stops.
func (c *caller) loop() {
	defer close(c.done)
	for !c.vm.soak.stopped() {
		conn, err := c.vm.dial()
		if err != nil {
			time.Sleep(redialPause)
			continue
		}
		for i := 0; i < requestsPerConn && !conn.ended && !c.vm.soak.stopped(); i++ {
			c.call(conn)
			conn.checkIdle(c.drawer.upTo(idleWait))
		}
		conn.close()
	}
}

// call sends a request on a connection.
func (c *caller) call(conn *callerConn) {
	d := c.drawer
	c.sent++
	id := fmt.Sprintf("%04x%012x", c.number, c.sent)
	t := targets[0]
	if !d.hit(outerChance) {
		t = targets[1+d.random.IntN(len(targets)-1)]
	}
	deadline := outerDeadline
	if d.hit(shortChance) {
		deadline = d.innerDeadline()
	}
	q := t.request(id, deadline, d)
	if d.hit(leaveChance) {
		leave := time.AfterFunc(d.upTo(leaveDelay), func() { _ = conn.conn.Close() })
		defer leave.Stop()
	}
	conn.call(q, "a caller")
}
