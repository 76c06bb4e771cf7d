package reducer

import (
	"maps"
	"slices"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// EvacuationOrder tells which records evacuated an availability zone and took it back. A log that returns from an older copy may
// hold any of them without those that follow.
type EvacuationOrder struct {
	// Ordered and Removed are the positions after the newest order and after the newest removal of one, or 0 if none was read.
	Ordered, Removed Position
}

// HasSurvivedEvacuation reports whether an order to evacuate a zone, read by the record before the position, is one that was
// taken back in an earlier era: the log has lost the record by which it was taken back, but not the order.
func (s *State) HasSurvivedEvacuation(zone string) bool {
	order := s.EvacuationOrders[zone]
	return !s.EvacuatedZones[zone] && hasSurvived(s.Position, order.Ordered, order.Removed)
}

// HasSurvivedRemoval reports whether the removal of an order to evacuate a zone, the record before the position, is one that
// preceded the order in force: the log has lost that order, but not the removal.
func (s *State) HasSurvivedRemoval(zone string) bool {
	order := s.EvacuationOrders[zone]
	return s.EvacuatedZones[zone] && hasSurvived(s.Position, order.Removed, order.Ordered)
}

// WithEvacuation returns the state in which an availability zone is evacuated or taken back, by the record before the
// position.
func (s *State) WithEvacuation(zone string, evacuated bool) *State {
	next := s.clone()
	order := s.EvacuationOrders[zone]
	if evacuated {
		next.EvacuatedZones[zone] = true
		order.Ordered = s.Position
	} else {
		delete(next.EvacuatedZones, zone)
		order.Removed = s.Position
	}
	if s.Position.Era() > 0 {
		next.EvacuationOrders[zone] = order
	}
	return next
}

// encodeEvacuationOrders returns the orders, sorted by zone.
func (s *State) encodeEvacuationOrders() []*schema.EvacuationOrder {
	var orders []*schema.EvacuationOrder
	for _, zone := range slices.Sorted(maps.Keys(s.EvacuationOrders)) {
		order := s.EvacuationOrders[zone]
		orders = append(orders, &schema.EvacuationOrder{Zone: zone, OrderedVersion: uint64(order.Ordered),
			RemovedVersion: uint64(order.Removed)})
	}
	return orders
}
