package gossiper

import "fmt"

// Kind classifies a gossiper error.
type Kind string

// Kinds of errors.
const (
	KindDial     Kind = "dial"
	KindProtocol Kind = "protocol"
	KindListen   Kind = "listen"
	KindReport   Kind = "report"
	KindTokens   Kind = "tokens"
	// KindMalformed is input that is no part of a valid response.
	KindMalformed Kind = "malformed"
)

// Error is a failed operation of the overlay.
type Error struct {
	Operation string
	Kind      Kind
	Cause     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("overlay %s: %s: %v", e.Operation, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
