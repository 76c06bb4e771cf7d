package stutterer

import (
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// absence is how the store is away before it returns from a copy.
type absence struct {
	name string
	// faults are what requests meet meanwhile. Without faults, the length is 0.
	faults standin.Faults
	length time.Duration
}

// absences are all kinds, without their lengths.
var absences = []absence{
	{name: "refuses", faults: standin.Faults{RefuseStatus: http.StatusServiceUnavailable}},
	{name: "does not respond", faults: standin.Faults{Unresponsive: true}},
	{name: "disconnects", faults: standin.Faults{Disconnect: true}},
	{name: "none"},
}
