package reducer

import (
	"maps"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// WithDelta returns the later state that a delta leads to. It is an error if the delta is based on a later position
// than the receiver's, or leads to a state that is not the sender's.
func (s *State) WithDelta(d *schema.Delta) (*State, error) {
	if d.GetBasePosition() > s.Position {
		return nil, invalid("delta from position %d at position %d", d.GetBasePosition(), s.Position)
	}
	m := d.GetChanged()
	next := &State{
		Version:      m.GetVersion(),
		Position:     m.GetPosition(),
		Services:     patched(s.Services, m.GetServices(), d.GetRemovedServices(), (*schema.Service).GetName),
		Routes:       patched(s.Routes, m.GetRoutes(), d.GetRemovedRoutes(), (*schema.Route).GetName),
		Rollouts:     patched(s.Rollouts, m.GetRollouts(), d.GetRemovedRollouts(), (*schema.Rollout).GetName),
		Presets:      patched(s.Presets, m.GetPresets(), d.GetRemovedPresets(), (*schema.Preset).GetName),
		ActivePreset: m.GetActivePreset(),
		DrainedNodes: map[string]bool{},
		Verdicts:     m.GetVerdicts(),
		Label:        m.GetLabel(),
		Limits:       m.GetLimits(),
	}
	for _, n := range m.GetDrainedNodes() {
		next.DrainedNodes[n] = true
	}
	if digest := next.Digest(); digest != d.GetDigest() {
		return nil, invalid("delta to position %d leads to the digest %x instead of %x", next.Position, digest, d.GetDigest())
	}
	if err := Validate(next); err != nil {
		return nil, err
	}
	return next, nil
}

// patched returns a copy of a map without the removed names and with the changed values.
func patched[V any](values map[string]V, changed []V, removed []string, name func(V) string) map[string]V {
	next := maps.Clone(values)
	for _, n := range removed {
		delete(next, n)
	}
	index(next, changed, name)
	return next
}
