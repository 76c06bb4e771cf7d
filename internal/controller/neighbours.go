package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// maintainNeighbours selects neighbours again if the membership changed or the selection is old, dials those without a
// link, and closes surplus outgoing links. A node without any link dials the configured peers.
func (k *Controller) maintainNeighbours(now time.Time) {
	last := k.neighbourSelection
	if r := k.table.Revision(); r != last.revision || now.Sub(last.selectedAt) > reselectInterval {
		k.neighbourSelection = neighbourSelection{revision: r, selectedAt: now,
			members: selectNeighbours(k.table.Self(), k.neighbourCandidates(now))}
	}
	selected := map[string]bool{}
	for _, m := range k.neighbourSelection.members {
		selected[m.Node] = true
		if !k.isLinked(m.Node) {
			k.dial(m.ControlAddress, now)
		}
	}
	for l, s := range k.links {
		if l.Outgoing && !selected[s.node] && len(k.links) > len(selected)+1 && k.start.ready {
			k.closeGracefully(l, nil)
		}
	}
	if len(k.links) == 0 {
		for _, p := range k.common.Settings.Peers {
			k.dial(p, now)
		}
	}
}

const (
	// minBridges is the minimum number of nodes of a zone that link to other zones; in large zones it is one in
	// nodesPerBridge.
	minBridges     = 4
	nodesPerBridge = 8
)

// refusalDialInterval is the minimum time between two dials by dialAlternative.
const refusalDialInterval = 200 * time.Millisecond

// reselectInterval is the maximum age of a selection of neighbours: nodes that refused a link become candidates again.
const reselectInterval = 5 * time.Second

// neighbourSelection holds the members that this node opens links to, selected at a revision of the membership table.
type neighbourSelection struct {
	revision   uint64
	selectedAt time.Time
	members    []*schema.Member
}

// neighbourCandidates returns the usable members that may become neighbours: all but this node and those that refused
// a link recently.
func (k *Controller) neighbourCandidates(now time.Time) []*schema.Member {
	others := make([]*schema.Member, 0, k.table.Len())
	for _, m := range k.table.Usable() {
		if m.Node != k.table.Self().Node && !now.Before(k.refusedUntil[m.Node]) {
			others = append(others, m)
		}
	}
	return others
}

// selectNeighbours returns the members that a node opens links to: its successor on the hash ring of its zone, which
// keeps the zone connected, and one more of the zone by rendezvous hashing. Bridges add members of other zones; a node
// that is alone in its zone is always a bridge.
func selectNeighbours(self *schema.Member, others []*schema.Member) []*schema.Member {
	zone := filterMembers(others, func(m *schema.Member) bool { return m.Zone == self.Zone })
	selected := highestScored(2, zone, func(m *schema.Member) uint64 {
		return ranker.Score("ring", self.Node) - ranker.Score("ring", m.Node)
	})
	if len(selected) == 2 {
		successor := selected[0]
		rest := filterMembers(zone, func(m *schema.Member) bool { return m != successor })
		selected = append(selected[:1],
			highestScored(1, rest, func(m *schema.Member) uint64 { return ranker.Score(self.Node, m.Node) })...)
	}
	if !isBridge(self, zone) {
		return selected
	}
	return append(selected, crossZoneNeighbours(self, others)...)
}

// isBridge reports whether a node links to other zones. Only a few nodes of each zone do, since traffic between zones
// costs more.
func isBridge(self *schema.Member, zone []*schema.Member) bool {
	names := make([]string, len(zone))
	for i, m := range zone {
		names[i] = m.Node
	}
	return ranker.InTop("bridge/"+self.Zone, self.Node, max(minBridges, (len(zone)+1)/nodesPerBridge), names)
}

// crossZoneNeighbours returns up to two members of other zones: one of the next zone by name, so that all zones are
// connected, and one more of any other zone.
func crossZoneNeighbours(self *schema.Member, others []*schema.Member) []*schema.Member {
	score := func(m *schema.Member) uint64 { return ranker.Score(self.Node, m.Node) }
	next := nextZone(self.Zone, others)
	selected := highestScored(1, filterMembers(others, func(m *schema.Member) bool { return m.Zone == next }), score)
	elsewhere := filterMembers(others, func(m *schema.Member) bool { return m.Zone != self.Zone })
	for _, m := range highestScored(2, elsewhere, score) {
		if len(selected) < 2 && !slices.Contains(selected, m) {
			selected = append(selected, m)
		}
	}
	return selected
}

// nextZone returns the members' zone that follows a zone in name order, wrapping around at the end.
func nextZone(zone string, members []*schema.Member) string {
	var first, next string
	for _, m := range members {
		if m.Zone != zone && (first == "" || m.Zone < first) {
			first = m.Zone
		}
		if m.Zone > zone && (next == "" || m.Zone < next) {
			next = m.Zone
		}
	}
	return cmp.Or(next, first)
}

func filterMembers(members []*schema.Member, keep func(*schema.Member) bool) []*schema.Member {
	var kept []*schema.Member
	for _, m := range members {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	return kept
}

// highestScored returns up to n members with the highest scores, highest first.
func highestScored(n int, members []*schema.Member, score func(*schema.Member) uint64) []*schema.Member {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b *schema.Member) int { return cmp.Compare(score(b), score(a)) })
	return sorted[:min(n, len(sorted))]
}

// dialAlternative dials one random address of those named by a node that refused a link or was busy. Dialling all of
// them would multiply each refusal into further ones.
func (k *Controller) dialAlternative(addresses []string, now time.Time) {
	const enoughLinks = 3
	if len(addresses) > 0 && len(k.links) < enoughLinks && !now.Before(k.nextRefusalDial) {
		k.nextRefusalDial = now.Add(refusalDialInterval)
		k.dial(addresses[k.random.IntN(len(addresses))], now)
	}
}

func (k *Controller) dial(address string, now time.Time) {
	k.dialWithCooldown(address, minRedialInterval, now)
}

// dialWithCooldown starts opening a link unless the address was dialled within the cooldown.
func (k *Controller) dialWithCooldown(address string, cooldown time.Duration, now time.Time) {
	if address == "" || address == k.table.Self().ControlAddress {
		return
	}
	if now.Sub(k.lastDials[address]) < cooldown {
		return
	}
	k.lastDials[address] = now
	for a, t := range k.lastDials {
		if now.Sub(t) > time.Minute {
			delete(k.lastDials, a)
		}
	}
	k.gossiper.Dial(address)
}
