package corrupter

import "strings"

// lengthLines are header fields that are valid, but state no length, or more than one. {length} stands for the length of the
// body.
var lengthLines = []string{"Content-Length:", "Content-Length: ", "Content-Length: +{length}", "Content-Length: -{length}", "Content-Length: -0",
	"Content-Length: {length}x", "Content-Length: x{length}", "Content-Length: 0x{length}", "Content-Length: {length} {length}",
	"Content-Length: {length},{length}", "Content-Length: {length}, 6", "Content-Length: {length}.0", "Content-Length: 1e1", "Content-Length: {length};",
	"Content-Length: 99999999999999999999", "Content-Length: 9223372036854775808", "Content-Length: \x00{length}", "Content-Length: {length}\x00",
	"Content-Length: \x0b{length}", "Content-Length: {length}\x7f", "Content-Length: \xff", "Content-Length: {length}\r\nContent-Length: 1",
	"Content-Length:\r\nContent-Length: {length}", "Content-Length: {length}\r\nContent-Length: +{length}", "Transfer-Encoding:",
	"Transfer-Encoding: chunke", "Transfer-Encoding: chun\u212aed", "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked",
	"Transfer-Encoding: chunked\x0b", "Transfer-Encoding: \x00chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	"Transfer-Encoding: identity\r\nContent-Length: {length}", "Content-Length: {length}\r\nTransfer-Encoding: chunked"}

// Lengths returns responses whose head states no length, contradicting ones, or one that it may not state.
func (c Corrupter) Lengths() []Response {
	var all []Response
	for _, line := range lengthLines {
		all = append(all, c.framed(c.fillIn(line))...)
	}
	const noContent = "HTTP/1.1 204 No Content\r\n"
	return append(all,
		Response{Name: "empty body of length -0", Text: okLine + c.config.Fields + "Content-Length: -0\r\n\r\n"},
		c.chunked("HTTP/1.0 and chunked", strings.Replace(okLine, "1.1", "1.0", 1), c.size(), ""),
		c.withLength("no content with a length", noContent),
		c.chunked("no content and chunked", noContent, c.size(), ""))
}
