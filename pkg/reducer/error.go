package reducer

import "fmt"

// Kind classifies a reducer error.
type Kind string

// Kinds of reducer errors.
const (
	// KindGap means that records before this one have not been applied yet.
	KindGap Kind = "gap"
	// KindCorrupt means that the record can't be decoded.
	KindCorrupt Kind = "corrupt"
	// KindConflict means that the record contradicts an earlier one: it is based on an outdated version, or closes a
	// rollout that is already closed.
	KindConflict Kind = "conflict"
	// KindInvalid means that the content, or the state that would result, is invalid.
	KindInvalid Kind = "invalid"
	// KindDuplicate means that a record with the same id has a verdict.
	KindDuplicate Kind = "duplicate"
)

// Error reports why a record, state or delta was rejected. An error from applying the body of a record is stored as
// text in the record's verdict, which the state's digest covers: the text must be the same in all builds of a mesh.
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
