package forwarder

import (
	"net"
	"slices"
	"time"

	"github.com/lesismal/nbio"
)

const (
	dialTimeout = time.Second
	// maxIdlePerPool limits the idle connections to one address.
	maxIdlePerPool = 64
)

// pool holds the connections to one address. Forwarder.mu guards it.
type pool struct {
	forwarder *Forwarder
	address   string
	// limit is the maximum of total. Attempts that ask for a new connection may exceed it.
	limit int
	// reuseDelay is how long a connection is not reused after a response, so that an unrequested second response is
	// noticed.
	reuseDelay time.Duration
	// idle holds the idle connections, the most recently used last.
	idle []*clientConn
	// total counts the connections, including those being dialled.
	total int
	// waiting holds the attempts that wait for a connection because total has reached limit, oldest first.
	waiting []*attempt
}

// pool returns the pool of an address, with the given connection limit. It creates the pool if there is none.
func (f *Forwarder) pool(address string, limit int) *pool {
	p, ok := f.pools[address]
	if !ok {
		p = &pool{forwarder: f, address: address}
		f.pools[address] = p
	}
	p.limit = limit
	return p
}

func (p *pool) unused() bool { return p.total == 0 && len(p.waiting) == 0 }

// assign gives the attempt a connection: an idle one, a new one, or the first to become idle.
func (p *pool) assign(a *attempt) {
	a.pool = p
	if c := p.takeIdle(a.fresh); c != nil {
		c.reused = true
		a.onConnected(c)
		return
	}
	if p.total < p.limit || a.fresh {
		p.dial(a)
		return
	}
	p.waiting = append(p.waiting, a)
}

// takeIdle returns the most recently used idle connection whose reuse delay has passed, or nil. If the pool is at its
// limit, the one idle for longest is taken even if its delay has not passed. Connections that have received input while
// idle, or that have been idle for too long, are closed.
func (p *pool) takeIdle(fresh bool) *clientConn {
	if fresh {
		return nil
	}
	now := time.Now()
	atLimit := p.total >= p.limit
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if now.Sub(c.idleSince) < p.reuseDelay && (!atLimit || i > 0) {
			continue
		}
		if err := c.unusable(now); err != nil {
			c.conn.closeWith(err)
			i = min(i, len(p.idle))
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		return c
	}
	return nil
}

// dialer opens one connection for an attempt on its own goroutine.
type dialer struct {
	pool    *pool
	attempt *attempt
}

func (p *pool) dial(a *attempt) {
	p.total++
	go (&dialer{pool: p, attempt: a}).run()
}

func (d *dialer) run() {
	f := d.pool.forwarder
	c, err := net.DialTimeout("tcp", d.pool.address, dialTimeout)
	if err == nil {
		err = f.poller.Add(c, d.opened)
	}
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d.fail(err)
}

// opened is called by the poller once the connection is registered.
func (d *dialer) opened(c *nbio.Conn, err error) {
	p := d.pool
	p.forwarder.mu.Lock()
	defer p.forwarder.mu.Unlock()
	if err != nil {
		d.fail(err)
		return
	}
	n := &clientConn{forwarder: p.forwarder, pool: p}
	n.conn = newConn(p.forwarder, c, n, true)
	n.conn.local = d.attempt.local()
	if d.attempt.ended {
		p.put(n)
		return
	}
	d.attempt.onConnected(n)
}

func (d *dialer) fail(err error) {
	d.pool.total--
	d.attempt.onDialFailed(err)
	d.pool.dialWaiting()
}

// put takes back a connection whose response has been read completely.
func (p *pool) put(c *clientConn) {
	c.attempt = nil
	c.idleSince = time.Now()
	if c.conn.closed {
		return
	}
	if len(p.waiting) > 0 {
		if err := c.unusable(c.idleSince); err != nil {
			c.conn.closeWith(err)
			return
		}
	}
	for len(p.waiting) > 0 {
		a := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !a.ended {
			c.reused = true
			a.onConnected(c)
			return
		}
	}
	if len(p.idle) >= maxIdlePerPool {
		c.conn.closeWith(nil)
		return
	}
	p.idle = append(p.idle, c)
}

// onConnClosed removes a closed connection, and dials for attempts that wait for its place.
func (p *pool) onConnClosed(c *clientConn) {
	p.total--
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.dialWaiting()
}

// dialWaiting dials for waiting attempts while the limit allows.
func (p *pool) dialWaiting() {
	for len(p.waiting) > 0 && p.total < p.limit {
		a := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !a.ended {
			p.dial(a)
		}
	}
}

// sweep closes connections that have been idle for too long: network devices on the way may have dropped their state, and
// the server is about to close them.
func (p *pool) sweep(now time.Time) {
	for _, c := range slices.Clone(p.idle) {
		if now.Sub(c.idleSince) >= c.maxIdle() {
			c.conn.closeWith(nil)
		}
	}
}
