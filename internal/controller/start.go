package controller

import "time"

const (
	// minInformedPeers is the number of peers whose positions replace that of the log while it is unavailable.
	minInformedPeers = 3
	// logGrace is how long a starting node waits for the log before it relies on peers alone.
	logGrace = 500 * time.Millisecond
)

// startState decides when a starting node becomes ready: once it has reached the newest position that the log, or
// several peers, have reported.
type startState struct {
	since time.Time
	// ready is set once and stays set.
	ready bool
	// logRead is set once this node has read the log itself.
	logRead bool
	// target is the newest position reported.
	target uint64
	// peers holds the peers that know of a read of the log.
	peers map[string]bool
}

func newStartState(now time.Time) startState {
	return startState{since: now, peers: map[string]bool{}}
}

// hear records the position of a peer. The peer counts towards minInformedPeers only if it knows of a read of the log:
// peers that have just started know no more than this node.
func (s *startState) hear(node string, position uint64, informed bool) {
	if s.ready {
		return
	}
	if informed {
		s.peers[node] = true
	}
	s.target = max(s.target, position)
}

// hearLog records a read of the log and the offset after its newest record.
func (s *startState) hearLog(next uint64) {
	if s.ready {
		return
	}
	s.logRead = true
	s.target = max(s.target, next)
}

// reason returns why the node is not ready, or an empty string. news is the newest known read of the log by any node.
func (s *startState) reason(position uint64, members int, news freshness, now time.Time) string {
	if s.ready {
		return ""
	}
	needed := min(minInformedPeers, members-1)
	byPeers := needed > 0 && len(s.peers) >= needed && now.Sub(s.since) >= logGrace
	switch {
	case !s.logRead && !news.isFresh(now) && !byPeers:
		return "neither the log nor enough peers reached"
	case position < s.target:
		return "catching up with the newest configuration"
	}
	return ""
}

// notReady returns why this node takes no calls, or an empty string.
func (k *Controller) notReady(now time.Time) string {
	return k.start.reason(k.state.Position, k.table.Len(), k.news, now)
}

// checkStart makes the node ready once notReady returns no reason.
func (k *Controller) checkStart(now time.Time) {
	if k.start.ready || k.notReady(now) != "" {
		return
	}
	k.start.ready = true
	k.snapshotCache.dirtyAll = true
	k.keepProgress(k.savedProgress)
	k.savedProgress = nil
	close(k.joined)
	k.common.Logger.Info("node ready",
		"version", k.state.Version, "members", k.table.Len(), "news-age", k.news.String())
	k.record("node-ready", nil)
}
