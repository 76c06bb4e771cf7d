package stutterer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slots is how many requests an upstream runs at one time. Further ones wait for queueTime.
	slots     = 8
	queueTime = 100 * time.Millisecond
	// minIdle and maxIdle bound the time after which an upstream closes an idle connection.
	minIdle = 300 * time.Millisecond
	maxIdle = 5 * time.Second
)

// upstream is one incarnation of an upstream. It is safe for concurrent use.
type upstream struct {
	vm       *vm
	id       string
	service  string
	born     time.Time
	listener net.Listener
	slots    chan struct{}
	stop     chan struct{}
	// silent ends the heartbeats.
	silent chan struct{}
	// done gets an element from run and one from loop at their ends.
	done     chan struct{}
	sequence atomic.Uint64

	// mu guards the fields below. runsUntil is until when requests may be run, or zero.
	mu        sync.Mutex
	runsUntil time.Time
	random    *rand.Rand
	conns     map[*upstreamConn]bool
	dialled   int
}

// startUpstream starts an incarnation of the upstream of a VM.
func startUpstream(v *vm, id, service string) (*upstream, error) {
	l, err := net.Listen("tcp", v.upstreamAddress)
	if err != nil {
		return nil, err
	}
	u := &upstream{vm: v, id: id, service: service, born: time.Now(), listener: l, slots: make(chan struct{}, slots), stop: make(chan struct{}),
		silent: make(chan struct{}),
		done:   make(chan struct{}, 2), random: rand.New(rand.NewPCG(v.soak.config.Seed, uint64(v.number))), conns: map[*upstreamConn]bool{}}
	go u.run()
	go u.loop()
	return u, nil
}

// run accepts connections until the upstream ends.
func (u *upstream) run() {
	defer func() { u.done <- struct{}{} }()
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.add(conn).run()
	}
}

func (u *upstream) add(conn net.Conn) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialled++
	idle := minIdle + time.Duration(u.random.Int64N(int64(maxIdle-minIdle)))
	c := &upstreamConn{upstream: u, conn: conn, name: fmt.Sprintf("%s-%d", u.id, u.dialled), idle: idle}
	u.conns[c] = true
	return c
}

// forget closes a connection.
func (u *upstream) forget(c *upstreamConn) {
	_ = c.conn.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}

// enter takes a slot. It reports false if none gets free in time.
func (u *upstream) enter() bool {
	select {
	case u.slots <- struct{}{}:
		return true
	case <-time.After(queueTime):
		return false
	}
}

func (u *upstream) leave() { <-u.slots }

// work runs a request and returns the status of the response.
func (u *upstream) work(r *run, ordinal int, d *drawer, deadline time.Time) int {
	time.Sleep(d.work())
	ok := !d.hit(d.chances.Fail)
	if u.service == targets[0].service && d.hit(d.chances.Inner) {
		for k := range 1 + d.random.IntN(maxInner) {
			t := targets[1+d.random.IntN(len(targets)-1)]
			id := fmt.Sprintf("%s%s%d%d", r.history.id, innerSeparator, ordinal, k)
			left := min(time.Until(deadline), d.innerDeadline())
			ok = left > 0 && u.vm.callInner(t.request(id, left, d), u.id) && ok
		}
	}
	switch {
	case time.Now().After(deadline):
		return http.StatusGatewayTimeout
	case !ok:
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// resetConns resets all connections.
func (u *upstream) resetConns() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.reset()
	}
}

// end ends the upstream, though not the runs in progress.
func (u *upstream) end() {
	close(u.stop)
	_ = u.listener.Close()
	u.resetConns()
	<-u.done
	<-u.done
}
