package requester_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/corrupter"
)

// rawServer answers each connection with what its handler writes, and closes it.
type rawServer struct {
	listener net.Listener
	write    func(net.Conn)
}

func (s *rawServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4096))
		s.write(c)
		_ = c.Close()
	}
}

// serveRaw starts a rawServer and returns its address.
func serveRaw(t *testing.T, write func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go (&rawServer{listener: l, write: write}).run()
	return l.Addr().String()
}

// get requests a response with a timeout that is far longer than it takes.
func get(address string) (requester.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return requester.New().Do(ctx, http.MethodGet, "http://"+address+"/", nil)
}

// TestMalformedResponsesAreErrors sends responses that break the grammar: the caller, which decides from them what the log
// holds, must get none of them.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for mode, write := range corrupter.WriteModes() {
		for _, r := range corrupter.New(corrupter.Config{Fields: "Content-Type: application/json\r\n", Body: "[1,2]"}).All() {
			t.Run(mode+"/"+r.Name, func(t *testing.T) {
				response, err := get(serveRaw(t, func(c net.Conn) { write(c, r.Text) }))
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%d %q", response.Status, response.Body))
			})
		}
	}
}

// TestUnusualResponses sends responses that are rare and valid.
func TestUnusualResponses(t *testing.T) {
	const fiveBytes = "Content-Length: 5\r\n\r\n[1,2]"
	tests := []struct {
		name, text string
		status     int
	}{
		{"no reason phrase", "HTTP/1.1 200 \r\n" + fiveBytes, http.StatusOK},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n[1,2]", http.StatusOK},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n[1,2]", http.StatusOK},
		{"interim first", "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 410 Gone\r\n" + fiveBytes, http.StatusGone},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\n[1\r\n3 \r\n,2]\r\n0\r\nX-A:\r\n\r\n", http.StatusOK},
		{"empty values", "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Text: \xff\t\r\n" + fiveBytes, http.StatusOK},
	}
	for mode, write := range corrupter.WriteModes() {
		for _, test := range tests {
			t.Run(mode+"/"+test.name, func(t *testing.T) {
				response, err := get(serveRaw(t, func(c net.Conn) { write(c, test.text) }))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, response.Status, qt.Equals, test.status)
				qt.Assert(t, string(response.Body), qt.Equals, "[1,2]")
			})
		}
	}
}

// TestLongResponse requests a body that arrives in many chunks.
func TestLongResponse(t *testing.T) {
	const chunks = 20_000
	response, err := get(serveRaw(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", chunks)+"0\r\n\r\n")
	}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(response.Body), qt.Equals, chunks)
}
