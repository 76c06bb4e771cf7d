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

// script is what an upstream writes to a connection.
type script struct {
	steps  []step
	ending ending
	// text describes the script for the timeline.
	text string
}
