package controller

import "time"

const (
	// minInformedPeers is the number of peers whose positions replace that of the log while it is unavailable.
	minInformedPeers = 3
	// logWaitTimeout is how long a starting node waits for the log before it relies on peers alone.
	logWaitTimeout = 500 * time.Millisecond
)

// startState decides when a starting node becomes ready: once it has reached the newest position that the log, or
// several peers, have reported.
type startState struct {
	startedAt time.Time
	// ready is set once and stays set.
	ready bool
	// logRead is set once this node has read the log itself.
	logRead bool
	// target is the newest position reported.
	target uint64
	// informedPeers holds the peers, with a link or since disconnected, that have reported a read of the log.
	informedPeers map[string]bool
}

func newStartState(now time.Time) startState {
	return startState{startedAt: now, informedPeers: map[string]bool{}}
}

// observePeer records the position of a peer. The peer counts towards minInformedPeers only if it is informed, which
// means that it knows of a read of the log: peers that have just started know no more than this node.
func (s *startState) observePeer(node string, position uint64, informed bool) {
	if s.ready {
		return
	}
	if informed {
		s.informedPeers[node] = true
	}
	s.target = max(s.target, position)
}

// observeLog records a read of the log and the offset after its newest record.
func (s *startState) observeLog(next uint64) {
	if s.ready {
		return
	}
	s.logRead = true
	s.target = max(s.target, next)
}

// notReadyReason returns why the node is not ready, or an empty string. freshness is the newest known read of the log
// by any node.
func (s *startState) notReadyReason(position uint64, members int, freshness logFreshness, now time.Time) string {
	if s.ready {
		return ""
	}
	needed := min(minInformedPeers, members-1)
	byPeers := needed > 0 && len(s.informedPeers) >= needed && now.Sub(s.startedAt) >= logWaitTimeout
	switch {
	case !s.logRead && !freshness.isFresh(now) && !byPeers:
		return "neither the log nor enough peers reached"
	case position < s.target:
		return "catching up with the newest configuration"
	}
	return ""
}

// notReadyReason returns why this node is not ready, or an empty string.
func (k *Controller) notReadyReason(now time.Time) string {
	return k.start.notReadyReason(k.state.Position, k.table.Len(), k.freshness, now)
}

// updateReadiness makes the node ready once notReadyReason returns an empty string.
func (k *Controller) updateReadiness(now time.Time) {
	if k.start.ready || k.notReadyReason(now) != "" {
		return
	}
	k.start.ready = true
	k.snapshotCache.dirtyAll = true
	k.mergeProgressWhenReady(k.savedProgress)
	k.savedProgress = nil
	close(k.readyCh)
	k.common.Logger.Info("node ready",
		"version", k.state.Version, "members", k.table.Len(), "news-age", k.freshness.String())
	k.recordEvent("node-ready", nil)
}
