package parser

import (
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Field is one header field.
type Field struct {
	// Key is the name in canonical form.
	Key string
	// Value has no whitespace at its ends and no control bytes other than tabs.
	Value string
}

// parseField parses a line, without its end, as a header field or a trailer: a token, a colon, and a value in optional
// whitespace (RFC 9110, section 5.5; RFC 9112, section 5). It reports false for any other line.
func parseField(line string) (Field, bool) {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return Field{}, false
	}
	return Field{Key: textproto.CanonicalMIMEHeaderKey(name), Value: strings.Trim(value, " \t")}, true
}
