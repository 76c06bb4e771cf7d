package reducer

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// maxRemovals bounds the removals that are remembered of each kind.
const maxRemovals = 4096

// Changes remembers at which position each part of a state changed last, so that a node that lags can be told the
// difference alone. The zero value knows nothing.
type Changes struct {
	// floor is the earliest position from which on all changes are known.
	floor    uint64
	services changeIndex[*schema.Service]
	routes   changeIndex[*schema.Route]
	rollouts changeIndex[*schema.Rollout]
	presets  changeIndex[*schema.Preset]
}

// Note takes in the step from a state to the next one.
func (c *Changes) Note(before, after *State) {
	if before.Position == 0 {
		*c = Changes{floor: after.Position}
		return
	}
	at := after.Position
	complete := c.services.note(before.Services, after.Services, at)
	complete = c.routes.note(before.Routes, after.Routes, at) && complete
	complete = c.rollouts.note(before.Rollouts, after.Rollouts, at) && complete
	complete = c.presets.note(before.Presets, after.Presets, at) && complete
	if !complete {
		*c = Changes{floor: at}
	}
}

// Since returns what a node at a position lacks of a state with a digest, or false if the position is too old.
func (c *Changes) Since(position uint64, s *State, digest uint64) (*schema.Delta, bool) {
	if c.floor == 0 || position < c.floor {
		return nil, false
	}
	d := &schema.Delta{BasePosition: position, Changed: s.encodeValues(), Digest: digest}
	d.Changed.Services, d.RemovedServices = c.services.since(position, s.Services)
	d.Changed.Routes, d.RemovedRoutes = c.routes.since(position, s.Routes)
	d.Changed.Rollouts, d.RemovedRollouts = c.rollouts.since(position, s.Rollouts)
	d.Changed.Presets, d.RemovedPresets = c.presets.since(position, s.Presets)
	return d, true
}

// changeIndex holds the positions of the last changes of one kind of values, by name.
type changeIndex[V proto.Message] struct {
	changed map[string]uint64
	removed map[string]uint64
}

// note compares two maps. It reports false if too many removals are remembered.
func (c *changeIndex[V]) note(before, after map[string]V, at uint64) bool {
	if c.changed == nil {
		c.changed, c.removed = map[string]uint64{}, map[string]uint64{}
	}
	for name, v := range after {
		if old, ok := before[name]; !ok || !proto.Equal(old, v) {
			c.changed[name] = at
			delete(c.removed, name)
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			c.removed[name] = at
			delete(c.changed, name)
		}
	}
	return len(c.removed) <= maxRemovals
}

// since returns the values that changed and the names that were removed beyond a position.
func (c *changeIndex[V]) since(position uint64, values map[string]V) (changed []V, removed []string) {
	for name, at := range c.changed {
		if at > position {
			changed = append(changed, values[name])
		}
	}
	for name, at := range c.removed {
		if at > position {
			removed = append(removed, name)
		}
	}
	return changed, removed
}
