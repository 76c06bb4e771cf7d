package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// oneShotCaller opens a new connection for each call. With resets set, it resets the connection before the response.
type oneShotCaller struct {
	address        string
	resets         bool
	answered, lost *atomic.Int64
}

// run makes calls until the end time.
func (c oneShotCaller) run(end time.Time) {
	for time.Now().Before(end) {
		c.call()
	}
}

func (c oneShotCaller) call() {
	connection, err := net.Dial("tcp", c.address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_, _ = fmt.Fprintf(connection, "POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	if c.resets {
		time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
		_ = connection.(*net.TCPConn).SetLinger(0)
		return
	}
	_ = connection.SetDeadline(time.Now().Add(8 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		c.lost.Add(1)
		return
	}
	_ = response.Body.Close()
	c.answered.Add(1)
}

// TestNewConnectionsSurviveResets makes calls over new connections while others are reset: every call must be answered.
// A new connection that gets the file descriptor of a reset one must not be closed by the reset.
func TestNewConnectionsSurviveResets(t *testing.T) {
	const callers = 24
	entry, _, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
		_, _ = io.WriteString(w, "done")
	})
	address, _ := entry.Addresses()
	var answered, lost atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(5 * time.Second)
	for i := range callers {
		c := oneShotCaller{address: address, resets: i%2 == 0, answered: &answered, lost: &lost}
		group.Go(func() { c.run(end) })
	}
	group.Wait()
	qt.Assert(t, lost.Load(), qt.Equals, int64(0), qt.Commentf("answered %d", answered.Load()))
}
