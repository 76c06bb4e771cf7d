package stutterer

import (
	"bytes"
	"fmt"
)

// run is one run of a request by an upstream. Its history's ledger guards it.
type run struct {
	history  *history
	number   int
	upstream string
	// status and seal are set once the run has decided on its response.
	status int
	seal   string
}

// sealOf returns the seal of a response of a run. It names the run and states the length of the body and the status.
func (r *run) sealOf(status, length int) string {
	return fmt.Sprintf("%d;%s;%s;%d;%d", r.number, r.history.id, r.upstream, length, status)
}

// bodyOf returns the body of the response with a seal.
func bodyOf(seal string, length int) []byte {
	line := []byte(seal + "\n")
	return bytes.Repeat(line, length/len(line)+1)[:length]
}
