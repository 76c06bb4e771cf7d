package requester_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/requester"
)

// serveTruncated answers each connection with what cut returns and closes it.
func serveTruncated(t *testing.T, cut func() string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, cut())
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestTruncatedResponsesAreErrors closes the connection at each byte of a response: a part of it must not be taken for the
// whole, since the caller decides from it what the log holds.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	engine, err := requester.NewEngine(nil)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(engine.Stop)
	r := requester.New(engine)
	for name, response := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"items\":[1,2]} ",
		"chunked":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[1,2]\r\n0\r\n\r\n",
		"empty":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			cut := ""
			address := serveTruncated(t, func() string { return cut })
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
