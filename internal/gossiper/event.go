package gossiper

import "github.com/tamarackpitch/tamarackpitch/pkg/schema"

// EventKind is what happened on the overlay.
type EventKind int

// Kinds of events.
const (
	// LinkOpened carries a link after both sides have exchanged their hellos.
	LinkOpened EventKind = iota
	// LinkClosed carries a link that has ended. It follows the link's LinkOpened and its last FrameReceived.
	LinkClosed
	// FrameReceived carries a frame and the link it came on.
	FrameReceived
	// DialFailed carries the address that a link could not be opened to.
	DialFailed
	// ReportReceived carries another node's report on a rollout.
	ReportReceived
)

// Event is what the overlay passes to the control goroutine. Which fields are set depends on Kind.
type Event struct {
	Kind    EventKind
	Link    *Link
	Frame   *schema.Frame
	Address string
	Report  *schema.Report
}
