package parser

import (
	"bytes"
	"io"
	"net/http/httputil"
	"testing"

	qt "github.com/frankban/quicktest"
)

// decodeInPieces feeds a body to a decoder in pieces of a size.
func decodeInPieces(body []byte, size int) (decoded []byte, done bool, err error) {
	d := &ChunkDecoder{}
	for len(body) > 0 && !d.Done() {
		piece := body[:min(size, len(body))]
		n, err := d.Decode(piece, func(b []byte) error {
			decoded = append(decoded, b...)
			return nil
		})
		if err != nil {
			return decoded, false, err
		}
		body = body[n:]
	}
	return decoded, d.Done(), nil
}

// FuzzChunks checks that the decoder's result does not depend on how the input is split, and that a body which both
// this decoder and that of net/http accept is decoded alike.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"))
	f.Add([]byte("a;x=y\r\n0123456789\r\n0\r\nTrailer: z\r\n\r\n"))
	f.Add([]byte("ffffffffffffffffff\r\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		whole, done, err := decodeInPieces(body, len(body)+1)
		single, singleDone, singleErr := decodeInPieces(body, 1)
		qt.Assert(t, singleDone, qt.Equals, done)
		qt.Assert(t, singleErr == nil, qt.Equals, err == nil)
		qt.Assert(t, bytes.Equal(whole, single), qt.IsTrue)
		if !done {
			return
		}
		reference, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(body)))
		if err == nil {
			qt.Assert(t, bytes.Equal(whole, reference), qt.IsTrue)
		}
	})
}
