package stutterer

import (
	"fmt"
	"strings"
	"time"
)

// clockFormat is the format of times in timelines and logs.
const clockFormat = "15:04:05.000"

// history is what callers and upstreams know of one request. The ledger guards it.
type history struct {
	id         string
	idempotent bool
	// origin is the service on whose VM the request began.
	origin string
	runs   []*run
	// answer is nil until the caller has got one.
	answer *answer
	// unrequested describes how the request differed from what the caller sent when it reached an upstream.
	unrequested []string
	timeline    strings.Builder
	touched     time.Time
}

// note adds a line to the timeline.
func (h *history) note(format string, arguments ...any) {
	h.touched = time.Now()
	fmt.Fprintf(&h.timeline, "%s %s\n", h.touched.UTC().Format(clockFormat), fmt.Sprintf(format, arguments...))
}
