package reducer

import "fmt"

// Kind classifies a reducer error.
type Kind string

// Kinds of reducer errors.
const (
	KindGap       Kind = "gap"
	KindCorrupt   Kind = "corrupt"
	KindConflict  Kind = "conflict"
	KindInvalid   Kind = "invalid"
	KindDuplicate Kind = "duplicate"
)

// Error reports a record that changes nothing, with the reason an operator sees.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail)
}

func invalid(format string, arguments ...any) error {
	return &Error{Operation: "validate", Kind: KindInvalid, Detail: fmt.Sprintf(format, arguments...)}
}
