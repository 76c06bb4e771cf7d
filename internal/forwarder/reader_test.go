package forwarder

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// messageLog notes what a reader hands on.
type messageLog struct {
	text strings.Builder
}

func (l *messageLog) onHead(m *message) error {
	fmt.Fprintf(&l.text, "\nhead %s %s %d %d %v: ", m.method, m.uri, m.length, len(m.header), m.chunked)
	return nil
}

func (l *messageLog) onBody(data []byte) error {
	l.text.Write(data)
	return nil
}

func (l *messageLog) onEnd() error {
	l.text.WriteString(" end")
	return nil
}

func (l *messageLog) isHead() bool { return false }

// readInPieces feeds a request stream in pieces until it fails.
func readInPieces(input []byte, size int) (string, error) {
	l := &messageLog{}
	r := newReader(l, false)
	for len(input) > 0 {
		n := min(size, len(input))
		if err := r.feed(input[:n]); err != nil {
			return l.text.String(), err
		}
		input = input[n:]
	}
	return l.text.String(), nil
}

// FuzzReader reads any bytes as requests. However they are cut, the same messages come out.
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
