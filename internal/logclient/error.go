package logclient

import "fmt"

// Kind classifies an error of the log client.
type Kind string

// Kinds of errors.
const (
	// KindUnavailable means that the log gave no usable response. An append may have taken effect.
	KindUnavailable Kind = "unavailable"
	// KindExpired means that the requested records are no longer retained.
	KindExpired Kind = "expired"
	// KindRefused means that the request was refused and had no effect.
	KindRefused Kind = "refused"
)

// Error reports a failed request to the log.
type Error struct {
	Operation string
	Kind      Kind
	Cause     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("log %s: %s: %v", e.Operation, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
