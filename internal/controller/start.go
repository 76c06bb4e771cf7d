package controller

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

const (
	// minInformedPeers is the number of peers whose positions replace that of the log while it is unavailable.
	minInformedPeers = 3
	// logWaitTimeout is how long a starting node waits for the log before it relies on peers alone.
	logWaitTimeout = 500 * time.Millisecond
	// peerWaitTimeout is how long a starting node waits for an informed peer before it relies on the log alone.
	peerWaitTimeout = 2 * time.Second
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
	target reducer.Position
	// knowsMembers is set once the log has named other members of the mesh.
	knowsMembers bool
	// informedPeers holds the peers, with a link or since disconnected, that have reported a read of the log.
	informedPeers map[string]bool
}

func newStartState(now time.Time) startState {
	return startState{startedAt: now, informedPeers: map[string]bool{}}
}

// observePeer records the position of a peer. The peer counts towards minInformedPeers only if it is informed, which
// means that it knows of a read of the log: peers that have just started know no more than this node.
func (s *startState) observePeer(node string, position reducer.Position, informed bool) {
	if s.ready {
		return
	}
	if informed {
		s.informedPeers[node] = true
	}
	s.target = max(s.target, position)
}

// observeLog records a read of the log and the position after its newest record.
func (s *startState) observeLog(next reducer.Position) {
	if s.ready {
		return
	}
	s.logRead = true
	s.target = max(s.target, next)
}

// notReadyReason returns why the node is not ready, or an empty string. freshness is the newest known read of the log
// by any node.
func (s *startState) notReadyReason(position reducer.Position, members int, freshness logFreshness, now time.Time) string {
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
	case s.awaitsPeer(position, now):
		return "waiting for a peer, since the log may have lost records"
	}
	return ""
}

// awaitsPeer reports whether the node still waits for an informed peer. Where the log states eras, it may have returned from
// a copy, and only nodes that have read it before know what was lost.
func (s *startState) awaitsPeer(position reducer.Position, now time.Time) bool {
	return position.Era() > 0 && s.knowsMembers && len(s.informedPeers) == 0 && now.Sub(s.startedAt) < peerWaitTimeout
}

// notReadyReason returns why this node is not ready, or an empty string.
func (k *Controller) notReadyReason(now time.Time) string {
	return k.start.notReadyReason(k.state.Position, k.table.Len(), k.freshness, now)
}

// lacksInherited reports whether a neighbour holds records of earlier eras that this node lacks.
func (k *Controller) lacksInherited() bool {
	own := k.state.Coverage()
	for _, s := range k.links {
		if !own.IncludesAll(s.coverage.OfErasBefore(own.Position)) {
			return true
		}
	}
	return false
}

// updateReadiness makes the node ready once notReadyReason returns an empty string and its neighbours have supplied what
// the log has lost.
func (k *Controller) updateReadiness(now time.Time) {
	if k.start.ready || k.notReadyReason(now) != "" || k.lacksInherited() && now.Sub(k.start.startedAt) < peerWaitTimeout {
		return
	}
	k.start.ready = true
	k.snapshotCache.dirtyAll = true
	close(k.readyCh)
	k.common.Logger.Info("node ready",
		"version", reducer.Position(k.state.Version), "members", k.table.Len(), "news-age", k.freshness.String())
	k.recordEvent("node-ready", nil)
}
