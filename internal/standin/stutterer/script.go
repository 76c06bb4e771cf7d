package stutterer

import "time"

// ending is what becomes of a connection after a script.
type ending int

// Endings.
const (
	endOpen ending = iota
	endClose
	endReset
)

// step is a write after a pause.
type step struct {
	pause time.Duration
	data  []byte
}

// script is what an upstream writes to a connection, and how that leaves the connection.
type script struct {
	steps  []step
	ending ending
}

// plan is how an upstream responds to a request: with a first response and, unless late is nil, a second one. text
// describes it in the timeline.
type plan struct {
	first script
	late  *script
	text  string
}
