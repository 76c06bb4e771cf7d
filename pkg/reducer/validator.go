package reducer

import (
	"slices"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Validate checks the invariants of a state: every reference resolves, and values are in range.
func Validate(s *State) error {
	for _, service := range sortedValues(s.Services) {
		if !service.OpenVersions && !slices.Contains(service.Versions, service.StableVersion) {
			return invalid("service %q lacks its stable version %q", service.Name, service.StableVersion)
		}
	}
	if err := validateRoutes(s); err != nil {
		return err
	}
	if err := validateRollouts(s); err != nil {
		return err
	}
	if err := validateCustomers(s); err != nil {
		return err
	}
	if _, ok := s.Presets[s.ActivePreset]; s.ActivePreset != "" && !ok {
		return invalid("the active preset %q is missing", s.ActivePreset)
	}
	for _, p := range sortedValues(s.Presets) {
		if !(p.FirstShare > 0 && p.FirstShare <= 1) {
			return invalid("preset %q has the first share %v, outside 0 to 1", p.Name, p.FirstShare)
		}
	}
	return nil
}

func validateRoutes(s *State) error {
	for _, r := range sortedValues(s.Routes) {
		for _, service := range routeServices(r) {
			if _, ok := s.Services[service]; !ok {
				return invalid("route %q names the missing service %q", r.Name, service)
			}
		}
		if r.Name == "" || r.PathPrefix == "" || r.PathPrefix[0] != '/' {
			return invalid("route %q has no path prefix", r.Name)
		}
	}
	return nil
}

// routeServices returns the names of the services that a route sends calls to.
func routeServices(r *schema.Route) []string {
	if len(r.Parts) == 0 {
		return []string{r.Service}
	}
	services := make([]string, len(r.Parts))
	for i, p := range r.Parts {
		services[i] = p.Service
	}
	return services
}

func validateRollouts(s *State) error {
	open := map[string]string{}
	for _, r := range sortedValues(s.Rollouts) {
		service, ok := s.Services[r.Service]
		if r.Phase != schema.RolloutPhase_ROLLOUT_PHASE_OPEN || r.DurationMs > 0 && (!ok || service.OpenVersions) {
			// A rollout with a duration may precede the declaration of its service. With open versions it may
			// name a version that no upstream has announced yet.
			continue
		}
		if !ok {
			return invalid("rollout %q names the missing service %q", r.Name, r.Service)
		}
		for _, v := range []string{r.From, r.To} {
			if !slices.Contains(service.Versions, v) {
				return invalid("rollout %q names the missing version %q of %q", r.Name, v, r.Service)
			}
		}
		if other, ok := open[r.Service]; ok {
			return invalid("service %q has two open rollouts, %q and %q", r.Service, other, r.Name)
		}
		open[r.Service] = r.Name
	}
	return nil
}

// Check validates declarations as if they were published together on an empty configuration.
func Check(declarations []*schema.Declaration, nowUnixMs int64) error {
	_, err := applyPublish(NewState().WithPosition(1), &schema.Publish{Declarations: declarations}, nowUnixMs)
	return err
}

// Assemble returns the state of declarations that are published on an earlier configuration, without validating it, and the
// errors of those that can't be applied.
func Assemble(earlier *State, declarations []*schema.Declaration, nowUnixMs int64) (*State, []error) {
	s := earlier.clone()
	var errs []error
	for _, d := range inApplyOrder(declarations) {
		if err := s.declare(d, nowUnixMs); err != nil {
			errs = append(errs, err)
		}
	}
	return s, errs
}
