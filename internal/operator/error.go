package operator

import "fmt"

// Kind classifies an operator error.
type Kind string

// Kinds of operator errors.
const (
	// KindUnreachable means that no node responded, that the log refused the record, or that a version was not in force
	// on all nodes in time. Nothing is known to have changed.
	KindUnreachable Kind = "unreachable"
	// KindRejected means that the record is in the log but was rejected; nothing changed.
	KindRejected Kind = "rejected"
	// KindUnknown means that the result is not known: the record may still take effect.
	KindUnknown Kind = "unknown"
	// KindInvalid means that the record can't be encoded or is too large; nothing was sent.
	KindInvalid Kind = "invalid"
)

// Error reports a failed command.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail) }
