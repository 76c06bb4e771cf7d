package corrupter

import (
	"fmt"
	"strings"
)

// otherLines are lines that are no header field and do not seem to frame a body.
var otherLines = []string{"X A: b", "X-A : b", "X-A\t: b", " X-A: b", "\tX-A: b", "X-A", "no field", "no field: b", "====", ":", ": b",
	"X-\x00: b", "X\x01A: b", "X\x1fA: b", "X\x7fA: b", "X\x80A: b", "(X): b", "X\"A: b", "X/A: b", "X@A: b", "\x00\x01\x02", "\xff\xfe",
	"X-A: b\x00", "X-A: \x01b", "X-A: b\x1fc", "X-A: b\x7fc", "X-A: b\nX-B: c", "X-A: b\rc", "X-A: \nb", "\nX-A: b", "X-A: b\r\n continued"}

// framingLines are lines that are no header field, but that some readers take for one that frames the body. {length} stands for
// the length of the body.
var framingLines = []string{"Content-Length : {length}", "Content-Length\t: {length}", "Content Length: {length}", " Content-Length: {length}",
	"\tContent-Length: {length}", "Content-Length {length}", "Content-Length", "Content-Length\x01: {length}", "\x00Content-Length: {length}",
	"Content\x7fLength: {length}", "Content-Length\xff: {length}", "Content-Length; {length}", "Transfer-Encoding : chunked",
	"Transfer Encoding: chunked", " Transfer-Encoding: chunked", "Transfer-Encoding\x00: chunked"}

// Fields returns responses with a line that is no header field, or with a line end that is none.
func (c Corrupter) Fields() []Response {
	var all []Response
	for _, line := range otherLines {
		all = append(all, c.withLength(fmt.Sprintf("%q", line), okLine+line+"\r\n"), c.withLength(fmt.Sprintf("%q later", line), okLine+"X-First: a\r\n"+line+"\r\n"))
	}
	for _, line := range framingLines {
		all = append(all, c.framed(c.fillIn(line))...)
	}
	valid := c.withLength("", okLine).Text
	head, body, _ := strings.Cut(valid, "\r\n\r\n")
	return append(all,
		Response{Name: "line feeds only", Text: strings.ReplaceAll(head, "\r\n", "\n") + "\n\n" + body},
		Response{Name: "line feed ends the head", Text: head + "\r\n\n" + body},
		Response{Name: "carriage return ends the head", Text: head + "\r\n\r" + body})
}

// fillIn replaces {length} in a line by the length of the body.
func (c Corrupter) fillIn(line string) string {
	return strings.ReplaceAll(line, "{length}", fmt.Sprint(len(c.config.Body)))
}
