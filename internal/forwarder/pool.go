package forwarder

import (
	"net"
	"slices"
	"time"

	"github.com/lesismal/nbio"
)

const (
	dialTimeout = time.Second
	// maxIdle bounds the idle connections kept to one address.
	maxIdle = 64
)

// pool holds the connections to one address.
type pool struct {
	forwarder *Forwarder
	address   string
	// limit bounds the connections, those being dialled included.
	limit int
	// rest is the time a connection stays unused after an answer, in case a second one follows.
	rest time.Duration
	// idle connections, the most recently used last.
	idle  []*clientConn
	total int
	// waiting attempts, oldest first, while total is at the limit.
	waiting []*attempt
}

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

// serve gives the attempt a connection: an idle one, a new one, or the first to become free.
func (p *pool) serve(a *attempt) {
	a.pool = p
	if c := p.takeIdle(a.fresh); c != nil {
		c.reused = true
		a.connected(c)
		return
	}
	if p.total < p.limit || a.fresh {
		p.dial(a)
		return
	}
	p.waiting = append(p.waiting, a)
}

// takeIdle returns the connection that has been idle for the shortest time beyond its rest, or nil.
// A connection on which something has come unasked is dropped.
func (p *pool) takeIdle(fresh bool) *clientConn {
	if fresh {
		return nil
	}
	now := time.Now()
	full := p.total >= p.limit
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if now.Sub(c.idleSince) < p.rest && (!full || i > 0) {
			continue
		}
		if c.conn.hasInput() {
			c.conn.closeWith(&Error{Operation: "reuse", Kind: KindMalformed, Detail: "answer without a request"})
			i = min(i, len(p.idle))
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		return c
	}
	return nil
}

// dialing opens one connection for an attempt, on a goroutine of its own.
type dialing struct {
	pool    *pool
	attempt *attempt
}

func (p *pool) dial(a *attempt) {
	p.total++
	go (&dialing{pool: p, attempt: a}).run()
}

func (d *dialing) run() {
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

// opened is called by the poller once it runs the connection.
func (d *dialing) opened(c *nbio.Conn, err error) {
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
	d.attempt.connected(n)
}

func (d *dialing) fail(err error) {
	d.pool.total--
	d.attempt.dialFailed(err)
	d.pool.serveWaiting()
}

// put takes back a connection whose answer has been read whole.
func (p *pool) put(c *clientConn) {
	c.attempt = nil
	c.idleSince = time.Now()
	if c.conn.closed {
		return
	}
	for len(p.waiting) > 0 {
		a := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !a.ended {
			c.reused = true
			a.connected(c)
			return
		}
	}
	if len(p.idle) >= maxIdle {
		c.conn.closeWith(nil)
		return
	}
	p.idle = append(p.idle, c)
}

// removed notes a connection that has ended.
func (p *pool) removed(c *clientConn) {
	p.total--
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.serveWaiting()
}

func (p *pool) serveWaiting() {
	for len(p.waiting) > 0 && p.total < p.limit {
		a := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !a.ended {
			p.dial(a)
		}
	}
}

// sweep ends idle connections of a certain age, since what lies between may have lost track of them.
func (p *pool) sweep(now time.Time) {
	for _, c := range slices.Clone(p.idle) {
		if now.Sub(c.idleSince) >= p.forwarder.common.Settings.IdleTimeout {
			c.conn.closeWith(nil)
		}
	}
}
