package controller

import "time"

const (
	// peersToTrust is the number of peers whose positions stand in for the log while it is down.
	peersToTrust = 3
	// logGrace is how long a starting node waits for the log before peers alone will do.
	logGrace = 500 * time.Millisecond
)

// startState tells when a starting node may take calls: not before it has reached the
// newest position that the log, or several peers, have told it of.
type startState struct {
	since time.Time
	ready bool
	// logHeard tells that this node has read the log itself.
	logHeard bool
	target   uint64
	// peers holds the peers that know of a read of the log.
	peers map[string]bool
}

func newStartState(now time.Time) startState {
	return startState{since: now, peers: map[string]bool{}}
}

// hear takes in the position of a peer. It counts as evidence only if the peer knows of a read of the log: peers that
// have just started know no more than this node.
func (s *startState) hear(node string, position uint64, informed bool) {
	if s.ready {
		return
	}
	if informed {
		s.peers[node] = true
	}
	s.target = max(s.target, position)
}

func (s *startState) hearLog(next uint64) {
	if s.ready {
		return
	}
	s.logHeard = true
	s.target = max(s.target, next)
}

// reason returns why the node is not ready, or an empty string. The news are those of the log's reads.
func (s *startState) reason(position uint64, members int, news freshness, now time.Time) string {
	if s.ready {
		return ""
	}
	needed := min(peersToTrust, members-1)
	byPeers := needed > 0 && len(s.peers) >= needed && now.Sub(s.since) >= logGrace
	switch {
	case !s.logHeard && !news.isFresh(now) && !byPeers:
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

func (k *Controller) checkStart(now time.Time) {
	if k.start.ready || k.notReady(now) != "" {
		return
	}
	k.start.ready = true
	k.view.dirtyAll = true
	k.keepProgress(k.savedProgress)
	k.savedProgress = nil
	close(k.joined)
	k.common.Logger.Info("node ready", "version", k.state.Version, "members", k.table.Len(), "news-age", k.news.String())
	k.record("node-ready", nil)
}
