package controller

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// pullTimeout is how long a neighbour has to answer a pull before another one is asked.
const pullTimeout = 400 * time.Millisecond

// pendingPull is a request to a neighbour for what this node lacks. The zero value means that none is pending.
type pendingPull struct {
	link   *gossiper.Link
	sentAt time.Time
}

// newestNeighbourPosition returns the highest position reported by a current neighbour, or 0.
func (k *Controller) newestNeighbourPosition() uint64 {
	var newest uint64
	for _, s := range k.links {
		newest = max(newest, s.position)
	}
	return newest
}

// pullIfBehind pulls from a neighbour that is ahead, unless a pull is pending, or this node reads the log itself and
// has lagged for less than pullGrace.
func (k *Controller) pullIfBehind(now time.Time) {
	lag := k.lagTracker.lag(k.state.Position, k.newestNeighbourPosition(), now)
	if now.Sub(k.pendingPull.sentAt) < pullTimeout || k.readsLog() && lag < pullGrace {
		return
	}
	if l := k.mostAdvancedNeighbour(); l != nil {
		k.pull(l, now)
	}
}

// mostAdvancedNeighbour returns the link to the neighbour with the highest position above this node's, or nil. A
// neighbour whose pull timed out is returned only if no other is ahead.
func (k *Controller) mostAdvancedNeighbour() *gossiper.Link {
	var best *gossiper.Link
	for l, s := range k.links {
		if s.position <= k.state.Position {
			continue
		}
		if best == nil || best == k.pendingPull.link || l != k.pendingPull.link && s.position > k.links[best].position {
			best = l
		}
	}
	return best
}

// readsLog reports whether this node reads the log itself and the last read succeeded.
func (k *Controller) readsLog() bool {
	return k.start.ready && k.reader.active.Load() && !k.reader.lastReadFailed.Load()
}

// pull sends a pull for this node's position and makes it the pending one.
func (k *Controller) pull(l *gossiper.Link, now time.Time) {
	k.pendingPull = pendingPull{link: l, sentAt: now}
	k.sendPull(l, k.state.Position)
}

// sendPull requests what a node at the given position lacks.
func (k *Controller) sendPull(l *gossiper.Link, position uint64) {
	f := k.frame()
	f.Pull = &schema.Pull{Position: position}
	l.Send(f)
}

// clearPull clears the pending pull if it was sent on a link that has now answered or closed.
func (k *Controller) clearPull(l *gossiper.Link) {
	if k.pendingPull.link == l {
		k.pendingPull = pendingPull{}
	}
}

// answerPull sends what the neighbour lacks, together with the progress of rollouts: the records if the history still
// has them, else a delta, else a state snapshot within the rate limit. Beyond the limit it names other nodes to dial.
func (k *Controller) answerPull(l *gossiper.Link, p *schema.Pull) {
	if p.Position >= k.state.Position {
		return
	}
	f := k.frame()
	f.Heartbeat = k.heartbeat(time.Now())
	for _, progress := range k.progress {
		f.Progress = append(f.Progress, progress)
	}
	if records, ok := k.history.from(p.Position); ok {
		f.Records = records
	} else if delta, ok := k.changes.Since(p.Position, k.state, k.digest); ok {
		f.Delta = delta
	} else if k.stateSnapshotLimiter.Allow() {
		f.Snapshot = &schema.Snapshot{State: k.state.Encode()}
	} else {
		f.Busy = &schema.Busy{ControlAddresses: k.randomAddresses()}
	}
	l.Send(f)
}
