package poller

import (
	"net"
	"os"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// waker is a pair of connected sockets of which the loop has one end: a byte that is written to the other end is an
// event of the loop's next fetch.
type waker struct {
	// in is written to, at most once until the loop has read it.
	in net.Conn
	// out is the loop's end.
	out *nbio.Conn
}

// newWaker opens a pair. The loop has to take over its end.
func newWaker() (*waker, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, &Error{Operation: "waker", Kind: KindStart, Detail: err.Error()}
	}
	in, err := connectionOf(pair[0])
	if err != nil {
		_ = unix.Close(pair[1])
		return nil, err
	}
	out, err := connectionOf(pair[1])
	if err != nil {
		_ = in.Close()
		return nil, err
	}
	w := &waker{in: in}
	if w.out, err = nbio.NBConn(out); err != nil {
		_ = in.Close()
		return nil, &Error{Operation: "waker", Kind: KindStart, Detail: err.Error()}
	}
	return w, nil
}

// connectionOf takes over a socket.
func connectionOf(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "waker")
	defer func() { _ = file.Close() }()
	c, err := net.FileConn(file)
	if err != nil {
		return nil, &Error{Operation: "waker", Kind: KindStart, Detail: err.Error()}
	}
	return c, nil
}

// wake makes the loop's next fetch hold an event of the waker. It fails only once the loop has been stopped.
func (w *waker) wake() { _, _ = w.in.Write([]byte{1}) }

// owns tells whether a connection is the loop's end.
func (w *waker) owns(c *nbio.Conn) bool { return w.out == c }

// clear reads what wake has written, so that the next byte is an event again.
func (w *waker) clear() {
	var buffer [16]byte
	for {
		if n, err := w.out.Read(buffer[:]); err != nil || n == 0 {
			return
		}
	}
}

func (w *waker) close() { _ = w.in.Close() }
