package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// snapshotCache tracks what has changed since the last routing snapshot, so that the next one reuses the rest. It
// belongs to the control goroutine.
type snapshotCache struct {
	// dirtyAll requests a rebuild of the whole snapshot, dirtyStatus one of the node's own status only: readiness,
	// leaving, the local upstream and the refused requests.
	dirtyAll    bool
	dirtyStatus bool
	// dirtyServices holds the services whose members or rollout progress have changed.
	dirtyServices map[string]bool
	// membersByService holds the usable members that announce an upstream, by service and node name.
	membersByService map[string]map[string]*schema.Member
	// serviceByNode holds the service under which each node is listed in membersByService.
	serviceByNode map[string]string
	// loads holds the load counters of nodes, which successive snapshots share.
	loads map[string]*loadEntry
}

// loadEntry is the load of one incarnation of a node; a restarted node starts with a fresh one.
type loadEntry struct {
	incarnation uint64
	load        *balancer.Load
}

// updateMember updates the index for a changed member and marks its old and new services dirty. A nil member is
// ignored.
func (c *snapshotCache) updateMember(m *schema.Member) {
	if m == nil {
		return
	}
	if c.membersByService == nil {
		c.membersByService = map[string]map[string]*schema.Member{}
		c.serviceByNode = map[string]string{}
		c.dirtyServices = map[string]bool{}
		c.loads = map[string]*loadEntry{}
	}
	if old, ok := c.serviceByNode[m.Node]; ok {
		delete(c.membersByService[old], m.Node)
		delete(c.serviceByNode, m.Node)
		c.dirtyServices[old] = true
	}
	if !isUsable(m) || m.Service == "" {
		delete(c.loads, m.Node)
		return
	}
	if c.membersByService[m.Service] == nil {
		c.membersByService[m.Service] = map[string]*schema.Member{}
	}
	c.membersByService[m.Service][m.Node] = m
	c.serviceByNode[m.Node] = m.Service
	c.dirtyServices[m.Service] = true
}

// markServiceDirty marks a service dirty whose rollout progress has changed.
func (c *snapshotCache) markServiceDirty(name string) {
	if c.dirtyServices == nil {
		c.dirtyServices = map[string]bool{}
	}
	c.dirtyServices[name] = true
}

func (c *snapshotCache) load(m *schema.Member) *balancer.Load {
	e, ok := c.loads[m.Node]
	if !ok || e.incarnation != m.Incarnation {
		e = &loadEntry{incarnation: m.Incarnation, load: &balancer.Load{}}
		c.loads[m.Node] = e
	}
	return e.load
}

// publishSnapshot builds and publishes a routing snapshot in which the dirty parts are rebuilt. It does nothing if
// nothing is dirty.
func (k *Controller) publishSnapshot(now time.Time) {
	if !k.snapshotCache.dirtyAll && !k.snapshotCache.dirtyStatus && len(k.snapshotCache.dirtyServices) == 0 {
		return
	}
	last := k.currentSnapshot.Load()
	if last == nil {
		last = &router.Snapshot{Node: k.table.Self().Node, Services: map[string]*router.Service{}}
	}
	next := *last
	next.Reason = k.notReadyReason(now)
	next.Ready = k.start.ready
	next.Configured = k.state.Version > 0
	next.Leaving = k.leaving
	next.MemberCount = k.table.Len()
	next.QuotaShares = k.table.Len() - k.table.LeftCount()
	next.LocalUpstream = k.localUpstream()
	next.CrashFingerprints = k.refusedRequests()
	snapshot := &next
	if k.snapshotCache.dirtyAll {
		snapshot.Version = k.state.Version
		snapshot.Revision = k.state.Revision
		snapshot.Position = k.state.Position
		snapshot.Limits = k.state.Limits
		snapshot = snapshot.WithRoutes(k.state.SortedRoutes()).WithPreset(k.state.Preset()).
			WithCustomers(k.state.Customers)
		snapshot.Services = make(map[string]*router.Service, len(k.state.Services))
		for name := range k.state.Services {
			snapshot.Services[name] = k.buildService(name)
		}
	} else if len(k.snapshotCache.dirtyServices) > 0 {
		snapshot.Services = maps.Clone(last.Services)
		for name := range k.snapshotCache.dirtyServices {
			if _, ok := k.state.Services[name]; ok {
				snapshot.Services[name] = k.buildService(name)
			}
		}
	}
	k.assertSnapshot(last, snapshot)
	k.snapshotCache.dirtyAll = false
	k.snapshotCache.dirtyStatus = false
	clear(k.snapshotCache.dirtyServices)
	k.currentSnapshot.Store(snapshot)
	k.config.Publish(snapshot)
}

