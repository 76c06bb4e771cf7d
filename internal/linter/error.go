package linter

import "fmt"

// ErrorKind classifies a linter error.
type ErrorKind string

// Kinds of errors.
const (
	// KindInvalid means that the configuration has errors.
	KindInvalid ErrorKind = "invalid"
	// KindUnreadable means that a file can't be read, or is no configuration to compare with.
	KindUnreadable ErrorKind = "unreadable"
)

// Error reports that a configuration can't be sent, or was not checked.
type Error struct {
	Operation string
	Kind      ErrorKind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail) }
