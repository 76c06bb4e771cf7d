package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	joinRetryInterval = time.Second
	// peerCatchUpTime is how long a starting node that has found others leaves it to them to tell the configuration.
	peerCatchUpTime = 100 * time.Millisecond
	// logReadJitter spreads the nodes that read it from the log after that, since the first of a mesh that has
	// started as a whole tells all others.
	logReadJitter = 400 * time.Millisecond
	// dialInterval is how often a starting node without neighbours tries to reach some.
	dialInterval = 200 * time.Millisecond
	// dialsPerAttempt is how many of the members that the log names are dialled at a time.
	dialsPerAttempt = 4
)

// joiner finds first peers and the newest configuration for a starting node.
type joiner struct {
	controller *Controller
	// members are those that the log names, this node aside.
	members []*schema.Member
}

// run tries until the node is ready.
func (j *joiner) run() {
	k := j.controller
	k.do(func() {
		for _, p := range k.common.Settings.Peers {
			k.dial(p, time.Now())
		}
	})
	if j.awaitReady(j.initialDelay()) {
		return
	}
	j.discover()
	if len(j.members) > 0 && j.awaitReady(peerCatchUpTime+randomUpTo(logReadJitter)) {
		return
	}
	for {
		j.readConfiguration()
		if j.awaitReady(joinRetryInterval/2 + randomUpTo(joinRetryInterval)) {
			return
		}
		if len(j.members) == 0 {
			j.discover()
		}
	}
}

// initialDelay keeps a mesh that starts as a whole from asking the log at once.
func (j *joiner) initialDelay() time.Duration {
	s := j.controller.common.Settings
	if len(s.Peers) > 0 {
		return randomUpTo(joinRetryInterval)
	}
	return randomUpTo(s.JoinSpread)
}

func randomUpTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(d)))
}

// awaitReady reports whether the node became ready, or ended, within a time. Meanwhile it looks for neighbours.
func (j *joiner) awaitReady(d time.Duration) bool {
	k := j.controller
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	end := time.After(d)
	for {
		select {
		case <-k.joined:
			return true
		case <-k.done:
			return true
		case <-end:
			return false
		case <-ticker.C:
			k.do(func() { k.dialIfIsolated(j.members, time.Now()) })
		}
	}
}

// discover takes in what the log tells of the mesh.
func (j *joiner) discover() {
	k := j.controller
	d, err := k.config.Log.Discover(context.Background())
	if err != nil {
		k.common.Logger.Warn("log not reached", "reason", err)
		return
	}
	k.do(func() { j.members = k.applyDiscovery(d, time.Now()) })
}

// applyDiscovery takes in what the log tells of the mesh. It returns the other members that it names.
func (k *Controller) applyDiscovery(d Discovery, now time.Time) []*schema.Member {
	k.keepProgress(d.Progress)
	self := k.table.Self()
	var others []*schema.Member
	for _, m := range d.Members {
		if m.Node == self.Node {
			k.lease.recall(m)
			k.describeUpstream()
		}
		if m.ControlAddress != self.ControlAddress {
			others = append(others, m)
		}
	}
	if len(others) < minSeeds && !containsAddress(d.Members, self) {
		k.saveSeed(self)
	}
	k.dialIfIsolated(others, now)
	return others
}

// dialIfIsolated dials some members if this node has no link.
func (k *Controller) dialIfIsolated(members []*schema.Member, now time.Time) {
	if len(k.links) == 0 {
		k.dialRandomMembers(members, now)
	}
}

// keepProgress merges progress of rollouts once the node knows the orders that it belongs to.
func (k *Controller) keepProgress(progress []*schema.Progress) {
	if !k.start.ready {
		k.savedProgress = append(k.savedProgress, progress...)
		return
	}
	for _, p := range progress {
		k.mergeProgress(p, nil)
	}
}

func (j *joiner) readConfiguration() {
	k := j.controller
	b, err := k.config.Log.Begin(context.Background())
	if err != nil {
		k.common.Logger.Warn("log not reached", "reason", err)
		return
	}
	k.do(func() { k.applyBeginning(b, time.Now()) })
}

// applyBeginning takes in the newest configuration.
func (k *Controller) applyBeginning(b Beginning, now time.Time) {
	k.start.hearLog(b.Next)
	if b.State != nil {
		k.installSnapshot(&schema.Snapshot{State: b.State}, now)
	}
	if k.state.Position >= b.Next {
		k.observeLogRead(now)
	}
	k.checkStart(now)
}

// dialRandomMembers dials a few of the members that the log names.
func (k *Controller) dialRandomMembers(members []*schema.Member, now time.Time) {
	dialled := 0
	for _, i := range k.random.Perm(len(members)) {
		m := members[i]
		if m.ControlAddress == k.common.Settings.ControlListen || k.isLinked(m.Node) {
			continue
		}
		k.dialWithCooldown(m.ControlAddress, dialInterval, now)
		if dialled++; dialled == dialsPerAttempt {
			return
		}
	}
}
