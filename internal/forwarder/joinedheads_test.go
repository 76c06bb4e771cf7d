package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/corrupter"
)

// headRecorder keeps the head of the last response that a reader passes on.
type headRecorder struct{ head *message }

func (h *headRecorder) expects() bool { return true }

func (h *headRecorder) onHead(m *message) error {
	h.head = m
	return nil
}

func (h *headRecorder) onBody([]byte) error { return nil }

func (h *headRecorder) onEnd(bool) error { return nil }

func (h *headRecorder) isHead() bool { return false }

// TestPartBeforeMalformedResponseIsNoHead puts a response to the request 1 that is cut at each byte of its head before a
// malformed one to the request 2, as they arrive if the former is late and cut: no head that is made of both may be taken for
// a response to the request 2.
func TestPartBeforeMalformedResponseIsNoHead(t *testing.T) {
	d := Dialect{RequestID: "X-Id", TimeLeft: "X-Time-Left", NotExecuted: "X-Not-Run", Seal: "X-Seal"}
	malformed := corrupter.New(corrupter.Config{Fields: "X-Seal: second\r\nX-Id: 2\r\n", Body: "hello"}).StatusLines()
	for _, first := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nX-Seal: first\r\nX-Id: 1\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: first\r\n",
		"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Id: 1\r\n",
	} {
		for cut := range first {
			for _, second := range malformed {
				h := &headRecorder{}
				err := newReader(h, true).feed([]byte(first[:cut] + second.Text))
				if err != nil || h.head == nil {
					continue
				}
				class := d.classify(h.head, "2")
				qt.Check(t, class == responseInvalid || class == responseStale, qt.IsTrue,
					qt.Commentf("%q before %q is read as %d %q", first[:cut], second.Name, h.head.status, h.head.header))
			}
		}
	}
}
