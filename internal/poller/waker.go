package poller

import (
	"net"
	"os"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// waker is a socket pair. The loop has the read end, so that a byte written to the write end raises an event in the
// next batch that the loop fetches.
type waker struct {
	// writeEnd gets at most three bytes until the loop has read them: one for queued connections, one by Probe and one by
	// Stop.
	writeEnd net.Conn
	readEnd  *nbio.Conn
}

// newWaker opens a socket pair. The caller registers the read end with the loop.
func newWaker() (*waker, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, &Error{Operation: "waker", Kind: KindStart, Detail: err.Error()}
	}
	writeEnd, err := connFromDescriptor(pair[0])
	if err != nil {
		_ = unix.Close(pair[1])
		return nil, err
	}
	readEnd, err := connFromDescriptor(pair[1])
	if err != nil {
		_ = writeEnd.Close()
		return nil, err
	}
	w := &waker{writeEnd: writeEnd}
	if w.readEnd, err = nbio.NBConn(readEnd); err != nil {
		_ = writeEnd.Close()
		return nil, &Error{Operation: "waker", Kind: KindStart, Detail: err.Error()}
	}
	return w, nil
}

// connFromDescriptor returns the connection of a socket. It takes ownership of the descriptor.
func connFromDescriptor(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "waker")
	defer func() { _ = file.Close() }()
	c, err := net.FileConn(file)
	if err != nil {
		return nil, &Error{Operation: "waker", Kind: KindStart, Detail: err.Error()}
	}
	return c, nil
}

// wake raises an event of the read end. It can fail only after the loop has been stopped.
func (w *waker) wake() { _, _ = w.writeEnd.Write([]byte{1}) }

// isReadEnd reports whether a connection is the waker's read end.
func (w *waker) isReadEnd(c *nbio.Conn) bool { return w.readEnd == c }

// drain reads what wake has written, so that the next byte raises an event again.
func (w *waker) drain() {
	var buffer [16]byte
	for {
		if n, err := w.readEnd.Read(buffer[:]); err != nil || n == 0 {
			return
		}
	}
}

func (w *waker) close() { _ = w.writeEnd.Close() }
