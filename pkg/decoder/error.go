package decoder

import "fmt"

// Kind classifies a decoder error.
type Kind string

// Kinds of decoder errors.
const (
	// KindSyntax means that the text is not valid YAML, or has unknown keys or values of a wrong type.
	KindSyntax Kind = "syntax"
	// KindValue means that a value is missing or out of range.
	KindValue Kind = "value"
	// KindRead means that a file can't be read.
	KindRead Kind = "read"
	// KindSize means that a file is larger than MaxFileBytes.
	KindSize Kind = "size"
)

// Error reports a file or declaration that can't be decoded. Unknown fields are empty; Expected describes the values
// that Key accepts.
type Error struct {
	Operation string
	Kind      Kind
	File      string
	Line      int
	Key       string
	Expected  string
	Cause     error
}

// Error implements error.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	text := fmt.Sprintf("%s: %s: %s error", location, e.Operation, e.Kind)
	if e.Key != "" {
		text += fmt.Sprintf(" at key %q", e.Key)
	}
	if e.Expected != "" {
		text += ", expected " + e.Expected
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
