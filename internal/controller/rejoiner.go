package controller

import (
	"context"
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// minSeeds is the number of usable members that the log should name, for starting nodes to find.
const minSeeds = 8

// rejoin starts a rejoiner whenever the node, once ready, has to search for members.
func (k *Controller) rejoin(now time.Time) {
	if k.start.ready && k.memberSearch.isDue(len(k.links) > 0, k.duties.rejoins, k.random.Float64(), now) {
		go (&rejoiner{controller: k}).run()
	}
}

// rejoiner looks once in the log for members that this node does not know, so that parts of the mesh that were
// partitioned, or never connected, find each other. It also maintains the seeds and the outcomes of rollouts, and restores the leave
// that an earlier process of this node has saved: a node may get ready without having read it.
type rejoiner struct {
	controller *Controller
}

// run reads what the mesh has saved in the log, dials unknown members and maintains the seeds and the outcomes.
func (r *rejoiner) run() {
	k := r.controller
	d, err := k.config.Log.Discover(context.Background())
	if err != nil {
		k.common.Logger.Debug("cannot read from the log", "reason", err)
		return
	}
	k.do(func() {
		k.restoreSavedLeave(d)
		usable := k.table.Usable()
		unknown := slices.DeleteFunc(d.candidates(), func(m *schema.Member) bool { return containsAddress(usable, m) })
		if len(k.links) == 0 {
			k.common.Logger.Info("looked for members without a link", "seeds", len(d.Seeds), "saved", len(d.Saved), "unknown", len(unknown))
		}
		k.dialRandomMembers(unknown, time.Now())
		k.maintainSeeds(d.Seeds, usable)
		k.compareOutcomes(d.Progress, time.Now())
	})
}

// maintainSeeds deletes the seeds of members that are dead or have left, and saves more if fewer than minSeeds of them are usable
// members. A node without a link deletes none: to it, all others may look dead.
func (k *Controller) maintainSeeds(seeds, usable []*schema.Member) {
	var live []*schema.Member
	for _, m := range seeds {
		known := k.table.Get(m.Node)
		switch {
		case containsAddress(usable, m):
			live = append(live, m)
		case known != nil && !isUsable(known) && len(k.links) > 0:
			k.deleteSeed(m)
		}
	}
	for _, i := range k.random.Perm(len(usable)) {
		if len(live) >= minSeeds {
			return
		}
		if m := usable[i]; !containsAddress(live, m) {
			k.saveSeed(m)
			live = append(live, m)
		}
	}
}

// saveSeed queues the write of a seed, by which starting nodes find the member.
func (k *Controller) saveSeed(m *schema.Member) {
	log := k.config.Log
	k.appender.enqueue(appendJob{name: "seed", write: func(ctx context.Context) error { return log.SaveSeed(ctx, m) }})
}

// deleteSeed queues the deletion of a member's seed.
func (k *Controller) deleteSeed(m *schema.Member) {
	log := k.config.Log
	k.appender.enqueue(appendJob{name: "seed",
		write: func(ctx context.Context) error { return log.DeleteSeed(ctx, m.Node) }})
}

// containsAddress reports whether one of the members has the control address of m.
func containsAddress(members []*schema.Member, m *schema.Member) bool {
	return slices.ContainsFunc(members, func(other *schema.Member) bool { return other.ControlAddress == m.ControlAddress })
}
