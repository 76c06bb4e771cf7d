package returner

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds.
const (
	// KindTimeout: the mesh did not come to a state in time.
	KindTimeout Kind = "timeout"
	// KindViolation: a node violated an invariant.
	KindViolation Kind = "violation"
)

// Error reports a mesh that does not run as it should.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail) }
