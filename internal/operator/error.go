package operator

import "fmt"

// Kind classifies an operator error.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that no node or log answered; nothing is known to have changed.
	KindUnreachable Kind = "unreachable"
	// KindRejected means that the record was read and is void.
	KindRejected Kind = "rejected"
	// KindUnknown means that a record may still take effect.
	KindUnknown Kind = "unknown"
	KindInvalid Kind = "invalid"
)

// Error reports a command that did not do what was asked.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail) }
