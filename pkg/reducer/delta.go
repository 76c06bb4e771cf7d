package reducer

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// WithDelta returns the later state that a delta leads to. It is an error if the delta is based on a later position
// than the receiver's, or leads to a state that is not the sender's.
func (s *State) WithDelta(d *schema.Delta) (*State, error) {
	if d.GetBasePosition() > s.Position {
		return nil, invalid("delta from position %d at position %d", d.GetBasePosition(), s.Position)
	}
	m := d.GetChanged()
	p := &patcher{sum: s.namedSum()}
	next := &State{
		Version:      m.GetVersion(),
		Position:     m.GetPosition(),
		Services:     patched(p, kindService, s.Services, m.GetServices(), d.GetRemovedServices()),
		Routes:       patched(p, kindRoute, s.Routes, m.GetRoutes(), d.GetRemovedRoutes()),
		Rollouts:     patched(p, kindRollout, s.Rollouts, m.GetRollouts(), d.GetRemovedRollouts()),
		Presets:      patched(p, kindPreset, s.Presets, m.GetPresets(), d.GetRemovedPresets()),
		ActivePreset: m.GetActivePreset(),
		DrainedNodes: map[string]bool{},
		Verdicts:     m.GetVerdicts(),
		Label:        m.GetLabel(),
		Limits:       m.GetLimits(),
	}
	for _, n := range m.GetDrainedNodes() {
		next.DrainedNodes[n] = true
	}
	next.sum, next.summed = p.sum, true
	if digest := next.Digest(); digest != d.GetDigest() {
		return nil, invalid("delta to position %d leads to the digest %x instead of %x", next.Position, digest, d.GetDigest())
	}
	if err := Validate(next); err != nil {
		return nil, err
	}
	return next, nil
}

// patcher keeps the sum of the hashes of named values over the changes of a delta.
type patcher struct {
	sum uint64
}

// named is a value that has a name.
type named interface {
	proto.Message
	GetName() string
}

// patched returns a copy of a map without the removed names and with the changed values.
func patched[V named](p *patcher, kind byte, values map[string]V, changed []V, removed []string) map[string]V {
	next := maps.Clone(values)
	for _, n := range removed {
		if old, ok := next[n]; ok {
			p.sum -= hashOf(kind, old)
			delete(next, n)
		}
	}
	for _, v := range changed {
		if old, ok := next[v.GetName()]; ok {
			p.sum -= hashOf(kind, old)
		}
		p.sum += hashOf(kind, v)
		next[v.GetName()] = v
	}
	return next
}
