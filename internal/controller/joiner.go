package controller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	joinRetryInterval = time.Second
	// peerCatchUpTime is how long a starting node that has found members waits to get the configuration from them
	// before it reads it from the log.
	peerCatchUpTime = 100 * time.Millisecond
	// logReadJitter is added at random to peerCatchUpTime: when a whole mesh starts at once, the first node that reads
	// the log passes the configuration on to the others.
	logReadJitter = 400 * time.Millisecond
	// dialInterval is how often a starting node without neighbours dials members.
	dialInterval = 200 * time.Millisecond
	// dialsPerAttempt is how many of the members that the log names are dialled at once.
	dialsPerAttempt = 4
)

// joiner finds the first neighbours and the newest configuration for a starting node. It runs once, until the node is
// ready.
type joiner struct {
	controller *Controller
	// members are the candidates that the log names, without this node.
	members []*schema.Member
}

// run dials the configured peers, then tries the log until the node is ready or closed.
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
		j.readNewestConfig()
		if j.awaitReady(joinRetryInterval/2 + randomUpTo(joinRetryInterval)) {
			return
		}
		if len(j.members) == 0 {
			j.discover()
		}
	}
}

// initialDelay returns a random delay before the first log read, so that the nodes of a mesh that start together do
// not all read the log at the same moment.
func (j *joiner) initialDelay() time.Duration {
	s := j.controller.common.Settings
	if len(s.Peers) > 0 {
		return randomUpTo(joinRetryInterval)
	}
	return randomUpTo(s.JoinSpread)
}

// randomUpTo returns a random duration in [0, d), or 0 if d is not positive.
func randomUpTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(d)))
}

// awaitReady waits for up to d and reports whether the node became ready or was closed. While it waits, it dials
// members if the node has no link.
func (j *joiner) awaitReady(d time.Duration) bool {
	k := j.controller
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	end := time.After(d)
	for {
		select {
		case <-k.readyCh:
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

// discover reads the known members and the rollout progress from the log.
func (j *joiner) discover() {
	k := j.controller
	d, err := k.config.Log.Discover(context.Background())
	if err != nil {
		k.common.Logger.Warn("cannot read from the log", "reason", err)
		return
	}
	k.do(func() { j.members = k.applyDiscovery(d, time.Now()) })
}

// applyDiscovery merges the saved rollout progress, restores what an earlier process of this node saved, and dials
// members. If the log has too few seeds, it saves this node as one. It returns the candidates without this node.
func (k *Controller) applyDiscovery(d Discovery, now time.Time) []*schema.Member {
	k.mergeSavedProgress(d.Progress)
	k.restoreSavedLeave(d)
	self := k.table.Self()
	var others []*schema.Member
	for _, m := range d.candidates() {
		if m.ControlAddress != self.ControlAddress {
			others = append(others, m)
		}
	}
	k.start.knowsMembers = k.start.knowsMembers || slices.ContainsFunc(others, canBeDialled)
	if len(d.Seeds) < minSeeds && !containsAddress(d.Seeds, self) {
		k.saveSeed(self)
	}
	k.dialIfIsolated(others, now)
	return others
}

// canBeDialled reports whether a member's control address is one.
func canBeDialled(m *schema.Member) bool {
	address, err := netip.ParseAddrPort(m.ControlAddress)
	return err == nil && address.Port() != 0
}

// dialIfIsolated dials a few of the members if this node has no link.
func (k *Controller) dialIfIsolated(members []*schema.Member, now time.Time) {
	if len(k.links) == 0 {
		k.dialRandomMembers(members, now)
	}
}

// readNewestConfig reads the newest configuration from the log.
func (j *joiner) readNewestConfig() {
	k := j.controller
	newest, err := k.config.Log.Newest(context.Background())
	if err != nil {
		k.common.Logger.Warn("cannot read from the log", "reason", err)
		return
	}
	k.eraWatch.observe(newest.Era)
	k.do(func() { k.applyNewestConfig(newest, time.Now()) })
}

// applyNewestConfig installs the newest state, if the log has one, and sets the position from which the node is ready.
func (k *Controller) applyNewestConfig(newest NewestConfig, now time.Time) {
	if newest.Next.Era() < k.state.Position.Era() {
		k.common.Logger.Info("newest configuration of an earlier era ignored", "read-position", newest.Next, "position", k.state.Position)
		return
	}
	k.start.observeLog(newest.Next)
	if newest.State != nil {
		k.installStateSnapshot(&schema.Snapshot{State: newest.State}, now)
	} else if k.state.Position < newest.Next {
		k.common.Logger.Warn("the log does not retain the newest configuration, only neighbours can supply it",
			"position", k.state.Position, "next", newest.Next)
	}
	if k.state.Position >= newest.Next {
		k.observeLogRead(now)
	}
	k.updateReadiness(now)
}

// dialRandomMembers dials up to dialsPerAttempt of the members that this node has no link to, in random order.
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
