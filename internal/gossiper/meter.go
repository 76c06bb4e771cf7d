package gossiper

import (
	"context"
	"net"
	"sync/atomic"
)

// segmentHeaderBytes is the size of the IPv4 and TCP headers of a segment, with the TCP timestamps option.
const segmentHeaderBytes = 52

// Meter counts the bytes of the overlay's connections, including an estimate of the IP and TCP headers. It is safe for
// concurrent use.
type Meter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Totals returns the bytes sent and received so far.
func (m *Meter) Totals() (sent, received uint64) {
	return m.sent.Load(), m.received.Load()
}

// meteredConn counts each read and each write as one segment, and one acknowledgement the other way.
type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		// Every received segment is acknowledged by one that consists of headers only.
		c.meter.received.Add(uint64(n + segmentHeaderBytes))
		c.meter.sent.Add(segmentHeaderBytes)
	}
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.meter.sent.Add(uint64(n + segmentHeaderBytes))
		c.meter.received.Add(segmentHeaderBytes)
	}
	return n, err
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{Conn: conn, meter: l.meter}, nil
}

func (m *Meter) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return meteredConn{Conn: conn, meter: m}, nil
}
