package reducer

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// merger merges two states, either of which may include records that the other lacks, since the log has lost them in between. A
// merge is at the position of the later state.
type merger struct {
	later, other *State
	// laterCovers and otherCovers are the coverages of both.
	laterCovers, otherCovers Coverage
}

// merged returns the later of two states with what the other one holds and the later one can't know, and with what the other one
// remembers of the same orders. Of two configurations the newer one is kept.
func merged(later, other *State) *State {
	m := merger{later: later, other: other, laterCovers: later.Coverage(), otherCovers: other.Coverage()}
	next := later.clone()
	next.Inherited = m.laterCovers.With(m.otherCovers).Inherited
	m.mergeRollouts(next.Rollouts)
	for zone := range other.EvacuationOrders {
		m.mergeEvacuation(next, zone)
	}
	if next.HasOlderConfiguration(other) {
		return next.WithConfiguration(other)
	}
	return next
}

// remembering returns a state that includes all of another one, with what that one remembers of the same orders.
func (s *State) remembering(other *State) *State {
	for name, r := range s.Rollouts {
		if before := other.Rollouts[name]; before != nil && !proto.Equal(remembering(r, before), r) {
			return merged(s, other)
		}
	}
	for zone, order := range other.EvacuationOrders {
		if known := s.EvacuationOrders[zone]; known.Ordered < order.Ordered || known.Removed < order.Removed {
			return merged(s, other)
		}
	}
	return s
}

// mergeRollouts puts the other state's rollouts into those of the later one.
func (m merger) mergeRollouts(rollouts map[string]*schema.Rollout) {
	for name, other := range m.other.Rollouts {
		later := rollouts[name]
		switch {
		case m.keepsRollout(other, later):
			rollouts[name] = other
		case later != nil:
			rollouts[name] = remembering(later, other)
		}
	}
}

// keepsRollout reports whether a rollout of the other state is in force rather than that of the later state, which may be nil.
func (m merger) keepsRollout(other, later *schema.Rollout) bool {
	switch {
	case m.laterCovers.Includes(Position(other.DeclaredVersion)):
		return false
	case later == nil:
		return true
	case m.otherCovers.Includes(Position(later.DeclaredVersion)):
		return true
	}
	// Neither state knows the other's order: that of the later state was written, or has survived, in a newer era.
	return HasSurvived(later, other)
}

// mergeEvacuation puts a zone into the state in which its newest order or removal, of both states, leaves it.
func (m merger) mergeEvacuation(next *State, zone string) {
	other, later := m.other.EvacuationOrders[zone], m.later.EvacuationOrders[zone]
	if !m.keepsEvacuation(other, later) {
		next.EvacuationOrders[zone] = EvacuationOrder{Ordered: max(other.Ordered, later.Ordered), Removed: max(other.Removed, later.Removed)}
		return
	}
	next.EvacuationOrders[zone] = other
	delete(next.EvacuatedZones, zone)
	if m.other.EvacuatedZones[zone] {
		next.EvacuatedZones[zone] = true
	}
}

// keepsEvacuation reports whether the other state's records of a zone decide rather than those of the later state.
func (m merger) keepsEvacuation(other, later EvacuationOrder) bool {
	newestOther, newestLater := max(other.Ordered, other.Removed), max(later.Ordered, later.Removed)
	switch {
	case m.laterCovers.Includes(newestOther):
		return false
	case newestLater == 0 || m.otherCovers.Includes(newestLater):
		return true
	}
	// Neither state knows the other's record: that of the later state was written, or has survived, in a newer era. What comes
	// after the newest one by its offset is not older.
	replaced := min(other.Ordered, other.Removed)
	return replaced.Offset() < newestOther.Offset() && hasSurvived(replaced, newestLater)
}
