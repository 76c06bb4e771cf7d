package stutterer

import (
	"fmt"
	"strings"
	"time"
)

// event is an entry of the timeline of a request.
type event struct {
	at   time.Time
	text string
}

// history is all that callers and upstreams know of one request. Its ledger guards it.
type history struct {
	id         string
	idempotent bool
	// origin is the service on whose VM the request began.
	origin  string
	runs    []*run
	answer  *answer
	odd     []string
	events  []event
	touched time.Time
}

// note adds an event. The caller holds the ledger's lock.
func (h *history) note(format string, arguments ...any) {
	h.touched = time.Now()
	h.events = append(h.events, event{h.touched, fmt.Sprintf(format, arguments...)})
}

// timeline formats the events, one per line.
func (h *history) timeline() string {
	var b strings.Builder
	for _, e := range h.events {
		fmt.Fprintf(&b, "  %s %s\n", e.at.UTC().Format("15:04:05.000"), e.text)
	}
	return b.String()
}
