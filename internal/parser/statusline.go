package parser

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	protocolName = "HTTP"
	// ProtocolPrefix begins each response.
	ProtocolPrefix = "HTTP/1."
	// statusDigits is the length of a status code.
	statusDigits = 3
	// statusLineBytes is the length of a status line up to its status code: "HTTP/1.1 200".
	statusLineBytes = len(ProtocolPrefix) + len("1 ") + statusDigits

	minStatus = 100
	maxStatus = 599
)

// ParseStatus parses a status code: three digits that name one of the five classes (RFC 9110, section 15). A switch of
// protocols answers no request, since none asks for it.
func ParseStatus(code string) (status int, ok bool) {
	if len(code) != statusDigits || !isDigits(code) {
		return 0, false
	}
	status, err := strconv.Atoi(code)
	return status, err == nil && status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// validReason reports whether a reason phrase is valid. It may consist of the bytes of which field values do. One that names
// the protocol has another status line in it, so that an incomplete response lies before the complete one.
func validReason(reason string) bool {
	return httpguts.ValidHeaderFieldValue(reason) && !NamesProtocol(reason)
}

// NamesProtocol reports whether a text contains "HTTP/" in upper or lower case, as a status line does, also a malformed one.
func NamesProtocol(text string) bool {
	_, found := afterProtocol(text)
	return found
}

// afterProtocol returns what follows the first "HTTP/" of a text, in upper or lower case.
func afterProtocol(text string) (rest string, found bool) {
	for {
		before, after, found := strings.Cut(text, "/")
		if !found {
			return "", false
		}
		if n := len(before) - len(protocolName); n >= 0 && strings.EqualFold(before[n:], protocolName) {
			return after, true
		}
		text = after
	}
}

// AfterStatusLine returns what follows the first status code in b that is part of a status line. If a response's head has
// one after its own, an incomplete response lies before the complete one, and the status and header fields may belong to
// the former.
func AfterStatusLine(b []byte) (rest []byte, found bool) {
	for {
		i := bytes.Index(b, []byte(ProtocolPrefix))
		if i < 0 || len(b) < i+statusLineBytes {
			return nil, false
		}
		b = b[i+len(ProtocolPrefix):]
		if (b[0] == '0' || b[0] == '1') && b[1] == ' ' && isDigit(b[2]) && isDigit(b[3]) && isDigit(b[4]) {
			return b[5:], true
		}
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isDigits reports whether a text consists of one or more digits.
func isDigits(s string) bool {
	for i := range len(s) {
		if !isDigit(s[i]) {
			return false
		}
	}
	return s != ""
}
