package forwarder

import "fmt"

// Kind classifies an Error. Its value is part of the error text.
type Kind string

// Kinds of errors.
const (
	// KindListen is a failure to listen or to start the poller.
	KindListen Kind = "listen"
	// KindMalformed is input that is not a valid or expected HTTP message.
	KindMalformed Kind = "malformed"
	// KindTooLarge is a message above a size limit.
	KindTooLarge Kind = "too-large"
	// KindCut is a closed connection, or a message that ended before it was complete.
	KindCut  Kind = "cut"
	KindDial Kind = "dial"
	// KindTimeout is a request head that took too long to arrive.
	KindTimeout Kind = "timeout"
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
