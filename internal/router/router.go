// Package router holds the immutable view of the mesh by which calls are routed.
//
// The control goroutine builds a Snapshot after each change; a call uses one Snapshot from start to end.
package router

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Rollout is the part of an open rollout that routing needs.
type Rollout struct {
	Name            string
	DeclaredVersion uint64
	From            string
	To              string
	// Share of calls for To, from 0 to 1. It is 0 once the rollout is rolled back.
	Share float64
}

// Service is a service with its live upstreams.
type Service struct {
	Name    string
	Stable  string
	Rollout *Rollout
	// Versions holds the endpoints that take new work, by version.
	Versions map[string][]*balancer.Endpoint
	// Owners are all live nodes of the service, those that drain included, sorted by name.
	Owners []*balancer.Endpoint
}

// Local is the upstream beside this node.
type Local struct {
	Service     string
	Version     string
	Address     string
	Slots       int
	Connections int
	Draining    bool
	// WarmAt is the end of the upstream's cold start.
	WarmAt time.Time
}

// Snapshot is everything a call needs to know. It is never changed after it is published.
type Snapshot struct {
	// Version is the configuration version in force. It never falls from one Snapshot to the next.
	Version  uint64
	Position uint64
	// Ready tells whether the node may take calls; Reason tells why not.
	Ready  bool
	Reason string
	// Leaving tells that the node is being shut down; it still serves calls.
	Leaving bool
	Node    string
	// Services by name. Every route's service is a key.
	Services map[string]*Service
	Preset   *schema.Preset
	// Local is nil while no upstream is announced.
	Local *Local
	// Refused holds the fingerprints of requests that crash upstreams.
	Refused map[uint64]bool
	Members int

	routes routeIndex
	ranks  map[string]int
}

// routeIndex finds routes by the first segment of their path prefix. Lists are ordered by longest prefix.
type routeIndex struct {
	bySegment map[string][]*schema.Route
	// root holds the routes whose prefix is "/".
	root []*schema.Route
}

// WithRoutes returns the snapshot with other routes, given with the longest prefix first.
func (s *Snapshot) WithRoutes(routes []*schema.Route) *Snapshot {
	next := *s
	next.routes = routeIndex{bySegment: map[string][]*schema.Route{}}
	for _, r := range routes {
		if r.PathPrefix == "/" {
			next.routes.root = append(next.routes.root, r)
			continue
		}
		segment := firstSegment(r.PathPrefix)
		next.routes.bySegment[segment] = append(next.routes.bySegment[segment], r)
	}
	return &next
}

// WithPreset returns the snapshot with another preset in force.
func (s *Snapshot) WithPreset(p *schema.Preset) *Snapshot {
	next := *s
	next.Preset = p
	next.ranks = map[string]int{}
	for i, c := range p.Classes {
		next.ranks[c] = i
	}
	return &next
}

func firstSegment(path string) string {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return segment
}

// Match returns the route with the longest prefix for a method and path, or nil.
// A prefix matches whole path segments: /status matches /status and /status/7, not /statusx.
func (s *Snapshot) Match(method, path string) *schema.Route {
	path, _, _ = strings.Cut(path, "?")
	if r := match(s.routes.bySegment[firstSegment(path)], method, path); r != nil {
		return r
	}
	return match(s.routes.root, method, path)
}

func match(routes []*schema.Route, method, path string) *schema.Route {
	for _, r := range routes {
		if hasPathPrefix(path, r.PathPrefix) && slices.Contains(r.Methods, method) {
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

// Rank returns the priority of a class: 0 is the highest. Unknown classes come last.
func (s *Snapshot) Rank(class string) int {
	if r, ok := s.ranks[class]; ok {
		return r
	}
	return len(s.ranks)
}

// RouteNames returns the names of all routes with their services, for checks.
func (s *Snapshot) RouteNames() map[string]string {
	names := map[string]string{}
	for _, r := range s.routes.root {
		names[r.Name] = r.Service
	}
	for _, routes := range s.routes.bySegment {
		for _, r := range routes {
			names[r.Name] = r.Service
		}
	}
	return names
}
