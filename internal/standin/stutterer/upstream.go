package stutterer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// slots is how many requests an upstream runs at one time.
	slots = 8
)

// upstream is one incarnation of an upstream. It is safe for concurrent use.
type upstream struct {
	soak     *Soak
	vm       *vm
	id       string
	born     time.Time
	listener net.Listener
	stop     chan struct{}
	// done holds an element for each goroutine that has ended, of run and loop.
	done chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	conns   map[*upstreamConn]bool
	running int
	dialled int
}

// startUpstream starts an incarnation of an upstream.
func startUpstream(v *vm, id string) (*upstream, error) {
	l, err := net.Listen("tcp", v.upstreamAddress)
	if err != nil {
		return nil, err
	}
	u := &upstream{soak: v.soak, vm: v, id: id, born: time.Now(), listener: l, stop: make(chan struct{}), done: make(chan struct{}, 2),
		random: rand.New(rand.NewPCG(v.soak.config.Seed, uint64(v.number))), conns: map[*upstreamConn]bool{}}
	go u.run()
	go u.loop()
	return u, nil
}

// run accepts connections until the upstream stops.
func (u *upstream) run() {
	defer func() { u.done <- struct{}{} }()
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.dialled++
		c := &upstreamConn{upstream: u, conn: conn, name: fmt.Sprintf("%s-%d", u.id, u.dialled),
			idle: minIdle + time.Duration(u.random.Int64N(int64(maxIdle-minIdle)))}
		u.conns[c] = true
		u.mu.Unlock()
		go c.run()
	}
}

// forget closes a connection.
func (u *upstream) forget(c *upstreamConn) {
	_ = c.conn.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}

// enter takes a slot. It reports false if none is free.
func (u *upstream) enter() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= slots {
		return false
	}
	u.running++
	return true
}

func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// loop sends heartbeats to the node until the upstream stops. One that fails is made up for by the next.
func (u *upstream) loop() {
	defer func() { u.done <- struct{}{} }()
	client := http.Client{Timeout: time.Second}
	for sequence := uint64(1); ; sequence++ {
		h := standin.Heartbeat{ID: u.id, Address: u.vm.upstreamAddress, Service: u.vm.service, Version: "v1", Zone: u.vm.zone, Slots: slots,
			Sequence: sequence, Born: u.born}
		if r, err := h.Request(u.vm.heartbeat); err == nil {
			if response, err := client.Do(r); err == nil {
				_ = response.Body.Close()
			}
		}
		select {
		case <-u.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// resetConnections resets all connections. Runs in progress go on.
func (u *upstream) resetConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.reset()
	}
}

// crash ends the upstream. Its runs in progress end unheard.
func (u *upstream) crash() {
	close(u.stop)
	_ = u.listener.Close()
	u.resetConnections()
	<-u.done
	<-u.done
}
