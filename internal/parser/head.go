package parser

import (
	"net/http"
	"strconv"
	"strings"
)

// LengthUnstated is the value of Head.Length if the head states none.
const LengthUnstated = -1

const (
	protocol10 = "HTTP/1.0"
	protocol11 = "HTTP/1.1"

	keyContentLength    = "Content-Length"
	keyTransferEncoding = "Transfer-Encoding"
	encodingChunked     = "chunked"
)

// Head is the head of a response.
type Head struct {
	// Proto is "HTTP/1.1" or "HTTP/1.0".
	Proto string
	// Status is between 100 and 599, and not 101.
	Status int
	// Reason may be empty.
	Reason string
	// Fields are in the order of their arrival, at most MaxFields.
	Fields []Field
	// Length is the length of the body in bytes, or LengthUnstated. It is LengthUnstated if Chunked is set.
	Length int64
	// Chunked reports whether the body is sent in chunks.
	Chunked bool
}

// Interim reports whether the response is an interim one (1xx), which another response follows.
func (h *Head) Interim() bool { return h.Status < http.StatusOK }

// Bodyless reports whether responses with a status never have a body.
func Bodyless(status int) bool {
	return status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}

// setStatusLine parses the status line: version, blank, status code, blank, and a reason phrase, which may be empty
// (RFC 9112, section 4).
func (h *Head) setStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	if version != protocol11 && version != protocol10 {
		return malformedHead("protocol version")
	}
	code, reason, found := strings.Cut(rest, " ")
	status, ok := ParseStatus(code)
	if !found || !ok {
		return malformedHead("status code")
	}
	if !validReason(reason) {
		return malformedHead("reason phrase")
	}
	h.Proto, h.Status, h.Reason = version, status, reason
	return nil
}

// addField adds a header field.
func (h *Head) addField(f Field) error {
	if len(h.Fields) >= MaxFields {
		return &Error{Operation: "parse head", Kind: KindTooLarge, Detail: "too many fields"}
	}
	h.Fields = append(h.Fields, f)
	return nil
}

// setBody determines from the fields how the body is framed (RFC 9112, section 6). A head that contradicts itself is
// malformed, since another reader may take another length from it.
func (h *Head) setBody() error {
	h.Length = LengthUnstated
	for _, f := range h.Fields {
		var err error
		switch f.Key {
		case keyContentLength:
			h.Length, err = AddLength(h.Length, f.Value)
		case keyTransferEncoding:
			err = h.addEncoding(f.Value)
		}
		if err != nil {
			return err
		}
	}
	switch {
	case h.Chunked && h.Length != LengthUnstated:
		return malformedHead("both Content-Length and Transfer-Encoding")
	case h.Chunked && h.Proto == protocol10:
		return malformedHead("Transfer-Encoding of HTTP/1.0")
	case h.statesImpossibleBody():
		return malformedHead("body of a response that has none")
	}
	return nil
}

// statesImpossibleBody reports whether the head states a body although responses with its status neither have one nor may
// state the length of another (RFC 9110, section 8.6; RFC 9112, section 6.1).
func (h *Head) statesImpossibleBody() bool {
	return (h.Interim() || h.Status == http.StatusNoContent) && (h.Chunked || h.Length > 0)
}

// AddLength returns the length of a body, in bytes, that a value of Content-Length states. stated is the length that earlier
// fields of the head state, or LengthUnstated; another one contradicts it.
func AddLength(stated int64, value string) (int64, error) {
	length, ok := parseLength(value)
	if !ok {
		return stated, malformedHead("Content-Length")
	}
	if stated != LengthUnstated && stated != length {
		return stated, malformedHead("conflicting Content-Length fields")
	}
	return length, nil
}

// addEncoding takes a value of Transfer-Encoding. Only the chunked encoding is supported, once. The length is compared because
// letters outside ASCII may equal others but for their case.
func (h *Head) addEncoding(value string) error {
	if h.Chunked || len(value) != len(encodingChunked) || !strings.EqualFold(value, encodingChunked) {
		return malformedHead("Transfer-Encoding")
	}
	h.Chunked = true
	return nil
}

// parseLength parses a length in bytes, which consists of digits only.
func parseLength(value string) (length int64, ok bool) {
	if !isDigits(value) {
		return 0, false
	}
	length, err := strconv.ParseInt(value, 10, 64)
	return length, err == nil
}
