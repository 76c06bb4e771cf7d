package reducer

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// WithDelta returns the state that results from applying a delta. It returns an error if the delta is based on a later
// position than the receiver's, or if the result is invalid or does not have the digest of the sender's state.
func (s *State) WithDelta(d *schema.Delta) (*State, error) {
	if Position(d.GetBasePosition()) > s.Position {
		return nil, invalid("delta is based on position %v, but the state is at position %v", Position(d.GetBasePosition()), s.Position)
	}
	m := d.GetChanged()
	p := &patcher{hashSum: s.namedHashSum()}
	next := &State{
		Version:        m.GetVersion(),
		Position:       Position(m.GetPosition()),
		Inherited:      Position(m.GetInherited()),
		Revision:       m.GetRevision(),
		Services:       patched(p, kindService, s.Services, m.GetServices(), d.GetRemovedServices()),
		Routes:         patched(p, kindRoute, s.Routes, m.GetRoutes(), d.GetRemovedRoutes()),
		Rollouts:       patched(p, kindRollout, s.Rollouts, m.GetRollouts(), d.GetRemovedRollouts()),
		Presets:        patched(p, kindPreset, s.Presets, m.GetPresets(), d.GetRemovedPresets()),
		Customers:      patched(p, kindCustomer, s.Customers, m.GetCustomers(), d.GetRemovedCustomers()),
		ActivePreset:   m.GetActivePreset(),
		DrainedNodes:   map[string]bool{},
		EvacuatedZones: map[string]bool{},
		Verdicts:       m.GetVerdicts(),
		Label:          m.GetLabel(),
		Limits:         m.GetLimits(),

		EvacuationOrders: map[string]EvacuationOrder{},
	}
	next.decodeOperatorOrders(m)
	next.hashSum, next.hashSumValid = p.hashSum, true
	if digest := next.Digest(); digest != d.GetDigest() {
		return nil, invalid("delta to position %v yields digest %x, expected %x", next.Position, digest, d.GetDigest())
	}
	if err := Validate(next); err != nil {
		return nil, err
	}
	return next, nil
}

// patcher updates the sum of the hashes of named values while a delta is applied.
type patcher struct {
	hashSum uint64
}

// named is a message that is identified by its name.
type named interface {
	proto.Message
	GetName() string
}

// patched returns a copy of values without the removed names and with the changed values.
func patched[V named](p *patcher, kind byte, values map[string]V, changed []V, removed []string) map[string]V {
	next := maps.Clone(values)
	for _, n := range removed {
		if old, ok := next[n]; ok {
			p.hashSum -= hashOf(kind, old)
			delete(next, n)
		}
	}
	for _, v := range changed {
		if old, ok := next[v.GetName()]; ok {
			p.hashSum -= hashOf(kind, old)
		}
		p.hashSum += hashOf(kind, v)
		next[v.GetName()] = v
	}
	return next
}
