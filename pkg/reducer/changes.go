package reducer

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// maxRemovals bounds the tracked removals of each kind.
const maxRemovals = 4096

// Changes tracks the position at which each named value of a state last changed, so that a node that lags behind can be
// sent a delta instead of a snapshot. The zero value holds no history. It is not safe for concurrent use.
type Changes struct {
	// oldestBase is the earliest position a delta can be based on; 0 if there is no history.
	oldestBase Position
	services   changeIndex[*schema.Service]
	routes     changeIndex[*schema.Route]
	rollouts   changeIndex[*schema.Rollout]
	presets    changeIndex[*schema.Preset]
	customers  changeIndex[*schema.Customer]
}

// Note records what differs between a state and its successor. History restarts at the successor if the earlier state
// is at position 0 or too many removals are tracked.
func (c *Changes) Note(before, after *State) {
	if before.Position == 0 {
		*c = Changes{oldestBase: after.Position}
		return
	}
	at := after.Position
	complete := c.services.note(before.Services, after.Services, at)
	complete = c.routes.note(before.Routes, after.Routes, at) && complete
	complete = c.rollouts.note(before.Rollouts, after.Rollouts, at) && complete
	complete = c.presets.note(before.Presets, after.Presets, at) && complete
	complete = c.customers.note(before.Customers, after.Customers, at) && complete
	if !complete {
		*c = Changes{oldestBase: at}
	}
}

// Since returns the delta that brings a node from a position to s, whose digest is given, or false if the position is
// older than the history.
func (c *Changes) Since(position Position, s *State, digest uint64) (*schema.Delta, bool) {
	if c.oldestBase == 0 || position < c.oldestBase {
		return nil, false
	}
	d := &schema.Delta{BasePosition: uint64(position), Changed: s.encodeValues(), Digest: digest}
	d.Changed.Services, d.RemovedServices = c.services.since(position, s.Services)
	d.Changed.Routes, d.RemovedRoutes = c.routes.since(position, s.Routes)
	d.Changed.Rollouts, d.RemovedRollouts = c.rollouts.since(position, s.Rollouts)
	d.Changed.Presets, d.RemovedPresets = c.presets.since(position, s.Presets)
	d.Changed.Customers, d.RemovedCustomers = c.customers.since(position, s.Customers)
	return d, true
}

// changeIndex holds the position of the last change or removal of each value of one kind, by name.
type changeIndex[V proto.Message] struct {
	changed map[string]Position
	removed map[string]Position
}

// note records the differences between two maps. It reports false if too many removals are tracked.
func (c *changeIndex[V]) note(before, after map[string]V, at Position) bool {
	if c.changed == nil {
		c.changed, c.removed = map[string]Position{}, map[string]Position{}
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

// since returns the values changed and the names removed after a position.
func (c *changeIndex[V]) since(position Position, values map[string]V) (changed []V, removed []string) {
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
