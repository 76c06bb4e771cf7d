package forwarder

import (
	"strconv"
	"time"
)

const (
	// ranksPerClass leaves room for callers that come back before those of their class that are new.
	ranksPerClass = 2
	// returnedPart of the route's time is gone for a caller that comes back after a refusal.
	returnedPart = 0.03
	// maxRank bounds what another node may say.
	maxRank = 1 << 10
)

// entryRank returns the place of a call among those that wait for a slot. Callers that come back after a
// refusal go before new ones of their class, so that they are not turned away again while others enter.
func (x *exchange) entryRank() int {
	rank := ranksPerClass * x.view.Rank(x.route.Class)
	whole := time.Duration(x.route.TimeoutMs) * time.Millisecond
	if used := whole - x.deadline.Sub(x.startedAt); float64(used) > returnedPart*float64(whole) {
		return rank
	}
	return rank + 1
}

// peerRank returns the rank that the sending node has found.
func (x *exchange) peerRank(m *message) int {
	rank, err := strconv.Atoi(m.get(headerRank))
	if err != nil || rank < 0 || rank > maxRank {
		return ranksPerClass*x.view.Rank(x.route.Class) + 1
	}
	return rank
}
