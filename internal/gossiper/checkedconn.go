package gossiper

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

const (
	// Limits of what a client may receive unless it has announced others (RFC 9113, section 6.5.2).
	maxFrameBytes    = 16 << 10
	headerTableBytes = 4 << 10
	// maxOpenResponses bounds the responses of a connection that have begun and not ended. Those of calls that this node has
	// cancelled may never end.
	maxOpenResponses = 1 << 10
)

// checkedConn is the client's end of a connection to another node. Reads fail as soon as a response is malformed: gRPC accepts
// some malformed ones.
type checkedConn struct {
	net.Conn
	logger hclog.Logger
	framer *http2.Framer
	// checked holds input that has been checked and not been read yet: no more than one frame, or one head.
	checked bytes.Buffer
	// responses are those that have begun and not ended, by stream. There are at most maxOpenResponses.
	responses map[uint32]*response
	// err is the first error. After it, nothing is read.
	err error
}

func newCheckedConn(c net.Conn, l hclog.Logger) *checkedConn {
	checked := &checkedConn{Conn: c, logger: l, responses: map[uint32]*response{}}
	input := io.TeeReader(bufio.NewReaderSize(c, ioBufferBytes), &checked.checked)
	checked.framer = http2.NewFramer(io.Discard, input)
	checked.framer.SetMaxReadFrameSize(maxFrameBytes)
	checked.framer.SetReuseFrames()
	checked.framer.ReadMetaHeaders = hpack.NewDecoder(headerTableBytes, nil)
	checked.framer.MaxHeaderListSize = parser.MaxHeadBytes
	return checked
}

// Read implements net.Conn. It waits for a whole frame; none of the frame that contains the error is returned.
func (c *checkedConn) Read(b []byte) (int, error) {
	if c.err == nil && c.checked.Len() == 0 {
		c.err = c.readFrame()
	}
	if c.err != nil {
		return 0, c.err
	}
	return c.checked.Read(b)
}

// readFrame reads and checks the next frame. A head in several frames counts as one.
func (c *checkedConn) readFrame() error {
	f, err := c.framer.ReadFrame()
	if err == nil {
		err = c.check(f)
	}
	switch {
	case errors.Is(err, io.EOF) && c.checked.Len() > 0:
		return io.ErrUnexpectedEOF
	case err == nil || isConnectionEnd(err):
		return err
	}
	err = &Error{Operation: "read", Kind: KindMalformed, Cause: err}
	c.logger.Warn("malformed response of a node", "address", c.RemoteAddr(), "error", err)
	return err
}

// isConnectionEnd reports whether an error of a read is the end of the connection or a failure of it.
func isConnectionEnd(err error) bool {
	var failure net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failure)
}

// check checks what a frame adds to its response.
func (c *checkedConn) check(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.checkFields(f)
	case *http2.DataFrame:
		r, ok := c.responses[f.StreamID]
		if !ok {
			return errors.New("data without a head")
		}
		return c.endIf(f.StreamEnded(), f.StreamID, r, r.addData(len(f.Data())))
	case *http2.RSTStreamFrame:
		delete(c.responses, f.StreamID)
	case *http2.PushPromiseFrame:
		return errors.New("push promise")
	}
	return nil
}

// checkFields checks the head of an interim response, a head, or trailers.
func (c *checkedConn) checkFields(f *http2.MetaHeadersFrame) error {
	if f.Truncated {
		return fmt.Errorf("more than %d bytes of header fields", parser.MaxHeadBytes)
	}
	r, ok := c.responses[f.StreamID]
	if !ok {
		if len(c.responses) >= maxOpenResponses {
			return fmt.Errorf("more than %d open responses", maxOpenResponses)
		}
		r = newResponse()
		c.responses[f.StreamID] = r
	}
	return c.endIf(f.StreamEnded(), f.StreamID, r, r.addFields(f))
}

// endIf ends a response after its last frame. err is the error found in that frame.
func (c *checkedConn) endIf(ended bool, stream uint32, r *response, err error) error {
	if err != nil || !ended {
		return err
	}
	delete(c.responses, stream)
	return r.checkEnd()
}
