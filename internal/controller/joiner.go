package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	joinRetry = time.Second
	// peersFirst is how long a starting node that has found others leaves it to them to tell the configuration.
	peersFirst = 300 * time.Millisecond
	// ownReadSpread spreads the nodes that read it from the log after that, since the first of a mesh that has
	// started as a whole tells all others.
	ownReadSpread = time.Second
	// dialledMembers is how many of the members that the log names are dialled at a time.
	dialledMembers = 4
)

// joiner finds first peers and the newest configuration for a starting node.
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
	if j.awaitReady(j.firstPause()) {
		return
	}
	alone := !j.discover()
	if !alone && j.awaitReady(peersFirst+randomUpTo(ownReadSpread)) {
		return
	}
	for {
		j.askLog()
		if j.awaitReady(joinRetry/2 + randomUpTo(joinRetry)) {
			return
		}
		if alone {
			alone = !j.discover()
		}
	}
}

// firstPause keeps a mesh that starts as a whole from asking the log at once.
func (j *joiner) firstPause() time.Duration {
	s := j.controller.common.Settings
	if len(s.Peers) > 0 {
		return randomUpTo(joinRetry)
	}
	return randomUpTo(s.JoinSpread)
}

func randomUpTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(d)))
}

// awaitReady reports whether the node became ready, or ended, within a time.
func (j *joiner) awaitReady(d time.Duration) bool {
	select {
	case <-j.controller.joined:
		return true
	case <-j.controller.done:
		return true
	case <-time.After(d):
		return false
	}
}

// discover dials members that the log names. It reports whether there are any.
func (j *joiner) discover() bool {
	k := j.controller
	d, err := k.config.Log.Discover(context.Background())
	if err != nil {
		k.common.Logger.Warn("log not reached", "reason", err)
		return false
	}
	others := false
	k.do(func() { others = k.meet(d, time.Now()) })
	return others
}

// meet takes in what the log tells of the mesh. It reports whether other members were found.
func (k *Controller) meet(d Discovery, now time.Time) bool {
	k.keepProgress(d.Progress)
	self := k.table.Self()
	others := 0
	for _, m := range d.Members {
		if m.Node == self.Node {
			k.lease.recall(m)
			k.describeUpstream()
		}
		if m.ControlAddress != self.ControlAddress {
			others++
		}
	}
	if others < seeds && !isKnown(d.Members, self) {
		k.saveSeed(self)
	}
	if len(k.links) == 0 {
		k.dialSome(d.Members, now)
	}
	return others > 0
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

func (j *joiner) askLog() {
	k := j.controller
	b, err := k.config.Log.Begin(context.Background())
	if err != nil {
		k.common.Logger.Warn("log not reached", "reason", err)
		return
	}
	k.do(func() { k.begin(b, time.Now()) })
}

// begin takes in the newest configuration.
func (k *Controller) begin(b Beginning, now time.Time) {
	k.start.hearLog(b.Next)
	if b.State != nil {
		k.adoptSnapshot(&schema.Snapshot{State: b.State}, now)
	}
	if k.state.Position >= b.Next {
		k.hearOfRead(now)
	}
	k.checkStart(now)
}

// dialSome dials a few of the members that the log names.
func (k *Controller) dialSome(members []*schema.Member, now time.Time) {
	dialled := 0
	for _, i := range k.random.Perm(len(members)) {
		m := members[i]
		if m.ControlAddress == k.common.Settings.ControlListen || k.isLinked(m.Node) {
			continue
		}
		k.dial(m.ControlAddress, now)
		if dialled++; dialled == dialledMembers {
			return
		}
	}
}
