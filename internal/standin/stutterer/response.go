package stutterer

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"

	"github.com/tamarackpitch/tamarackpitch/platform"
)

// wire holds the names of the headers.
var wire = platform.Dialect()

// framing is how a response delimits its body.
type framing int

// Framings.
const (
	framingLength framing = iota
	framingChunked
	framingClose
)

func (f framing) String() string { return [...]string{"with a length", "chunked", "until the end"}[f] }

// response is a response of an upstream.
type response struct {
	id      string
	status  int
	seal    string
	length  int
	framing framing
	// announceClose states that the connection ends after the response.
	announceClose bool
}

// encode returns the head and the body as they are sent. The drawer orders the fields and sizes the chunks.
func (r response) encode(d *drawer) (head, body []byte) {
	fields := []string{wire.RequestID + ": " + r.id, wire.Seal + ": " + r.seal, "Content-Type: text/plain"}
	body = repeat(r.seal, r.length)
	switch r.framing {
	case framingLength:
		fields = append(fields, "Content-Length: "+strconv.Itoa(r.length))
	case framingChunked:
		fields = append(fields, "Transfer-Encoding: chunked")
		body = d.chunk(body)
	}
	if r.announceClose {
		fields = append(fields, "Connection: close")
	}
	d.random.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes(), body
}
