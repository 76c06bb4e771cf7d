// Package router holds the immutable view of the mesh from which calls are routed.
//
// The control goroutine builds a new Snapshot after each change. A call uses the same Snapshot from start to end.
package router

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Rollout is what routing needs to know of the rollout that divides the traffic of a service.
type Rollout struct {
	Name            string
	DeclaredVersion uint64
	From            string
	To              string
	// Share is the fraction of calls that go to version To, from 0 to 1. It is 0 once the rollout is rolled back and 1
	// once it is completed.
	Share float64
	// Decided means that the outcome is known, so that nodes stop collecting evidence.
	Decided bool
	// Controller is the node that controls the rollout with the highest known epoch, Epoch. It is empty if none is known.
	Controller string
	Epoch      uint64
}

// Service is a service and the endpoints that serve it.
type Service struct {
	Name    string
	Rollout *Rollout
	// Stable are the endpoints that take new calls, without those of the rollout's new version.
	Stable []*balancer.Endpoint
	// Canary are the endpoints of the rollout's new version. They take its share of new calls.
	Canary []*balancer.Endpoint
	// Nodes are the endpoints of all live nodes of the service, draining ones included, sorted by node name. The
	// service's idempotency keys and rollouts are assigned to them.
	Nodes []*balancer.Endpoint
	// Evacuated means that some of the nodes get no new calls because their availability zone is evacuated.
	Evacuated bool
}

// HasEndpoint reports whether any endpoint that takes new calls satisfies the predicate. A nil service has none.
func (s *Service) HasEndpoint(match func(*balancer.Endpoint) bool) bool {
	return s != nil && (slices.ContainsFunc(s.Stable, match) || slices.ContainsFunc(s.Canary, match))
}

// Local is the upstream that runs beside this node.
type Local struct {
	Service     string
	Version     string
	Address     string
	Slots       int
	Connections int
	Draining    bool
	// WarmAt is when the upstream's cold start ends.
	WarmAt time.Time
	// ColdUntil is when the cold start ends by the announcement that arrived at AnnouncedAt. It is exact, while WarmAt,
	// which other nodes are told, ignores small changes.
	ColdUntil   time.Time
	AnnouncedAt time.Time
	// ColdCallsPerSecond is how many calls per second the upstream may get from all nodes together in a cold start, or 0
	// if that is not limited. ColdStart is how long a cold start lasts.
	ColdCallsPerSecond float64
	ColdStart          time.Duration
	// Evacuated means that the upstream's availability zone is evacuated. The upstream is then draining, too.
	Evacuated bool
	// Instance identifies the upstream's incarnation. It is empty if the upstream announced none.
	Instance string
	// StartedUnixMs is the incarnation's start by the upstream's own clock, or 0 if the upstream announced none.
	StartedUnixMs int64
}

// Incarnation returns the identity of the upstream's incarnation.
func (l *Local) Incarnation() balancer.Incarnation {
	return balancer.Incarnation{Instance: l.Instance, StartedUnixMs: l.StartedUnixMs}
}

// Snapshot is the state that calls are routed by. It is never changed after it is published.
type Snapshot struct {
	// Version is the configuration version in force. From one Snapshot to the next it decreases only if Revision grows.
	Version uint64
	// Revision is the operator's own number of the configuration, or 0. Where the log states eras it never decreases.
	Revision uint64
	// Position is the log position of the state that the configuration was last taken from.
	Position reducer.Position
	// Ready means that the node may take calls; Reason says why not.
	Ready  bool
	Reason string
	// Leaving means that the node is shutting down; it still serves calls.
	Leaving bool
	// Configured means that the node has received a configuration.
	Configured bool
	Node       string
	// Services maps names to services. It contains every service that a route names.
	Services map[string]*Service
	Preset   *schema.Preset
	// Limits bound what callers may send. It is nil if the configuration sets none.
	Limits *schema.Limits
	// LocalUpstream is nil while no upstream is announced.
	LocalUpstream *Local
	// CrashFingerprints holds the fingerprints of requests that are refused because they crash upstreams.
	CrashFingerprints map[uint64]bool
	// MemberCount is the number of known members of the mesh, including those remembered as gone.
	MemberCount int
	// QuotaShares is the number of members that each have a share of the customers' quotas: all known ones but those that
	// have left. Those that are dead for this node may only be cut off from it.
	QuotaShares int

	// routes maps hosts to their routes; routes for any host are under the empty name.
	routes map[string]routeIndex
	// ranks maps priority classes to their ranks.
	ranks     map[string]int
	customers customerIndex
}

// WithRoutes returns a copy with the given routes, which must be sorted by descending prefix length.
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

// WithPreset returns a copy with the given preset in force.
func (s *Snapshot) WithPreset(p *schema.Preset) *Snapshot {
	next := *s
	next.Preset = p
	next.ranks = map[string]int{}
	for i, c := range p.Classes {
		next.ranks[c] = i
	}
	return &next
}

// Match returns the route with the longest path prefix for a host, method and path, or nil.
// A prefix matches whole path segments: /status matches /status and /status/7, but not /statusx.
// Routes of the host take precedence over those for any host.
func (s *Snapshot) Match(host, method, path string) *schema.Route {
	path, _, _ = strings.Cut(path, "?")
	if r := s.routes[host].match(method, path); r != nil || host == "" {
		return r
	}
	return s.routes[""].match(method, path)
}

// Rank returns the priority of a class; 0 is the highest. Unknown classes have the lowest.
func (s *Snapshot) Rank(class string) int {
	if r, ok := s.ranks[class]; ok {
		return r
	}
	return len(s.ranks)
}

// RouteServices returns the names of all services that routes name. It serves consistency checks.
func (s *Snapshot) RouteServices() map[string]bool {
	services := map[string]bool{}
	for _, index := range s.routes {
		index.addServices(services)
	}
	return services
}
