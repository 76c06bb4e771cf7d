package poller

import "fmt"

// Kind classifies a poller error.
type Kind string

// Kinds of errors.
const (
	KindStart  Kind = "start"
	KindAdd    Kind = "add"
	KindClosed Kind = "closed"
)

// Error reports a failure to start the poller or to add a connection.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail)
}
