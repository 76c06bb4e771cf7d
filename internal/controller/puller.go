package controller

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// pullTimeout is how long a neighbour has to answer before another one is asked.
const pullTimeout = 400 * time.Millisecond

// pullState is the question to a neighbour that is under way. At the zero value none is.
type pullState struct {
	link   *gossiper.Link
	sentAt time.Time
}

// newestHeard returns the newest position that a neighbour has told of.
func (k *Controller) newestHeard() uint64 {
	var newest uint64
	for _, s := range k.links {
		newest = max(newest, s.position)
	}
	return newest
}

// pullIfBehind asks a neighbour that is ahead, unless one is asked already, or this node reads the log itself and
// will have it at once.
func (k *Controller) pullIfBehind(now time.Time) {
	lag := k.lag.lag(k.state.Position, k.newestHeard(), now)
	if now.Sub(k.pulling.sentAt) < pullTimeout || k.readsLog() && lag < pullGrace {
		return
	}
	if l := k.mostAdvancedNeighbour(); l != nil {
		k.pull(l, now)
	}
}

// mostAdvancedNeighbour returns a neighbour that is ahead of this node, or nil. The one that was asked last is asked again
// only where there is no other.
func (k *Controller) mostAdvancedNeighbour() *gossiper.Link {
	var best *gossiper.Link
	for l, s := range k.links {
		if s.position <= k.state.Position {
			continue
		}
		if best == nil || best == k.pulling.link || l != k.pulling.link && s.position > k.links[best].position {
			best = l
		}
	}
	return best
}

// readsLog tells whether this node follows the log itself, and can.
func (k *Controller) readsLog() bool {
	return k.start.ready && k.reader.active.Load() && !k.reader.lastReadFailed.Load()
}

// pull asks a neighbour for what this node lacks.
func (k *Controller) pull(l *gossiper.Link, now time.Time) {
	k.pulling = pullState{link: l, sentAt: now}
	k.sendPull(l, k.state.Position)
}

// sendPull asks a neighbour for what a node at a position lacks.
func (k *Controller) sendPull(l *gossiper.Link, position uint64) {
	f := k.frame()
	f.Pull = &schema.Pull{Position: position}
	l.Send(f)
}

// clearPull notes that the neighbour has answered.
func (k *Controller) clearPull(l *gossiper.Link) {
	if k.pulling.link == l {
		k.pulling = pullState{}
	}
}

// answerPull tells a neighbour what it lacks, and how rollouts stand in that state.
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
	} else if k.snapshotLimit.Allow() {
		f.Snapshot = &schema.Snapshot{State: k.state.Encode()}
	} else {
		f.Busy = &schema.Busy{ControlAddresses: k.randomAddresses()}
	}
	l.Send(f)
}
