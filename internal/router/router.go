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
	// Decided tells that the rollout is over, so that no evidence is needed.
	Decided bool
}

// Service is a service with its live upstreams.
type Service struct {
	Name    string
	Rollout *Rollout
	// Endpoints take new work, but for those of the rollout's new version.
	Endpoints []*balancer.Endpoint
	// Trial are the endpoints of the rollout's new version. They take its share of new work.
	Trial []*balancer.Endpoint
	// Owners are all live nodes of the service, those that drain included, sorted by name.
	Owners []*balancer.Endpoint
}

// HasEndpoint tells whether an endpoint that takes new work fits. A nil service has none.
func (s *Service) HasEndpoint(fits func(*balancer.Endpoint) bool) bool {
	return s != nil && (slices.ContainsFunc(s.Endpoints, fits) || slices.ContainsFunc(s.Trial, fits))
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
	// Instance identifies the upstream's incarnation, or is empty.
	Instance string
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
	// Configured tells that some configuration is known.
	Configured bool
	Node       string
	// Services by name. Every route's service is a key.
	Services map[string]*Service
	Preset   *schema.Preset
	// Limits bound what callers may send. It is nil where the configuration gives none.
	Limits *schema.Limits
	// Local is nil while no upstream is announced.
	Local *Local
	// Refused holds the fingerprints of requests that crash upstreams.
	Refused map[uint64]bool
	Members int

	// routes by host; those for any host are under the empty name.
	routes map[string]routeIndex
	ranks  map[string]int
}

// WithRoutes returns the snapshot with other routes, given with the longest prefix first.
func (s *Snapshot) WithRoutes(routes []*schema.Route) *Snapshot {
	next := *s
	next.routes = map[string]routeIndex{}
	for _, r := range routes {
		index, ok := next.routes[r.Host]
		if !ok {
			index = routeIndex{bySegment: map[string][]*schema.Route{}}
		}
		next.routes[r.Host] = index.with(r)
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

// Match returns the route with the longest prefix for a host, method and path, or nil.
// A prefix matches whole path segments: /status matches /status and /status/7, not /statusx.
// Routes of the host go before those for any host.
func (s *Snapshot) Match(host, method, path string) *schema.Route {
	path, _, _ = strings.Cut(path, "?")
	if r := s.routes[host].match(method, path); r != nil || host == "" {
		return r
	}
	return s.routes[""].match(method, path)
}

// Rank returns the priority of a class: 0 is the highest. Unknown classes come last.
func (s *Snapshot) Rank(class string) int {
	if r, ok := s.ranks[class]; ok {
		return r
	}
	return len(s.ranks)
}

// RouteServices returns the names of all services that routes lead to, for checks.
func (s *Snapshot) RouteServices() map[string]bool {
	services := map[string]bool{}
	for _, index := range s.routes {
		index.addServices(services)
	}
	return services
}
