package corrupter

import "fmt"

var interimResponses = []string{"HTTP/1.1 100 Continue\r\nX A: b\r\n\r\n", "HTTP/1.1 103 Hints\r\nLink : a\r\n\r\n",
	"HTTP/1.1 103 Hints\r\nno field\r\n\r\n", "HTTP/1.1 103 Hints\r\n Link: a\r\n\r\n", "HTTP/1.1 103 Hints\r\nX\x01A: b\r\n\r\n",
	"HTTP/1.1 103 Hints\nLink: a\n\n", "HTTP/1.1 103 Hints\r\nContent-Length: +0\r\n\r\n", "HTTP/1.1 103 Hints\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1 103\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n"}

// InterimResponses returns malformed interim responses, each with a valid response behind it.
func (c Corrupter) InterimResponses() []Response {
	var all []Response
	for _, interim := range interimResponses {
		all = append(all, c.withLength(fmt.Sprintf("%q", interim), interim+okLine))
	}
	return all
}
