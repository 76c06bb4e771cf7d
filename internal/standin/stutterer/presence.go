package stutterer

import "time"

// presence is what is known of the process of a node at a moment.
type presence struct {
	// process numbers the processes that had the VM's addresses, one after the other.
	process int
	// calmSince is the start of the process or the end of the VM's last disruption. It is zero during a disruption.
	calmSince time.Time
}

// bound reports whether the bounds of the platform hold for a node whose presence is the same all the time, from the time when a
// request is sent to that of its answer.
func (p presence) bound(sent time.Time) bool {
	return !p.calmSince.IsZero() && sent.Sub(p.calmSince) >= catchUpTime
}
