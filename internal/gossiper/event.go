package gossiper

import "github.com/tamarackpitch/tamarackpitch/pkg/schema"

// EventKind tells what happened on the overlay.
type EventKind int

// Kinds of events.
const (
	// LinkOpened carries the link after both sides have said hello.
	LinkOpened EventKind = iota
	// LinkClosed carries a link that was opened before.
	LinkClosed
	// FrameReceived carries a link and a frame.
	FrameReceived
	// DialFailed carries the address that gave no link.
	DialFailed
	// ReportReceived carries a report on a rollout.
	ReportReceived
)

// Event is handed to the control goroutine.
type Event struct {
	Kind    EventKind
	Link    *Link
	Frame   *schema.Frame
	Address string
	Report  *schema.Report
}
