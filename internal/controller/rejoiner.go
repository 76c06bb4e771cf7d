package controller

import (
	"context"
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// minSeeds is how many usable members the log names at least, for nodes that start.
const minSeeds = 8

// rejoin looks in the log for nodes that this one does not know, so that parts of the mesh that were separated, or
// never met, find each other, and sees to it that the log names enough usable members.
func (k *Controller) rejoin(now time.Time) {
	if now.Before(k.nextRejoin) || !k.start.ready {
		return
	}
	k.nextRejoin = now.Add(k.common.Settings.RejoinInterval)
	go (&rejoiner{controller: k}).run()
}

// rejoiner looks once for nodes that this one does not know.
type rejoiner struct {
	controller *Controller
}

// run reads what the log tells a starting node.
func (r *rejoiner) run() {
	k := r.controller
	d, err := k.config.Log.Discover(context.Background())
	if err != nil {
		k.common.Logger.Debug("log not reached", "reason", err)
		return
	}
	k.do(func() {
		usable := k.table.Usable()
		unknown := slices.DeleteFunc(slices.Clone(d.Members), func(m *schema.Member) bool { return containsAddress(usable, m) })
		k.dialRandomMembers(unknown, time.Now())
		k.maintainSeeds(d, usable)
	})
}

// maintainSeeds writes records of further members if the log names too few usable ones, and drops those of members that
// are gone.
func (k *Controller) maintainSeeds(d Discovery, usable []*schema.Member) {
	var live []*schema.Member
	for _, m := range d.Members {
		known := k.table.Get(m.Node)
		switch {
		case containsAddress(usable, m):
			live = append(live, m)
		case known != nil && !isUsable(known) && slices.Contains(d.Seeds, m.Node):
			k.dropSeed(m)
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

// saveSeed lets starting nodes find a member.
func (k *Controller) saveSeed(m *schema.Member) {
	log := k.config.Log
	k.appender.queue(appendJob{what: "seed", write: func(ctx context.Context) error { return log.SaveSeed(ctx, m) }})
}

// dropSeed removes the record by which starting nodes find a member.
func (k *Controller) dropSeed(m *schema.Member) {
	log := k.config.Log
	k.appender.queue(appendJob{what: "seed", write: func(ctx context.Context) error { return log.DropSeed(ctx, m.Node) }})
}

// containsAddress tells whether members hold one with the control address of another.
func containsAddress(members []*schema.Member, m *schema.Member) bool {
	return slices.ContainsFunc(members, func(other *schema.Member) bool { return other.ControlAddress == m.ControlAddress })
}
