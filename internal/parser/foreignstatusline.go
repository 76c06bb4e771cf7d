package parser

import "strings"

// containsStatusLine reports whether a field line contains what may be the status line of another response, also a malformed one: part of
// a response that ends within a field, with the next response right after it, makes a head that may be well-formed. The protocol's name
// may be in lower case. Found are
//   - a version and a status code, whatever the code's length, also with another byte before it, unless it begins an address as in Via
//   - a version 1 right after a byte that doesn't separate words.
func containsStatusLine(line string) bool {
	for rest := line; ; {
		after, found := afterProtocol(rest)
		if !found {
			return false
		}
		rest = after
		before := line[:len(line)-len(rest)-len(protocolName+"/")]
		version := rest[:len(rest)-len(strings.TrimLeft(rest, "0123456789."))]
		if isVersion(version) && (beginsWithStatus(rest[len(version):]) || version[0] == '1' && !separatesWords(before)) {
			return true
		}
	}
}

// isVersion reports whether a text begins as a version of the protocol does.
func isVersion(text string) bool { return text != "" && isDigit(text[0]) }

// beginsWithStatus reports whether a text begins with blanks and a status code, perhaps with one other byte before it.
func beginsWithStatus(text string) bool {
	code := strings.TrimLeft(text, blanks)
	if code == text || code == "" {
		return false
	}
	if !isDigit(code[0]) {
		code = code[1:]
	}
	after := strings.TrimLeft(code, "0123456789")
	return after != code && !strings.HasPrefix(after, ".") && !strings.HasPrefix(after, ":")
}

// blanks are the bytes that separate words within a line.
const blanks = " \t"

// separatesWords reports whether a text ends where a word may begin.
func separatesWords(text string) bool {
	return text == "" || strings.ContainsAny(text[len(text)-1:], blanks+":;,(\"=")
}
