// Package corrupter makes responses that break the grammar of RFC 9112, as faulty upstreams send them. No reader may take one
// for a response, since another reader may take another body, other fields or another status from it.
package corrupter

import "fmt"

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

// untilClose returns a response whose head has lines besides the valid fields, and whose body seems to end with the connection
// if these lines are ignored.
func (c Corrupter) untilClose(lines string) Response {
	return Response{Name: fmt.Sprintf("%q", lines), Text: okLine + c.config.Fields + lines + "\r\n\r\n" + c.config.Body}
}

// chunked returns a response with a body in one chunk. sizeLine ends the size of the chunk and trailers follow the last one.
func (c Corrupter) chunked(name, start, sizeLine, trailers string) Response {
	return Response{Name: name, Text: fmt.Sprintf("%s%sTransfer-Encoding: chunked\r\n\r\n%s\r\n%s\r\n0\r\n%s\r\n",
		start, c.config.Fields, sizeLine, c.config.Body, trailers)}
}

// size returns the size of the body in hexadecimal digits.
func (c Corrupter) size() string { return fmt.Sprintf("%x", len(c.config.Body)) }
