package controller

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// chooseNeighbours keeps a few outgoing links: the successor on the hash ring, which keeps
// the overlay connected, one member of the own zone and one of another zone, both by rendezvous hashing.
func (k *Controller) chooseNeighbours(now time.Time) {
	if r := k.table.Revision(); r != k.wanted.revision || now.Sub(k.wanted.at) > neighbourLifetime {
		k.wanted = wantedLinks{revision: r, at: now, members: neighbours(k.table.Self(), k.candidates(now))}
	}
	wanted := map[string]bool{}
	for _, m := range k.wanted.members {
		wanted[m.Node] = true
		if !k.isLinked(m.Node) {
			k.dial(m.ControlAddress, now)
		}
	}
	for l, s := range k.links {
		if l.Outgoing && !wanted[s.node] && len(k.links) > len(wanted)+1 && k.start.ready {
			k.part(l, nil)
		}
	}
	if len(k.links) == 0 {
		for _, p := range k.common.Settings.Peers {
			k.dial(p, now)
		}
	}
}

// neighbourLifetime bounds the age of a choice, since refusals expire.
const neighbourLifetime = 5 * time.Second

// wantedLinks is the choice of neighbours at a revision of the membership table.
type wantedLinks struct {
	revision uint64
	at       time.Time
	members  []*schema.Member
}

// candidates returns the members that may become neighbours.
func (k *Controller) candidates(now time.Time) []*schema.Member {
	others := make([]*schema.Member, 0, k.table.Len())
	for _, m := range k.table.Usable() {
		if m.Node != k.table.Self().Node && !now.Before(k.avoid[m.Node]) {
			others = append(others, m)
		}
	}
	return others
}

func neighbours(self *schema.Member, others []*schema.Member) []*schema.Member {
	var successor, own, other *schema.Member
	var gap, ownScore, otherScore uint64
	position := ranker.Score("ring", self.Node)
	for _, m := range others {
		if d := ranker.Score("ring", m.Node) - position; successor == nil || d < gap {
			successor, gap = m, d
		}
	}
	for _, m := range others {
		if m == successor {
			continue
		}
		score := ranker.Score(self.Node, m.Node)
		if m.Zone == self.Zone && (own == nil || score > ownScore) {
			own, ownScore = m, score
		}
		if m.Zone != self.Zone && (other == nil || score > otherScore) {
			other, otherScore = m, score
		}
	}
	var chosen []*schema.Member
	for _, m := range []*schema.Member{successor, own, other} {
		if m != nil {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// dialOneOf joins one of the peers named in a refusal. One is enough, and asking all of them
// would make a storm of refusals out of each.
func (k *Controller) dialOneOf(addresses []string, now time.Time) {
	const enoughLinks = 3
	if len(addresses) > 0 && len(k.links) < enoughLinks {
		k.dial(addresses[k.random.IntN(len(addresses))], now)
	}
}

func (k *Controller) dial(address string, now time.Time) {
	if address == "" || address == k.table.Self().ControlAddress {
		return
	}
	if now.Sub(k.dialing[address]) < redialAfter {
		return
	}
	k.dialing[address] = now
	for a, t := range k.dialing {
		if now.Sub(t) > time.Minute {
			delete(k.dialing, a)
		}
	}
	k.gossiper.Dial(address)
}
