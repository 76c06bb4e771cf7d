package parser

import "fmt"

// Kind classifies an Error. Its value is part of the error text.
type Kind string

// Kinds of errors.
const (
	// KindMalformed is input that breaks the grammar.
	KindMalformed Kind = "malformed"
	// KindTooLarge is input above a limit.
	KindTooLarge Kind = "too-large"
)

// Error reports input that is no part of a valid response.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail) }

func malformedHead(detail string) error {
	return &Error{Operation: "parse head", Kind: KindMalformed, Detail: detail}
}

func malformedChunk(detail string) error {
	return &Error{Operation: "parse chunk", Kind: KindMalformed, Detail: detail}
}
