package scenarios_test

import (
	"fmt"
	"time"
)

// stopCall is a call as its client saw it.
type stopCall struct {
	id, path string
	// entry is the name of the node that the client called; "child" for the calls of upstreams.
	entry string
	kept  bool
	// sentAt is when the last byte of the request was sent; endedAt when its response or its connection ended.
	sentAt, endedAt time.Time
	// limit is when the call's deadline or its route's timeout is reached, after it was sent.
	limit  time.Duration
	status int
	run    string
	reason string
	closes bool
	// err is set if the connection ended without a complete response; refused if it was not opened.
	err     error
	refused bool
}

func (c stopCall) String() string {
	return fmt.Sprintf("%s at %s (kept %v) status %d run %s %s took %v err %v", c.path, c.entry, c.kept, c.status, c.run, c.reason,
		c.endedAt.Sub(c.sentAt).Round(time.Millisecond), c.err)
}
