// Package relay stands in for what lies between two processes: a TCP relay that can
// cut connections, delay bytes, or go silent on open connections while new ones work.
package relay

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards connections to a target.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is a relayed connection.
type pair struct {
	relay  *Relay
	near   net.Conn
	far    net.Conn
	silent atomic.Bool
}

// New listens and relays to the target.
func New(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, pairs: map[*pair]struct{}{}}
	go r.run()
	return r, nil
}

// run accepts until Close.
func (r *Relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{relay: r, near: near, far: far}
		r.mu.Lock()
		r.pairs[p] = struct{}{}
		r.mu.Unlock()
		go (&pipe{pair: p, from: near, to: far}).run()
		go (&pipe{pair: p, from: far, to: near}).run()
	}
}

// pipe copies one direction of a pair.
type pipe struct {
	pair *pair
	from net.Conn
	to   net.Conn
}

func (p *pipe) run() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := p.from.Read(buffer)
		if p.pair.silent.Load() {
			// The connection stays open and its bytes are dropped.
			if err != nil {
				return
			}
			continue
		}
		if d := p.pair.relay.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 {
			if _, err := p.to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	p.pair.close()
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
	p.relay.mu.Lock()
	delete(p.relay.pairs, p)
	p.relay.mu.Unlock()
}

// Cut ends all open connections.
func (r *Relay) Cut() int { return r.each((*pair).close) }

// Silence drops the bytes of all open connections from now on. New ones work.
func (r *Relay) Silence() int {
	return r.each(func(p *pair) { p.silent.Store(true) })
}

func (r *Relay) each(f func(*pair)) int {
	r.mu.Lock()
	all := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		all = append(all, p)
	}
	r.mu.Unlock()
	for _, p := range all {
		f(p)
	}
	return len(all)
}

// SetDelay delays every read by a time.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Close ends the listener and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}

// ServeHTTP takes POST /cut, /silence and /delay?ms=.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	count := 0
	switch request.URL.Path {
	case "/cut":
		count = r.Cut()
	case "/silence":
		count = r.Silence()
	case "/delay":
		ms, _ := strconv.Atoi(request.URL.Query().Get("ms"))
		r.SetDelay(time.Duration(ms) * time.Millisecond)
	default:
		http.NotFound(w, request)
		return
	}
	_, _ = io.WriteString(w, strconv.Itoa(count)+"\n")
}
