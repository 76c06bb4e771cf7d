package reducer

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// State is the configuration after applying a prefix of the log. Its content is immutable: every With method returns a
// new value.
type State struct {
	// Version is the position after the last accepted record other than a checkpoint, as a number. It decreases only if
	// Revision grows.
	Version uint64
	// Position is that of the next record to apply. It never decreases and is at least Version.
	Position Position
	// Inherited is the position, in earlier eras, up to which the state includes records that the log may have lost. It is
	// lower than Position, or 0.
	Inherited Position
	// Revision is the operator's own number of the configuration, which grows with each, or 0 if there is none.
	Revision uint64
	// Services by name. The stable version of a service is among its declared versions, unless its versions are open.
	Services map[string]*schema.Service
	// Routes by name. Every service that a route names is in Services.
	Routes map[string]*schema.Route
	// Rollouts by name. An open rollout names a service and two of its declared versions, and is the only open one of
	// that service. One with a duration may precede the service, or name versions that are not declared.
	Rollouts map[string]*schema.Rollout
	// Presets by name.
	Presets map[string]*schema.Preset
	// Customers by name. No two have a key in common.
	Customers map[string]*schema.Customer
	// ActivePreset is empty or names a preset in Presets.
	ActivePreset string
	// DrainedNodes are the nodes whose upstreams an operator has drained.
	DrainedNodes map[string]bool
	// EvacuatedZones are the availability zones whose upstreams get no new calls, by order of an operator.
	EvacuatedZones map[string]bool
	// EvacuationOrders holds where the zones that were ever evacuated were ordered and taken back, by zone. It is kept only
	// where the log states eras.
	EvacuationOrders map[string]EvacuationOrder
	// Verdicts on the last maxVerdicts records, oldest first.
	Verdicts []*schema.Verdict
	// Label is the operator's own name for the version, or empty.
	Label string
	// Limits on callers' requests, or nil if the configuration sets none.
	Limits *schema.Limits

	// hashSum caches the sum of the hashes of all named values; it is valid if hashSumValid is set.
	hashSum      uint64
	hashSumValid bool
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Services:       map[string]*schema.Service{},
		Routes:         map[string]*schema.Route{},
		Rollouts:       map[string]*schema.Rollout{},
		Presets:        map[string]*schema.Preset{},
		Customers:      map[string]*schema.Customer{},
		EvacuatedZones: map[string]bool{},
		DrainedNodes:   map[string]bool{},

		EvacuationOrders: map[string]EvacuationOrder{},
	}
}

// Coverage tells which records the state includes.
func (s *State) Coverage() Coverage {
	return Coverage{Position: s.Position, Inherited: s.Inherited, Revision: s.Revision}
}

// WithPosition returns the state at another position, otherwise unchanged.
func (s *State) WithPosition(position Position) *State {
	next := *s
	next.Position = position
	return &next
}

// WithEra returns the state at the beginning of a later era. All that it holds is inherited.
func (s *State) WithEra(era uint32) *State {
	next := *s
	next.Inherited = s.Position
	next.Position = NewPosition(era, 0)
	return &next
}

// WithConfiguration returns the state with the configuration of another: all that one version sets, without rollouts and
// the orders of operators.
func (s *State) WithConfiguration(from *State) *State {
	next := *s
	next.hashSumValid = false
	next.Version, next.Revision, next.Label, next.Limits = from.Version, from.Revision, from.Label, from.Limits
	next.Services, next.Routes, next.Customers = from.Services, from.Routes, from.Customers
	next.Presets, next.ActivePreset = from.Presets, from.ActivePreset
	return &next
}

// ReplacedBy returns the state that follows s when a node that holds s gets another one, from a neighbour or built from the
// newest records of the log. It reports false if that does not include s. A configuration never goes back: a newer era may
// have lost it, and then that of s is kept.
func (s *State) ReplacedBy(next *State) (*State, bool) {
	if !next.Coverage().Includes(s.Coverage()) {
		return s, false
	}
	if !next.HasOlderConfiguration(s) {
		return next, true
	}
	if next.Position.Era() == s.Position.Era() {
		return s, false
	}
	return next.WithConfiguration(s), true
}

// HasOlderConfiguration reports whether the configuration of another state is the newer one.
func (s *State) HasOlderConfiguration(other *State) bool {
	return cmp.Or(cmp.Compare(s.Revision, other.Revision), cmp.Compare(s.Version, other.Version)) < 0
}

// withVerdict returns the state with one more verdict. The oldest is dropped if there are more than maxVerdicts.
func (s *State) withVerdict(v *schema.Verdict) *State {
	next := *s
	start := max(0, len(s.Verdicts)+1-maxVerdicts)
	next.Verdicts = append(slices.Clone(s.Verdicts[start:]), v)
	return &next
}

// clone returns a copy whose maps can be modified without affecting the receiver. The values are shared.
func (s *State) clone() *State {
	next := *s
	next.hashSumValid = false
	next.Services = maps.Clone(s.Services)
	next.Routes = maps.Clone(s.Routes)
	next.Rollouts = maps.Clone(s.Rollouts)
	next.Presets = maps.Clone(s.Presets)
	next.Customers = maps.Clone(s.Customers)
	next.DrainedNodes = maps.Clone(s.DrainedNodes)
	next.EvacuatedZones = maps.Clone(s.EvacuatedZones)
	next.EvacuationOrders = maps.Clone(s.EvacuationOrders)
	return &next
}

