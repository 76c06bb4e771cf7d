package parser_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/corrupter"
)

// read parses a response in pieces of a size, with the interim ones before it. It returns its head and, if it is chunked, the
// decoded body. The head is nil if the input is incomplete.
func read(input []byte, size int) (*parser.Head, string, error) {
	p, chunks := &parser.HeadParser{}, &parser.ChunkDecoder{}
	var body bytes.Buffer
	for len(input) > 0 {
		piece := input[:min(size, len(input))]
		input = input[len(piece):]
		for len(piece) > 0 && !p.Done() {
			n, err := p.Parse(piece)
			if err != nil {
				return nil, "", err
			}
			piece = piece[n:]
			if p.Done() && p.Head().Interim() {
				p = &parser.HeadParser{}
			}
		}
		if !p.Done() || !p.Head().Chunked {
			continue
		}
		_, err := chunks.Decode(piece, func(b []byte) error {
			_, err := body.Write(b)
			return err
		})
		if err != nil {
			return nil, "", err
		}
	}
	if !p.Done() || p.Head().Chunked && !parser.Bodyless(p.Head().Status) && !chunks.Done() {
		return nil, "", nil
	}
	return p.Head(), body.String(), nil
}

// TestMalformedResponses parses malformed responses in one piece, byte by byte, and in pieces of other lengths. Each must be
// refused, or stay incomplete if it begins with a part of a valid head.
func TestMalformedResponses(t *testing.T) {
	for _, r := range corrupter.New(corrupter.Config{Fields: "X-Id: 1\r\n", Body: "hello"}).All() {
		t.Run(r.Name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 7, len(r.Text)} {
				head, _, err := read([]byte(r.Text), size)
				qt.Assert(t, head, qt.IsNil, qt.Commentf("pieces of %d", size))
				var typed *parser.Error
				qt.Assert(t, err == nil || errors.As(err, &typed) && typed.Kind == parser.KindMalformed, qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

// TestMalformedStarts parses the beginning of a line: it must be refused before the line ends.
func TestMalformedStarts(t *testing.T) {
	for _, text := range []string{"x", "HTTP/2", "\x00HTTP/1.1 200", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\r\n\rx", "HTTP/1.1 200 OK\r\nX-A: b\rc", "HTTP/1.1 200 OK\r\nX-A: b\n"} {
		for _, size := range []int{1, len(text)} {
			_, _, err := read([]byte(text), size)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q in pieces of %d", text, size))
		}
	}
}

func TestHeadFields(t *testing.T) {
	text := "HTTP/1.1 200 Tr\xe8s bien\r\ncontent-length:\t 005 \t\r\nX-Empty:\r\nX!#$%&'*+-.^_`|~1: a\xff:\t\"b\"\r\n\r\n"
	for _, size := range []int{1, 5, len(text)} {
		head, _, err := read([]byte(text), size)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, *head, qt.DeepEquals, parser.Head{Proto: "HTTP/1.1", Status: 200, Reason: "Tr\xe8s bien", Length: 5, Fields: []parser.Field{
			{Key: "Content-Length", Value: "005"}, {Key: "X-Empty"}, {Key: "X!#$%&'*+-.^_`|~1", Value: "a\xff:\t\"b\""}}})
	}
}

func TestHeadLimits(t *testing.T) {
	tests := []struct{ name, text string }{
		{"fields", strings.Repeat("X: 1\r\n", parser.MaxFields+1)},
		{"bytes", "X: " + strings.Repeat("x", parser.MaxHeadBytes) + "\r\n"},
		{"bytes without an end", strings.Repeat("x", parser.MaxHeadBytes)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := read([]byte("HTTP/1.1 200 OK\r\n"+test.text), 1000)
			var typed *parser.Error
			qt.Assert(t, errors.As(err, &typed), qt.IsTrue)
			qt.Assert(t, typed.Kind, qt.Equals, parser.KindTooLarge)
		})
	}
}

// FuzzHead checks that what is read does not depend on how the input is split, and that a response which both this parser and
// net/http accept is read alike.
func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"))
	f.Add([]byte("HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX-A: b\r\n\r\n"))
	for _, r := range corrupter.New(corrupter.Config{Fields: "X-Id: 1\r\n", Body: "hello"}).All() {
		f.Add([]byte(r.Text))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		head, body, err := read(input, len(input)+1)
		single, singleBody, singleErr := read(input, 1)
		qt.Assert(t, singleErr == nil, qt.Equals, err == nil)
		qt.Assert(t, single, qt.DeepEquals, head)
		qt.Assert(t, singleBody, qt.Equals, body)
		if head != nil {
			assertAlike(t, input, head, body)
		}
	})
}

// assertAlike checks that net/http, if it accepts a response, reads the same from it.
func assertAlike(t *testing.T, input []byte, head *parser.Head, body string) {
	t.Helper()
	in := bufio.NewReader(bytes.NewReader(input))
	response, err := http.ReadResponse(in, nil)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(in, nil)
	}
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	qt.Assert(t, response.StatusCode, qt.Equals, head.Status)
	for _, f := range head.Fields {
		if f.Key == "Content-Length" || f.Key == "Transfer-Encoding" || f.Key == "Trailer" {
			continue
		}
		qt.Assert(t, response.Header.Values(f.Key), qt.Contains, f.Value)
	}
	if parser.Bodyless(head.Status) {
		return
	}
	qt.Assert(t, fmt.Sprint(response.TransferEncoding), qt.Equals, map[bool]string{true: "[chunked]", false: "[]"}[head.Chunked])
	if !head.Chunked {
		qt.Assert(t, response.ContentLength, qt.Equals, head.Length)
		return
	}
	reference, err := io.ReadAll(response.Body)
	if err == nil {
		qt.Assert(t, body, qt.Equals, string(reference))
	}
}
