package parser_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/corrupter"
)

// TestPartBeforeMalformedResponse puts a part of a response, which ends within a field's value, before malformed responses. Together they must
// not make a head: its status would be that of the part, its body and its other fields those of the malformed response.
func TestPartBeforeMalformedResponse(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text"
	for _, r := range corrupter.New(corrupter.Config{Fields: "X-Id: 1\r\n", Body: "hello"}).All() {
		t.Run(r.Name, func(t *testing.T) {
			for _, size := range []int{1, 7, len(part) + len(r.Text)} {
				head, _, err := read([]byte(part+r.Text), size)
				qt.Assert(t, head, qt.IsNil, qt.Commentf("pieces of %d bytes: error %v", size, err))
			}
		})
	}
}

// TestFieldsThatNameProtocol checks that fields may name the protocol, as proxies and servers do.
func TestFieldsThatNameProtocol(t *testing.T) {
	for _, field := range []string{"Via: HTTP/1.1 proxy", "Via: HTTP/1.1 10.0.0.1", "Via: 1.0 a, HTTP/1.1 10.0.0.1:80", "Via: http/1.1 a (HTTP/1.0)",
		"Server: SimpleHTTP/0.6 Python/3.11", "Upgrade: HTTP/2.0", "Link: <http://a/1 2>", "X-Request: GET / HTTP/1.1"} {
		t.Run(field, func(t *testing.T) {
			head, _, err := read([]byte("HTTP/1.1 204 No Content\r\n"+field+"\r\n\r\n"), 7)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, head, qt.IsNotNil)
		})
	}
}

// TestFieldsOfOtherEncodings has fields name the protocol after bytes that are not UTF-8, or whose upper case has another length.
func TestFieldsOfOtherEncodings(t *testing.T) {
	for _, text := range []string{"\xff\xff\xff\xff\xff\xff", "\u0131\u0131\u0131\u0131", "\u0250\u0250\u0250\u0250"} {
		t.Run(text, func(t *testing.T) {
			head, _, err := read([]byte("HTTP/1.1 204 No Content\r\nServer: "+text+" HTTP/\r\n\r\n"), 7)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, head, qt.IsNotNil)
			head, _, err = read([]byte("HTTP/1.1 204 No Content\r\nServer: "+text+"http/1.1 200 OK\r\n\r\n"), 7)
			qt.Assert(t, head, qt.IsNil)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}
