package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// peersToTrust is the number of peers whose positions stand in for the log while it is down.
	peersToTrust = 3
	// logGrace is how long a starting node waits for the log before peers alone will do.
	logGrace  = 500 * time.Millisecond
	joinRetry = time.Second
)

// startState tells when a starting node may take calls: not before it has reached the
// newest position that the log, or several peers, have told it of.
type startState struct {
	since      time.Time
	ready      bool
	logHeard   bool
	target     uint64
	peers      map[string]bool
	nextRejoin time.Time
}

func newStartState(now time.Time) startState {
	return startState{since: now, peers: map[string]bool{}}
}

func (s *startState) hear(node string, position uint64) {
	if s.ready {
		return
	}
	s.peers[node] = true
	s.target = max(s.target, position)
}

func (s *startState) hearLog(next uint64) {
	if s.ready {
		return
	}
	s.logHeard = true
	s.target = max(s.target, next)
}

// reason returns why the node is not ready, or an empty string.
func (s *startState) reason(position uint64, members int, now time.Time) string {
	if s.ready {
		return ""
	}
	needed := min(peersToTrust, members-1)
	byPeers := needed > 0 && len(s.peers) >= needed && now.Sub(s.since) >= logGrace
	switch {
	case !s.logHeard && !byPeers:
		return "neither the log nor enough peers reached"
	case position < s.target:
		return "catching up with the newest configuration"
	}
	return ""
}

func (k *Controller) checkStart(now time.Time) {
	if k.start.ready || k.start.reason(k.state.Position, k.table.Len(), now) != "" {
		return
	}
	k.start.ready = true
	k.view.dirtyAll = true
	k.common.Logger.Info("node ready", "version", k.state.Version, "members", k.table.Len())
	k.record("node-ready", nil)
}

// joiner finds the log's newest position and first peers for a starting node.
type joiner struct {
	controller *Controller
}

// run tries until the node is ready.
func (j *joiner) run() {
	k := j.controller
	k.do(func() {
		for _, p := range k.common.Settings.Peers {
			k.dial(p, time.Now())
		}
	})
	if len(k.common.Settings.Peers) > 0 {
		// Full jitter keeps a herd of restarted nodes from asking the log at once.
		time.Sleep(time.Duration(rand.Int64N(int64(joinRetry))))
	}
	for {
		j.askLog()
		ready := true
		if !k.do(func() { ready = k.start.ready }) || ready {
			return
		}
		time.Sleep(joinRetry/2 + time.Duration(rand.Int64N(int64(joinRetry))))
	}
}

func (j *joiner) askLog() {
	k := j.controller
	b, err := k.config.Log.Begin(context.Background())
	if err != nil {
		k.common.Logger.Warn("log not reached", "reason", err)
		return
	}
	k.do(func() { k.begin(b, time.Now()) })
}

// begin takes in what the log tells a starting node.
func (k *Controller) begin(b Beginning, now time.Time) {
	k.start.hearLog(b.Next)
	if b.State != nil {
		k.adoptSnapshot(&schema.Snapshot{State: b.State}, now)
	}
	for _, p := range b.Progress {
		k.mergeProgress(p, nil)
	}
	for _, m := range b.Members {
		if m.Node == k.table.Self().Node {
			k.lease.recall(m)
		}
	}
	k.announceSelf()
	if len(k.links) == 0 {
		k.dialSome(b.Members, now)
	}
}

// dialSome dials a few of the members that the log names.
func (k *Controller) dialSome(members []*schema.Member, now time.Time) {
	const few = 4
	dialled := 0
	for _, i := range k.random.Perm(len(members)) {
		m := members[i]
		if m.ControlAddress == k.common.Settings.ControlListen || k.isLinked(m.Node) {
			continue
		}
		k.dial(m.ControlAddress, now)
		if dialled++; dialled == few {
			return
		}
	}
}
