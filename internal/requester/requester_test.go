package requester_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/requester"
)

// requestTimeout bounds one request. It is far longer than a request takes.
const requestTimeout = 30 * time.Second

// TestTruncatedResponsesAreErrors closes the connection at each byte of a response: a part of it must not be taken for the
// whole, since the caller decides from it what the log holds.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	r := requester.New()
	for name, response := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"items\":[1,2]} ",
		"chunked":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[1,2]\r\n0\r\n\r\n",
		"empty":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			cut := ""
			address := serveRaw(t, func(c net.Conn) { _, _ = io.WriteString(c, cut) })
			for i := range len(response) {
				cut = response[:i]
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				got, err := r.Do(ctx, http.MethodGet, "http://"+address+"/", nil)
				cancel()
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("cut after %q: %+v", cut, got))
			}
		})
	}
}

// delayedCloser answers a connection and closes it after a random delay.
type delayedCloser struct {
	connection net.Conn
}

func (d *delayedCloser) run() {
	const maxDelay = time.Millisecond
	_, _ = d.connection.Read(make([]byte, 4096))
	_, _ = io.WriteString(d.connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	time.Sleep(time.Duration(rand.Int64N(int64(maxDelay))))
	_ = d.connection.Close()
}

// requestSeries sends requests one after the other.
type requestSeries struct {
	requester *requester.Requester
	url       string
	// failures holds the errors of failed requests once group is done.
	failures []error
	group    *sync.WaitGroup
}

func (s *requestSeries) run() {
	const count = 250
	defer s.group.Done()
	for range count {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		response, err := s.requester.Do(ctx, http.MethodGet, s.url, nil)
		cancel()
		if err == nil && string(response.Body) != "ok" {
			err = errors.New("response: " + string(response.Body))
		}
		if err != nil {
			s.failures = append(s.failures, err)
		}
	}
}

// TestClosedConnectionsDoNotEndOthers sends many requests beside each other to a server that closes each connection about
// when the requester does. Descriptors of closed connections are reused at once, and events of the closed ones must not
// end the new ones.
func TestClosedConnectionsDoNotEndOthers(t *testing.T) {
	const parallel = 32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go (&delayedCloser{connection: c}).run()
		}
	}()
	r := requester.New()
	var group sync.WaitGroup
	var all []*requestSeries
	for range parallel {
		s := &requestSeries{requester: r, url: "http://" + l.Addr().String() + "/", group: &group}
		all = append(all, s)
		group.Add(1)
		go s.run()
	}
	group.Wait()
	var failures []error
	for _, s := range all {
		failures = append(failures, s.failures...)
	}
	qt.Assert(t, failures, qt.HasLen, 0, qt.Commentf("%d failures, the first: %v", len(failures), errors.Join(failures[:min(1, len(failures))]...)))
}
