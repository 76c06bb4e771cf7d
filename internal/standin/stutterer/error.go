package stutterer

import "fmt"

// Error reports a mesh that does not run as it should.
type Error struct {
	Operation string
	Detail    string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Operation, e.Detail) }
