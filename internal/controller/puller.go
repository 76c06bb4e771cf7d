package controller

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
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
func (k *Controller) newestNeighbourPosition() reducer.Position {
	var newest reducer.Position
	for _, s := range k.links {
		newest = max(newest, s.coverage.Position)
	}
	return newest
}

// pullIfBehind pulls from a neighbour that is ahead, unless a pull is pending, or this node reads the log itself and
// has lagged for less than pullGrace. At the same position only a neighbour can supply what this node lacks.
func (k *Controller) pullIfBehind(now time.Time) {
	lag := k.lagTracker.lag(k.state.Position, k.newestNeighbourPosition(), now)
	if now.Sub(k.pendingPull.sentAt) < pullTimeout {
		return
	}
	l := k.mostAdvancedNeighbour()
	if l == nil || k.links[l].coverage.Position > k.state.Position && k.readsLog() && lag < pullGrace {
		return
	}
	k.pull(l, now)
}

// mostAdvancedNeighbour returns the link to the neighbour with the newest state that is newer than this node's, or nil. A
// neighbour whose pull timed out is returned only if no other is ahead.
func (k *Controller) mostAdvancedNeighbour() *gossiper.Link {
	var best *gossiper.Link
	own := k.state.Coverage()
	for l, s := range k.links {
		if s.coverage.Compare(own) <= 0 {
			continue
		}
		if best == nil || best == k.pendingPull.link || l != k.pendingPull.link && s.coverage.Compare(k.links[best].coverage) > 0 {
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
	k.sendPull(l, k.state.Coverage())
}

// sendPull requests what a node with the given coverage lacks.
func (k *Controller) sendPull(l *gossiper.Link, c reducer.Coverage) {
	f := k.frame()
	f.Pull = &schema.Pull{Position: uint64(c.Position), Inherited: c.Inherited.Encode(), Revision: c.Revision}
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
// A neighbour whose state holds, or lacks, records that the log has lost gets a state snapshot.
func (k *Controller) answerPull(l *gossiper.Link, p *schema.Pull) {
	asked := coverageOf(p)
	own := k.state.Coverage()
	if own.Compare(asked) <= 0 {
		return
	}
	sameHistory := asked.Position < own.Position && own.IncludesAll(asked) &&
		(asked.Inherited == own.Inherited || asked.Position.Era() < own.Position.Era())
	f := k.frame()
	f.Heartbeat = k.heartbeat(time.Now())
	for _, progress := range k.progress {
		f.Progress = append(f.Progress, progress)
	}
	if records, ok := k.history.from(asked.Position); ok && sameHistory {
		f.Records = records
	} else if delta, ok := k.changes.Since(asked.Position, k.state, k.digest); ok && sameHistory {
		f.Delta = delta
	} else if k.stateSnapshotLimiter.Allow() {
		f.Snapshot = &schema.Snapshot{State: k.state.Encode()}
	} else {
		f.Busy = &schema.Busy{ControlAddresses: k.randomAddresses()}
	}
	l.Send(f)
}