// Preset returns the active preset, or an empty one if none is active.
func (s *State) Preset() *schema.Preset {
	if p, ok := s.Presets[s.ActivePreset]; ok {
		return p
	}
	return &schema.Preset{}
}

// OpenRollout returns the open rollout of a service, or nil.
func (s *State) OpenRollout(service string) *schema.Rollout {
	for _, r := range s.Rollouts {
		if r.Service == service && r.Phase == schema.RolloutPhase_ROLLOUT_PHASE_OPEN {
			return r
		}
	}
	return nil
}

// FindVerdict returns the verdict on the record with an id, or nil if there is none or it has been dropped.
func (s *State) FindVerdict(id string) *schema.Verdict {
	for i := len(s.Verdicts) - 1; i >= 0; i-- {
		if s.Verdicts[i].Id == id {
			return s.Verdicts[i]
		}
	}
	return nil
}

// HasOpenVersions reports whether any service has open versions: upstreams may announce undeclared ones.
func (s *State) HasOpenVersions() bool {
	for _, service := range s.Services {
		if service.OpenVersions {
			return true
		}
	}
	return false
}

func sortedValues[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

// Encode returns the state as a message. Its lists are sorted by name.
func (s *State) Encode() *schema.State {
	m := s.encodeValues()
	m.Services = sortedValues(s.Services)
	m.Routes = sortedValues(s.Routes)
	m.Rollouts = sortedValues(s.Rollouts)
	m.Presets = sortedValues(s.Presets)
	m.Customers = sortedValues(s.Customers)
	return m
}

// encodeValues returns the message without services, routes, rollouts, presets and customers.
func (s *State) encodeValues() *schema.State {
	return &schema.State{
		Version:        s.Version,
		Position:       uint64(s.Position),
		Inherited:      uint64(s.Inherited),
		Revision:       s.Revision,
		ActivePreset:   s.ActivePreset,
		DrainedNodes:   slices.Sorted(maps.Keys(s.DrainedNodes)),
		Verdicts:       s.Verdicts,
		Label:          s.Label,
		Limits:         s.Limits,
		EvacuatedZones: slices.Sorted(maps.Keys(s.EvacuatedZones)),

		EvacuationOrders: s.encodeEvacuationOrders(),
	}
}

// decodeOperatorOrders sets what a message holds of the operators' orders.
func (s *State) decodeOperatorOrders(m *schema.State) {
	for _, n := range m.GetDrainedNodes() {
		s.DrainedNodes[n] = true
	}
	for _, z := range m.GetEvacuatedZones() {
		s.EvacuatedZones[z] = true
	}
	for _, o := range m.GetEvacuationOrders() {
		s.EvacuationOrders[o.Zone] = EvacuationOrder{Ordered: Position(o.OrderedVersion), Removed: Position(o.RemovedVersion)}
	}
}

// DecodeState converts a message to a state and validates it.
func DecodeState(m *schema.State) (*State, error) {
	s := NewState()
	s.Version = m.GetVersion()
	s.Position = Position(m.GetPosition())
	s.Inherited = Position(m.GetInherited())
	s.Revision = m.GetRevision()
	s.ActivePreset = m.GetActivePreset()
	s.Verdicts = m.GetVerdicts()
	s.Label = m.GetLabel()
	s.Limits = m.GetLimits()
	index(s.Services, m.GetServices(), (*schema.Service).GetName)
	index(s.Routes, m.GetRoutes(), (*schema.Route).GetName)
	index(s.Rollouts, m.GetRollouts(), (*schema.Rollout).GetName)
	index(s.Presets, m.GetPresets(), (*schema.Preset).GetName)
	index(s.Customers, m.GetCustomers(), (*schema.Customer).GetName)
	s.decodeOperatorOrders(m)
	if s.Version > uint64(s.Position) {
		return nil, invalid("version %v is greater than position %v", Position(s.Version), s.Position)
	}
	if s.Inherited > s.Position {
		return nil, invalid("inherited position %v is greater than position %v", s.Inherited, s.Position)
	}
	if err := Validate(s); err != nil {
		return nil, err
	}
	return s, nil
}

func index[V any](m map[string]V, values []V, name func(V) string) {
	for _, v := range values {
		m[name(v)] = v
	}
}

// SortedRoutes returns the routes sorted by descending length of the path prefix, then by name.
func (s *State) SortedRoutes() []*schema.Route {
	routes := sortedValues(s.Routes)
	slices.SortStableFunc(routes, func(a, b *schema.Route) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	return routes
}

// WithRollout returns the state with a rollout added. It replaces one with the same name. Where the log states eras, the
// rollout remembers which one it replaced.
func (s *State) WithRollout(r *schema.Rollout) *State {
	next := *s
	next.hashSumValid = false
	if old := s.Rollouts[r.Name]; old != nil && s.Position.Era() > 0 {
		r = proto.CloneOf(r)
		r.ReplacedVersion, r.ReplacedTo = old.DeclaredVersion, old.To
		if old.DeclaredVersion == r.DeclaredVersion || Continues(old, r) {
			r.ReplacedVersion, r.ReplacedTo = old.ReplacedVersion, old.ReplacedTo
		}
	}
	next.Rollouts = maps.Clone(s.Rollouts)
	next.Rollouts[r.Name] = r
	return &next
}
