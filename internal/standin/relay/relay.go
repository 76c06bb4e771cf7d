// Package relay implements a TCP relay that injects network faults between two processes: it cuts
// connections, delays data, or drops the data of open connections while new ones work.
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

// Relay relays connections to a target. Its methods are safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	// delay is the time for which data is held back, in nanoseconds.
	delay atomic.Int64

	// mu guards connections, which holds the open ones.
	mu          sync.Mutex
	connections map[*connection]struct{}
}

// connection is a client's connection with the one to the target that carries on its data.
type connection struct {
	relay  *Relay
	client net.Conn
	server net.Conn
	// silent is set when the data of both directions is dropped.
	silent atomic.Bool
}

// New listens on an address and relays connections to the target until Close.
func New(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, connections: map[*connection]struct{}{}}
	go r.run()
	return r, nil
}

// run accepts connections until Close, and closes those for which the target cannot be reached.
func (r *Relay) run() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &connection{relay: r, client: client, server: server}
		r.mu.Lock()
		r.connections[c] = struct{}{}
		r.mu.Unlock()
		go (&pipe{connection: c, from: client, to: server}).run()
		go (&pipe{connection: c, from: server, to: client}).run()
	}
}

// pipe copies one direction of a connection.
type pipe struct {
	connection *connection
	from       net.Conn
	to         net.Conn
}

func (p *pipe) run() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := p.from.Read(buffer)
		if p.connection.silent.Load() {
			// As in a network partition, the data is dropped and the end of one side does not reach the other.
			if err != nil {
				return
			}
			continue
		}
		if d := p.connection.relay.delay.Load(); d > 0 {
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
	p.connection.close()
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
	c.relay.mu.Lock()
	delete(c.relay.connections, c)
	c.relay.mu.Unlock()
}

// Cut closes all open connections and returns their number.
func (r *Relay) Cut() int { return r.forEach((*connection).close) }

// Silence drops all further data of the open connections, in both directions, and returns their number.
// They stay open; later connections work.
func (r *Relay) Silence() int {
	return r.forEach(func(c *connection) { c.silent.Store(true) })
}

// forEach calls f for each open connection, without the lock, and returns their number.
func (r *Relay) forEach(f func(*connection)) int {
	r.mu.Lock()
	all := make([]*connection, 0, len(r.connections))
	for c := range r.connections {
		all = append(all, c)
	}
	r.mu.Unlock()
	for _, c := range all {
		f(c)
	}
	return len(all)
}

// SetDelay sets the time for which each piece of data is held back, in both directions of all connections.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}

// ServeHTTP serves the fault commands /cut, /silence and /delay?ms=N. The first two answer with the number
// of connections affected.
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
