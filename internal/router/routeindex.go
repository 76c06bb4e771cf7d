package router

import (
	"slices"
	"strings"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// routeIndex finds the routes of one host by the first segment of their path prefix.
// Its lists are sorted by descending prefix length.
type routeIndex struct {
	// bySegment maps the first path segment to the routes whose prefix begins with it.
	bySegment map[string][]*schema.Route
	// root holds the routes whose prefix is "/".
	root []*schema.Route
}

// with returns the index with one more route. It modifies bySegment, which it shares with the receiver.
func (x routeIndex) with(r *schema.Route) routeIndex {
	if r.PathPrefix == "/" {
		x.root = append(x.root, r)
		return x
	}
	segment := firstSegment(r.PathPrefix)
	x.bySegment[segment] = append(x.bySegment[segment], r)
	return x
}

func (x routeIndex) match(method, path string) *schema.Route {
	if r := matchFirst(x.bySegment[firstSegment(path)], method, path); r != nil {
		return r
	}
	return matchFirst(x.root, method, path)
}

func (x routeIndex) addServices(services map[string]bool) {
	for _, r := range x.root {
		addRouteServices(r, services)
	}
	for _, routes := range x.bySegment {
		for _, r := range routes {
			addRouteServices(r, services)
		}
	}
}

func addRouteServices(r *schema.Route, services map[string]bool) {
	if len(r.Parts) == 0 {
		services[r.Service] = true
	}
	for _, p := range r.Parts {
		services[p.Service] = true
	}
}

func firstSegment(path string) string {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return segment
}

// matchFirst returns the first route that matches the method and path. A route without methods matches all methods.
func matchFirst(routes []*schema.Route, method, path string) *schema.Route {
	for _, r := range routes {
		if hasPathPrefix(path, r.PathPrefix) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method)) {
			return r
		}
	}
	return nil
}

func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
