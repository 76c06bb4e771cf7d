package controller

import "fmt"

// Kind classifies a controller error.
type Kind string

// Kinds of errors: an invalid request, a controller that has shut down, a write refused because a newer rollout
// controller has written, and a response of the log that is older than the state in force.
const (
	KindInvalid  Kind = "invalid"
	KindClosed   Kind = "closed"
	KindFenced   Kind = "fenced"
	KindOutdated Kind = "outdated"
)

// Error reports a request that was refused or could not be served.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail)
}
