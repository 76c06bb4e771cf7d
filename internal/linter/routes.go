package linter

import (
	"fmt"
	"maps"
	"slices"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// sortedNames returns the names of a state's objects of one kind.
func sortedNames[V any](objects map[string]V) []string { return slices.Sorted(maps.Keys(objects)) }

func routeFinding(s Severity, r *schema.Route, key, format string, values ...any) Finding {
	return Finding{Severity: s, Object: Object{Kind: KindRoute, Name: r.Name}, Key: key, Detail: fmt.Sprintf(format, values...)}
}

// servicesOf returns the names of the services that a route sends calls to.
func servicesOf(r *schema.Route) []string {
	if len(r.Parts) == 0 {
		return []string{r.Service}
	}
	var names []string
	for _, p := range r.Parts {
		names = append(names, p.Service)
	}
	return names
}

// findMissingServices finds routes to services that are not declared.
func findMissingServices(s *reducer.State) []Finding {
	var found []Finding
	for _, name := range sortedNames(s.Routes) {
		for _, service := range servicesOf(s.Routes[name]) {
			if s.Services[service] == nil {
				found = append(found, routeFinding(SeverityError, s.Routes[name], "service", "service %q is not declared", service))
			}
		}
	}
	return found
}

// routeKey identifies the requests, apart from their methods, that a route is the first to match.
type routeKey struct{ host, prefix string }

// findShadowedRoutes finds routes that never match, since others with the same host and prefix match all of their methods
// first. A longer prefix does not shadow a shorter one, since it does not match that prefix itself.
func findShadowedRoutes(s *reducer.State) []Finding {
	var found []Finding
	earlier := map[routeKey][]*schema.Route{}
	for _, r := range s.SortedRoutes() {
		key := routeKey{host: r.Host, prefix: r.PathPrefix}
		if by, shadowed := shadowedBy(r, earlier[key]); shadowed {
			found = append(found, routeFinding(SeverityError, r, "path-prefix", "never matches: %s matches first", by))
		}
		earlier[key] = append(earlier[key], r)
	}
	return found
}

// shadowedBy reports whether the earlier routes match all methods of a route, and names the first that matches any.
func shadowedBy(r *schema.Route, earlier []*schema.Route) (by string, shadowed bool) {
	taken := map[string]bool{}
	for _, e := range earlier {
		if len(e.Methods) == 0 {
			return e.Name, true
		}
		for _, m := range e.Methods {
			if by == "" && slices.Contains(r.Methods, m) {
				by = e.Name
			}
			taken[m] = true
		}
	}
	return by, len(r.Methods) > 0 && !slices.ContainsFunc(r.Methods, func(m string) bool { return !taken[m] })
}

// findServicesWithoutVersions finds routes to services none of whose versions is declared: no upstream can serve them.
func findServicesWithoutVersions(s *reducer.State) []Finding {
	var found []Finding
	for _, name := range sortedNames(s.Routes) {
		for _, service := range servicesOf(s.Routes[name]) {
			if declared := s.Services[service]; declared != nil && !declared.OpenVersions && len(declared.Versions) == 0 {
				found = append(found, routeFinding(SeverityError, s.Routes[name], "service", "service %q has no version", service))
			}
		}
	}
	return found
}

// findPartsWithoutWeight finds services that a route names, but never sends calls to.
func findPartsWithoutWeight(s *reducer.State) []Finding {
	var found []Finding
	for _, name := range sortedNames(s.Routes) {
		for _, p := range s.Routes[name].Parts {
			if p.Weight == 0 {
				found = append(found, routeFinding(SeverityWarning, s.Routes[name], "parts", "service %q has weight 0 and gets no calls", p.Service))
			}
		}
	}
	return found
}

// findUnusedServices finds services that no route names.
func findUnusedServices(s *reducer.State) []Finding {
	used := map[string]bool{}
	for _, r := range s.Routes {
		for _, service := range servicesOf(r) {
			used[service] = true
		}
	}
	var found []Finding
	for _, name := range sortedNames(s.Services) {
		if !used[name] {
			found = append(found, Finding{Severity: SeverityWarning, Object: Object{Kind: KindService, Name: name},
				Detail: "no route names the service"})
		}
	}
	return found
}

// findUnknownClasses finds routes whose class the active preset does not name: they have the lowest priority.
func findUnknownClasses(s *reducer.State) []Finding {
	preset := s.Presets[s.ActivePreset]
	if preset == nil {
		return nil
	}
	var found []Finding
	for _, name := range sortedNames(s.Routes) {
		if r := s.Routes[name]; !slices.Contains(preset.Classes, r.Class) {
			found = append(found, routeFinding(SeverityWarning, r, "class", "preset %q does not have class %q, so the route has the lowest priority",
				preset.Name, r.Class))
		}
	}
	return found
}

// findTimeoutsBelowTarget finds routes whose calls end before their latency target.
func findTimeoutsBelowTarget(s *reducer.State) []Finding {
	var found []Finding
	for _, name := range sortedNames(s.Routes) {
		if r := s.Routes[name]; r.TimeoutMs < r.AimMs {
			found = append(found, routeFinding(SeverityError, r, "timeout", "the timeout of %d ms is below the latency target of %d ms",
				r.TimeoutMs, r.AimMs))
		}
	}
	return found
}
