package decoder

import "fmt"

// Kind classifies a decoder error.
type Kind string

// Kinds of decoder errors.
const (
	KindSyntax Kind = "syntax"
	KindValue  Kind = "value"
	KindRead   Kind = "read"
	KindSize   Kind = "size"
)

// Error reports a declaration that can't be read. File and Line are empty when unknown.
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
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	text := fmt.Sprintf("%s: %s: %s error", place, e.Operation, e.Kind)
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
