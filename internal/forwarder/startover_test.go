package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startOverPause is the time between a truncated response and the whole one that follows it.
const startOverPause = 2 * time.Millisecond

// TestResponseThatStartsOverIsWhole lets an upstream begin a response, stop at each byte, and send the whole response behind
// that part: a caller that gets a success must get the whole body.
func TestResponseThatStartsOverIsWhole(t *testing.T) {
	body := strings.Repeat("line of the body\r\n", 20)
	responses := map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	}
	for name, response := range responses {
		for _, pause := range []time.Duration{0, startOverPause} {
			t.Run(fmt.Sprintf("%s/%v", name, pause), func(t *testing.T) {
				t.Parallel()
				cut := ""
				entry := sealedMesh(t, 20_000, func(w http.ResponseWriter, _ *http.Request) {
					c := hijack(w)
					defer func() { _ = c.Close() }()
					if pause == 0 {
						_, _ = io.WriteString(c, cut+response)
						return
					}
					_, _ = io.WriteString(c, cut)
					time.Sleep(pause)
					_, _ = io.WriteString(c, response)
				})
				for i := range len(response) {
					cut = response[:i]
					r := do("GET", entry.url("/get"), "", "X-Id", "1")
					qt.Check(t, r.err == nil && r.status < 300 && r.body != body, qt.IsFalse, qt.Commentf("cut after %q: %+v", cut, r))
				}
			})
		}
	}
}
