package controller

import (
	"slices"
	"time"
)

const (
	// lossWindow is how long a link that was lost counts.
	lossWindow = 2 * time.Second
	// minLosses is the number of lost links from which a node takes part of the mesh for lost.
	minLosses = 2
)

// linkLosses holds when links were lost: closed, but not by this node and without an announcement. It has no clock.
type linkLosses struct {
	at []time.Time
}

// record adds the loss of a link.
func (l *linkLosses) record(now time.Time) {
	l.at = slices.DeleteFunc(l.at, func(t time.Time) bool { return now.Sub(t) > lossWindow })
	l.at = append(l.at, now)
}

// areMost reports whether a node with a number of links has lost as many or more within lossWindow, so that the readers of the log may be
// among what was lost.
func (l *linkLosses) areMost(links int, now time.Time) bool {
	lost := 0
	for _, t := range l.at {
		if now.Sub(t) <= lossWindow {
			lost++
		}
	}
	return lost >= minLosses && lost >= links
}
