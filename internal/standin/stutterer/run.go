package stutterer

import (
	"bytes"
	"fmt"
)

// run is one run of a request by an upstream. The ledger guards it.
type run struct {
	history  *history
	number   int
	upstream string
	// service is that of the upstream.
	service string
	// status and seal are those of the response, once the run has decided on it.
	status int
	seal   string
}

// sealOf returns the seal of a response of the run. It names the run and states the body's length and the status.
func (r *run) sealOf(status, length int) string {
	return fmt.Sprintf("%d;%s;%s;%d;%d", r.number, r.history.id, r.upstream, length, status)
}

// repeat returns a body of the given length that repeats a line. Bodies of responses repeat their seal, and those of
// requests their ID.
func repeat(line string, length int) []byte {
	return bytes.Repeat([]byte(line+"\n"), length/(len(line)+1)+1)[:length]
}
