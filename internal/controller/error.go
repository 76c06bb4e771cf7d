package controller

import "fmt"

// Kind classifies a controller error.
type Kind string

// Kinds of errors.
const (
	KindInvalid Kind = "invalid"
	KindClosed  Kind = "closed"
	KindFenced  Kind = "fenced"
)

// Error reports a request that the control goroutine refused.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail)
}
