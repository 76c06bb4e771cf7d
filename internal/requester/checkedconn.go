package requester

import (
	"context"
	"net"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

// checkedConn is the client's end of a connection that carries one request. Reads fail as soon as the response is malformed:
// net/http accepts some malformed responses, and reads another body or other fields from them than other readers.
type checkedConn struct {
	net.Conn
	head   parser.HeadParser
	chunks parser.ChunkDecoder
	// err is the first error found in the response.
	err error
}

// dialChecked dials a checkedConn.
func dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: c}, nil
}

// Read implements net.Conn. None of the input that contains the error is returned with it.
func (c *checkedConn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	if c.err = c.check(b[:n]); c.err != nil {
		return 0, c.err
	}
	return n, err
}

// check parses the next input: interim responses, the head of the response, and the chunks of its body if it is chunked.
func (c *checkedConn) check(data []byte) error {
	for len(data) > 0 && !c.head.Done() {
		n, err := c.head.Parse(data)
		if err != nil {
			return err
		}
		data = data[n:]
		if c.head.Done() && c.head.Head().Interim() {
			c.head = parser.HeadParser{}
		}
	}
	if !c.head.Done() || !c.head.Head().Chunked || parser.Bodyless(c.head.Head().Status) {
		return nil
	}
	_, err := c.chunks.Decode(data, discard)
	return err
}

// discard takes a part of a body, which net/http decodes.
func discard([]byte) error { return nil }