// assertSnapshot checks that the configuration did not go back and, after a full rebuild, that every route's service exists.
func (k *Controller) assertSnapshot(last, snapshot *router.Snapshot) {
	k.common.Checker.Assert(!isOlder(snapshot, last), checker.VersionMonotonic, "routing snapshot of revision %d, version %v after revision %d, version %v",
		snapshot.Revision, reducer.Position(snapshot.Version), last.Revision, reducer.Position(last.Version))
	if !k.snapshotCache.dirtyAll {
		return
	}
	for service := range snapshot.RouteServices() {
		_, ok := snapshot.Services[service]
		k.common.Checker.Assert(ok, checker.RouteResolved, "route to the missing service %s", service)
	}
}

// isOlder reports whether the configuration of a routing snapshot is older than that of another one.
func isOlder(snapshot, other *router.Snapshot) bool {
	if snapshot.Position.Era() == 0 {
		return snapshot.Version < other.Version
	}
	return cmp.Or(cmp.Compare(snapshot.Revision, other.Revision), cmp.Compare(snapshot.Version, other.Version)) < 0
}

// buildService returns a service with its endpoints. Draining members and those in evacuated availability zones are in
// Nodes, but get no new calls.
func (k *Controller) buildService(name string) *router.Service {
	declared := k.state.Services[name]
	s := &router.Service{Name: name}
	if r := k.activeRollout(name); r != nil {
		s.Rollout = &router.Rollout{Name: r.Name, DeclaredVersion: r.DeclaredVersion, From: r.From, To: r.To, Share: k.share(r),
			Decided: isDecided(k.progress[r.Name]), Controller: k.progress[r.Name].GetController(),
			Epoch: k.progress[r.Name].GetEpoch()}
	}
	members := k.snapshotCache.membersByService[name]
	for _, node := range slices.Sorted(maps.Keys(members)) {
		m := members[node]
		e := k.endpoint(m)
		s.Nodes = append(s.Nodes, e)
		if m.Draining || k.state.DrainedNodes[node] {
			continue
		}
		if k.state.EvacuatedZones[m.Zone] {
			s.Evacuated = true
			continue
		}
		switch {
		case s.Rollout != nil && m.Version == s.Rollout.To:
			s.Canary = append(s.Canary, e)
		case declared.OpenVersions, s.Rollout != nil && m.Version == s.Rollout.From, m.Version == declared.StableVersion:
			s.Stable = append(s.Stable, e)
		}
	}
	return s
}

// activeRollout returns the rollout that splits the traffic of a service, or nil. Where versions are not declared, the
// outcome of a closed rollout applies until the next one, since upstreams of both versions may still run.
func (k *Controller) activeRollout(service string) *schema.Rollout {
	if k.state.Services[service].GetOpenVersions() {
		return k.state.Rollouts[service]
	}
	return k.state.OpenRollout(service)
}

// localUpstream returns the local upstream as the routing snapshot holds it, or nil.
func (k *Controller) localUpstream() *router.Local {
	self := k.table.Self()
	declared := k.state.Services[k.lease.announcement.Service]
	evacuated := k.state.EvacuatedZones[self.Zone]
	l := k.lease.local(k.state.DrainedNodes[self.Node] || evacuated, int(declared.GetMaxConnections()))
	if l == nil {
		return nil
	}
	l.Evacuated = evacuated
	l.ColdCallsPerSecond = declared.GetColdCallsPerSecond()
	l.ColdStart = time.Duration(declared.GetColdStartMs()) * time.Millisecond
	return l
}

func (k *Controller) endpoint(m *schema.Member) *balancer.Endpoint {
	return &balancer.Endpoint{
		Node: m.Node, Incarnation: m.Incarnation, Process: m.Process, Zone: m.Zone, Service: m.Service, Version: m.Version,
		PeerAddress: m.PeerAddress, ControlAddress: m.ControlAddress, Slots: m.Slots, WarmAt: time.UnixMilli(m.WarmUnixMs),
		Suspect: m.Status == schema.MemberStatus_MEMBER_STATUS_SUSPECT, Load: k.snapshotCache.load(m),
		Upstream: upstreamOf(m),
	}
}

// upstreamOf returns the incarnation of a member's upstream. It is the zero value if the member names an earlier one,
// which has left, although its upstream takes calls.
func upstreamOf(m *schema.Member) balancer.Incarnation {
	if m.UpstreamLeft && !m.Draining {
		return balancer.Incarnation{}
	}
	return balancer.Incarnation{Instance: m.Instance, StartedUnixMs: m.InstanceUnixMs}
}

// share returns the share of calls, from 0 to 1, that goes to a rollout's new version.
func (k *Controller) share(r *schema.Rollout) float64 {
	p := k.progress[r.Name]
	if p == nil {
		return roller.ShareAt(k.state.Preset(), 0)
	}
	switch {
	case p.RolledBack:
		return 0
	case p.Completed:
		return 1
	case roller.IsPaused(p.Pauses):
		return 0
	}
	return roller.ShareAt(k.state.Preset(), int(p.Step))
}
