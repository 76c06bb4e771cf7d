// Package corrupter makes responses that break the grammar of RFC 9112, as faulty upstreams send them. No reader may take one
// for a response, since another reader may take another body, other fields or another status from it.
package corrupter

import (
	"fmt"
	"strings"
)

// Response is a malformed response.
type Response struct {
	// Name describes what is malformed.
	Name string
	// Text is the whole response. It ends with the connection unless its head states a length that some readers accept.
	Text string
}

// Config states what the responses are made of, besides what is malformed.
type Config struct {
	// Fields are valid header fields, each with its line end. They do not frame a body.
	Fields string
	// Body is the body, which is not empty.
	Body string
}

// Corrupter makes malformed responses. It is immutable.
type Corrupter struct {
	config Config
}

// New returns a Corrupter.
func New(c Config) Corrupter { return Corrupter{config: c} }

// All returns the responses of all kinds, always in the same order.
func (c Corrupter) All() []Response {
	var all []Response
	for _, kind := range [][]Response{c.Fields(), c.Lengths(), c.StatusLines(), c.InterimResponses(), c.ChunkSizes(), c.Trailers()} {
		all = append(all, kind...)
	}
	return all
}

const okLine = "HTTP/1.1 200 OK\r\n"

// withLength returns a response whose head begins as given and states a length.
func (c Corrupter) withLength(name, start string) Response {
	return Response{Name: name, Text: fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", start, c.config.Fields, len(c.config.Body), c.config.Body)}
}

// framed returns responses whose heads have lines, besides the valid fields, that alone frame the body: one whose body is sent as
// it is, and one whose body is sent in a chunk if the lines name that encoding. The body seems to end with the connection if
// the lines are ignored.
func (c Corrupter) framed(lines string) []Response {
	name, head := fmt.Sprintf("%q", lines), okLine+c.config.Fields+lines+"\r\n\r\n"
	all := []Response{{Name: name, Text: head + c.config.Body}}
	if strings.Contains(lines, "chun") {
		all = append(all, Response{Name: name + " with a chunk", Text: fmt.Sprintf("%s%s\r\n%s\r\n0\r\n\r\n", head, c.size(), c.config.Body)})
	}
	return all
}

// chunked returns a response with a body in one chunk. sizeLine ends the size of the chunk and trailers follow the last one.
func (c Corrupter) chunked(name, start, sizeLine, trailers string) Response {
	return Response{Name: name, Text: fmt.Sprintf("%s%sTransfer-Encoding: chunked\r\n\r\n%s\r\n%s\r\n0\r\n%s\r\n",
		start, c.config.Fields, sizeLine, c.config.Body, trailers)}
}

// size returns the size of the body in hexadecimal digits.
func (c Corrupter) size() string { return fmt.Sprintf("%x", len(c.config.Body)) }
