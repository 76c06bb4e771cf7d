package scenarios_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// stopConnection is a client's connection.
type stopConnection struct {
	net.Conn
	reader *bufio.Reader
}

func openStopConnection(address string) (*stopConnection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return &stopConnection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// request sends a call in pieces, pausing before the last one, and reads its response.
func (c *stopConnection) request(method, path string, leftMs int, pause time.Duration) stopCall {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n%s: %d\r\n", method, path, stopTimeLeft, leftMs)
	if method == http.MethodPost {
		text += "Content-Length: 3\r\n\r\npay"
	} else {
		text += "\r\n"
	}
	r := stopCall{path: method + " " + path, limit: time.Duration(leftMs) * time.Millisecond}
	if strings.Contains(path, "/short?") {
		r.limit = min(r.limit, shortTimeoutMs*time.Millisecond)
	}
	at := len(text)
	if pause > 0 {
		at -= 2
	}
	_, r.err = io.WriteString(c, text[:at])
	if pause > 0 && r.err == nil {
		time.Sleep(pause)
		_, r.err = io.WriteString(c, text[at:])
	}
	r.sentAt = time.Now()
	defer func() { r.endedAt = time.Now() }()
	if r.err != nil {
		return r
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.err = err
		r.endedAt = time.Now()
		return r
	}
	_, r.err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	r.status, r.run, r.closes = response.StatusCode, response.Header.Get("Tamarackpitch-Run"), response.Close
	r.reason = response.Header.Get("Tamarackpitch-Refusal")
	r.endedAt = time.Now()
	return r
}
