package app

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/settings"
)

const (
	// drainShare is the share of the grace time that has passed when the drain ends. The rest is for the end of the process.
	drainShare = 0.9
	// minDrainTimeout leaves running calls some time even if the grace time is shorter than --leave-delay.
	minDrainTimeout = 200 * time.Millisecond
)

// drainTimeout returns how long the drain may last. If the settings state the grace time, it lasts until shortly before its
// end: calls that run then are broken off, so that it must not end earlier than it has to.
func drainTimeout(s settings.Node) time.Duration {
	if s.Grace == 0 {
		return s.DrainTimeout
	}
	end := time.Duration(drainShare * float64(s.Grace))
	return max(end-s.LeaveDelay, minDrainTimeout)
}
