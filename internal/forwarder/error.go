package forwarder

import "fmt"

// Kind classifies a forwarder error.
type Kind string

// Kinds of errors.
const (
	KindListen    Kind = "listen"
	KindMalformed Kind = "malformed"
	KindTooLarge  Kind = "too-large"
	KindCut       Kind = "cut"
	KindDial      Kind = "dial"
	KindTimeout   Kind = "timeout"
)

// Error reports a failure of a connection or of a message on it.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Operation, e.Kind, e.Detail)
}
