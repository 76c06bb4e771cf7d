package forwarder

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// recordingHandler records the messages that a reader passes on.
type recordingHandler struct {
	text strings.Builder
}

func (h *recordingHandler) onHead(m *message) error {
	fmt.Fprintf(&h.text, "\nhead %s %s %d %d %v: ", m.method, m.uri, m.length, len(m.header), m.chunked)
	return nil
}

func (h *recordingHandler) onBody(data []byte) error {
	h.text.Write(data)
	return nil
}

func (h *recordingHandler) expects() bool { return true }

func (h *recordingHandler) onEnd(bool) error {
	h.text.WriteString(" end")
	return nil
}

func (h *recordingHandler) isHead() bool { return false }

// readInPieces feeds a request stream to a reader in pieces of a size, until the reader fails.
func readInPieces(input []byte, size int) (string, error) {
	h := &recordingHandler{}
	r := newReader(h, false)
	for len(input) > 0 {
		n := min(size, len(input))
		if err := r.feed(input[:n]); err != nil {
			return h.text.String(), err
		}
		input = input[n:]
	}
	return h.text.String(), nil
}

// FuzzReader checks that the messages read do not depend on how the input is split.
func FuzzReader(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\nPOST /p HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte("POST /p HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) > 4096 {
			return
		}
		whole, wholeErr := readInPieces(input, len(input)+1)
		single, singleErr := readInPieces(input, 1)
		qt.Assert(t, singleErr == nil, qt.Equals, wholeErr == nil)
		if wholeErr == nil {
			qt.Assert(t, single, qt.Equals, whole)
		}
	})
}

// TestEndlessHeadIsLimited feeds the starts of heads that never end, in pieces of several lengths: the reader must fail
// before it has got two pieces more than maxHeaderBytes.
func TestEndlessHeadIsLimited(t *testing.T) {
	heads := map[string]struct{ start, fill string }{
		"version":       {"HTTP/1.1", "1"},
		"status":        {"HTTP/1.1 ", "x"},
		"reason phrase": {"HTTP/1.1 200 OK", "x"},
		"key":           {"HTTP/1.1 200 OK\r\nX", "x"},
		"value":         {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"blank value":   {"HTTP/1.1 200 OK\r\nX:", " "},
		"fields":        {"HTTP/1.1 200 OK\r\n", "X: 1\r\n"},
	}
	for name, head := range heads {
		for _, size := range []int{100, maxHeaderBytes, maxBufferedBodyBytes - 1, readBufferBytes} {
			t.Run(fmt.Sprintf("%s, pieces of %d", name, size), func(t *testing.T) {
				r := newReader(&recordingHandler{}, true)
				qt.Assert(t, r.feed([]byte(head.start)), qt.IsNil)
				piece := []byte(strings.Repeat(head.fill, size)[:size])
				fed := 0
				for fed <= parserReadLimit && r.feed(piece) == nil {
					fed += size
				}
				qt.Assert(t, fed <= maxHeaderBytes+size, qt.IsTrue, qt.Commentf("%d bytes were read", fed))
			})
		}
	}
}
