package corrupter

import "fmt"

var statusLines = []string{"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2000 OK",
	"HTTP/1.1 0200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2 OK", "HTTP/1.1 x200 OK", "HTTP/1.1 \x00200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 +200 OK",
	"HTTP/1.1 -200 OK", "HTTP/1.1 2OO OK", "HTTP/1.1 200", "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1\t200 OK", "HTTP/1.1 OK", "HTTP/1.1 ",
	"HTTP/1.1", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\nX-A: b",
	"HTTP/1.1 200 \nX-A: b", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/1.10 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK",
	"\r\nHTTP/1.1 200 OK", "\x00HTTP/1.1 200 OK", "HTTP/1.1 101 Switching Protocols"}

// StatusLines returns responses with a malformed status line, or with a status that answers no request.
func (c Corrupter) StatusLines() []Response {
	var all []Response
	for _, line := range statusLines {
		all = append(all, c.withLength(fmt.Sprintf("%q", line), line+"\r\n"))
	}
	for _, status := range []string{"000", "099", "600"} {
		all = append(all, Response{Name: "empty body of status " + status, Text: "HTTP/1.1 " + status + " OK\r\n" + c.config.Fields + "Content-Length: 0\r\n\r\n"})
	}
	return all
}
