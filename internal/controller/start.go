package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
)

const (
	// peersToTrust is the number of peers whose positions stand in for the log while it is down.
	peersToTrust = 3
	// logGrace is how long a starting node waits for the log before peers alone will do.
	logGrace = 2 * time.Second
	// joinRecords is the number of join records that a starting node looks at.
	joinRecords = 64
	joinRetry   = time.Second
)

// startState tells when a starting node may take calls: not before it has reached the
// newest position that the log, or several peers, have told it of.
type startState struct {
	since          time.Time
	ready          bool
	logHeard       bool
	target         uint64
	peers          map[string]bool
	nextJoinRecord time.Time
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
	ctx := context.Background()
	_, next, err := k.config.Log.Bounds(ctx, logclient.ConfigStream)
	if err != nil {
		return
	}
	addresses := j.readJoinRecords(ctx)
	k.do(func() {
		k.start.hearLog(next)
		if len(k.links) > 0 {
			return
		}
		for _, a := range addresses {
			k.dial(a, time.Now())
		}
	})
}

func (j *joiner) readJoinRecords(ctx context.Context) []string {
	const fewPeers = 4
	first, next, err := j.controller.config.Log.Bounds(ctx, logclient.JoinStream)
	if err != nil || next == first {
		return nil
	}
	if next-first > joinRecords {
		first = next - joinRecords
	}
	page, err := j.controller.config.Log.Read(ctx, logclient.JoinStream, first, 0)
	if err != nil {
		return nil
	}
	unique := map[string]bool{}
	for _, r := range page.Records {
		unique[string(r.Body)] = true
	}
	var addresses []string
	for a := range unique {
		if own := j.controller.common.Settings.ControlListen; a != own && len(addresses) < fewPeers {
			addresses = append(addresses, a)
		}
	}
	return addresses
}
