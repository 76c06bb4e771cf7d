package reducer

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// applyPublish applies all declarations of a record, or none. It returns an error if the record is not based on the
// current version.
func applyPublish(s *State, publish *schema.Publish, appendedUnixMs int64) (*State, error) {
	if publish.BasedOn != s.Version {
		return nil, &Error{Operation: "apply", Kind: KindConflict,
			Detail: fmt.Sprintf("based on version %d, but version %d is in force", publish.BasedOn, s.Version)}
	}
	next := s.clone()
	activePresets := 0
	for _, d := range inApplyOrder(publish.Declarations) {
		if d.GetActivePreset() != "" {
			activePresets++
		}
		if err := next.declare(d, appendedUnixMs); err != nil {
			return nil, err
		}
	}
	if activePresets > 1 {
		return nil, invalid("two presets in force: a record may activate one")
	}
	if err := Validate(next); err != nil {
		return nil, err
	}
	return next, nil
}

// inApplyOrder returns the declarations of a record in the order in which they are applied: removals come first, then the
// declarations that others depend on, so that the order in the record does not matter.
func inApplyOrder(declarations []*schema.Declaration) []*schema.Declaration {
	ordered := slices.Clone(declarations)
	slices.SortStableFunc(ordered, func(a, b *schema.Declaration) int { return applyOrder(a) - applyOrder(b) })
	return ordered
}

// applyOrder returns the rank by which the declarations of a record are applied, lowest first.
func applyOrder(d *schema.Declaration) int {
	switch d.Item.(type) {
	case *schema.Declaration_Removal:
		return 0
	case *schema.Declaration_Service:
		return 1
	case *schema.Declaration_Version:
		return 2
	case *schema.Declaration_Preset:
		return 3
	}
	return 4
}

// declare applies one declaration in place. The receiver must be a clone.
func (s *State) declare(d *schema.Declaration, appendedUnixMs int64) error {
	switch item := d.Item.(type) {
	case *schema.Declaration_Service:
		s.declareService(item.Service)
	case *schema.Declaration_Version:
		return s.declareVersion(item.Version)
	case *schema.Declaration_Route:
		s.Routes[item.Route.GetName()] = item.Route
	case *schema.Declaration_Customer:
		s.Customers[item.Customer.GetName()] = item.Customer
	case *schema.Declaration_Preset:
		s.Presets[item.Preset.GetName()] = item.Preset
	case *schema.Declaration_ActivePreset:
		s.ActivePreset = item.ActivePreset
	case *schema.Declaration_Rollout:
		return s.declareRollout(item.Rollout, appendedUnixMs)
	case *schema.Declaration_Removal:
		return s.remove(item.Removal)
	default:
		return invalid("unknown declaration")
	}
	return nil
}

func (s *State) declareService(service *schema.Service) {
	declared := &schema.Service{Name: service.Name, StableVersion: service.StableVersion,
		Versions: []string{service.StableVersion}}
	if existing, ok := s.Services[service.Name]; ok {
		// Only rollouts change the stable version of an existing service.
		declared = proto.CloneOf(existing)
	}
	declared.ColdStartMs, declared.ColdCallsPerSecond = service.ColdStartMs, service.ColdCallsPerSecond
	s.Services[service.Name] = declared
}

func (s *State) declareVersion(version *schema.Version) error {
	service, ok := s.Services[version.Service]
	if !ok {
		return invalid("version %q names the missing service %q", version.Name, version.Service)
	}
	if slices.Contains(service.Versions, version.Name) {
		return nil
	}
	changed := proto.CloneOf(service)
	changed.Versions = append(changed.Versions, version.Name)
	slices.Sort(changed.Versions)
	s.Services[service.Name] = changed
	return nil
}

func (s *State) declareRollout(rollout *schema.Rollout, appendedUnixMs int64) error {
	if existing, ok := s.Rollouts[rollout.Name]; ok {
		if sameRollout(existing, rollout) {
			return nil
		}
		if existing.Phase == schema.RolloutPhase_ROLLOUT_PHASE_OPEN {
			return invalid("rollout %q is open and can't be changed", rollout.Name)
		}
	}
	if rollout.DeadlineUnixMs <= appendedUnixMs {
		return invalid("rollout %q has a deadline in the past", rollout.Name)
	}
	if open := s.OpenRollout(rollout.Service); open != nil {
		return invalid("rollout %q: service %q already has the open rollout %q", rollout.Name, rollout.Service, open.Name)
	}
	service, ok := s.Services[rollout.Service]
	if !ok {
		return invalid("rollout %q names the missing service %q", rollout.Name, rollout.Service)
	}
	if service.StableVersion != rollout.From {
		return invalid("rollout %q moves from %q, but the stable version of %q is %q",
			rollout.Name, rollout.From, rollout.Service, service.StableVersion)
	}
	s.Rollouts[rollout.Name] = &schema.Rollout{Name: rollout.Name, Service: rollout.Service, From: rollout.From,
		To: rollout.To, DeadlineUnixMs: rollout.DeadlineUnixMs, DeclaredVersion: uint64(s.Position), DeclaredUnixMs: appendedUnixMs}
	return nil
}

// sameRollout reports whether two rollouts were declared alike, so that publishing one again changes nothing.
func sameRollout(a, b *schema.Rollout) bool {
	return a.Service == b.Service && a.From == b.From && a.To == b.To && a.DeadlineUnixMs == b.DeadlineUnixMs
}

func (s *State) remove(removal *schema.Removal) error {
	missing := invalid("removal of the missing %s %q", removal.Kind, removal.Name)
	switch removal.Kind {
	case "service":
		return removeKey(s.Services, removal.Name, missing)
	case "route":
		return removeKey(s.Routes, removal.Name, missing)
	case "preset":
		return removeKey(s.Presets, removal.Name, missing)
	case "customer":
		return removeKey(s.Customers, removal.Name, missing)
	case "rollout":
		return removeKey(s.Rollouts, removal.Name, missing)
	case "version":
		return s.removeVersion(removal, missing)
	}
	return invalid("removal of the unknown kind %q", removal.Kind)
}

func removeKey[V any](m map[string]V, key string, missing error) error {
	if _, ok := m[key]; !ok {
		return missing
	}
	delete(m, key)
	return nil
}

func (s *State) removeVersion(removal *schema.Removal, missing error) error {
	service, ok := s.Services[removal.Service]
	if !ok || !slices.Contains(service.Versions, removal.Name) {
		return missing
	}
	changed := proto.CloneOf(service)
	changed.Versions = slices.DeleteFunc(changed.Versions, func(v string) bool { return v == removal.Name })
	s.Services[service.Name] = changed
	return nil
}
