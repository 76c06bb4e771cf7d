package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// viewCache remembers what a new view can share with the last one.
type viewCache struct {
	// dirtyAll asks for a rebuild of everything, dirtyTime for a look at readiness only.
	dirtyAll  bool
	dirtyTime bool
	// dirty holds the services whose members or rollouts changed.
	dirty map[string]bool
	// members holds the members that announce an upstream, by service and node.
	members map[string]map[string]*schema.Member
	// service of each node in members.
	service map[string]string
	loads   map[string]*loadEntry
}

type loadEntry struct {
	incarnation uint64
	load        *balancer.Load
}

// touch notes a changed member.
func (v *viewCache) touch(m *schema.Member) {
	if m == nil {
		return
	}
	if v.members == nil {
		v.members = map[string]map[string]*schema.Member{}
		v.service = map[string]string{}
		v.dirty = map[string]bool{}
		v.loads = map[string]*loadEntry{}
	}
	if old, ok := v.service[m.Node]; ok {
		delete(v.members[old], m.Node)
		delete(v.service, m.Node)
		v.dirty[old] = true
	}
	if !isUsable(m) || m.Service == "" {
		delete(v.loads, m.Node)
		return
	}
	if v.members[m.Service] == nil {
		v.members[m.Service] = map[string]*schema.Member{}
	}
	v.members[m.Service][m.Node] = m
	v.service[m.Node] = m.Service
	v.dirty[m.Service] = true
}

// touchService notes a service whose rollout changed.
func (v *viewCache) touchService(name string) {
	if v.dirty == nil {
		v.dirty = map[string]bool{}
	}
	v.dirty[name] = true
}

func (v *viewCache) load(m *schema.Member) *balancer.Load {
	e, ok := v.loads[m.Node]
	if !ok || e.incarnation != m.Incarnation {
		e = &loadEntry{incarnation: m.Incarnation, load: &balancer.Load{}}
		v.loads[m.Node] = e
	}
	return e.load
}

// publishView builds the view that differs from the last one in what is dirty, and puts it in force.
func (k *Controller) publishView(now time.Time) {
	if !k.view.dirtyAll && !k.view.dirtyTime && len(k.view.dirty) == 0 {
		return
	}
	last := k.current.Load()
	if last == nil {
		last = &router.Snapshot{Node: k.table.Self().Node, Services: map[string]*router.Service{}}
	}
	next := *last
	next.Reason = k.start.reason(k.state.Position, k.table.Len(), now)
	next.Ready = k.start.ready
	next.Leaving = k.leaving
	next.Members = k.table.Len()
	next.Local = k.lease.local(k.state.DrainedNodes[next.Node] || k.leaving)
	next.Refused = k.refusedRequests()
	view := &next
	if k.view.dirtyAll {
		view.Version = k.state.Version
		view.Position = k.state.Position
		view = view.WithRoutes(k.state.SortedRoutes()).WithPreset(k.state.Preset())
		view.Services = make(map[string]*router.Service, len(k.state.Services))
		for name := range k.state.Services {
			view.Services[name] = k.buildService(name, now)
		}
	} else if len(k.view.dirty) > 0 {
		view.Services = maps.Clone(last.Services)
		for name := range k.view.dirty {
			if _, ok := k.state.Services[name]; ok {
				view.Services[name] = k.buildService(name, now)
			}
		}
	}
	k.assertView(last, view)
	k.view.dirtyAll = false
	k.view.dirtyTime = false
	clear(k.view.dirty)
	k.current.Store(view)
	k.config.Publish(view)
}

// assertView checks that the version did not fall and that every route has its service.
func (k *Controller) assertView(last, view *router.Snapshot) {
	k.common.Checker.Assert(view.Version >= last.Version, checker.VersionMonotonic, "view of version %d after %d", view.Version, last.Version)
	if !k.view.dirtyAll {
		return
	}
	for route, service := range view.RouteNames() {
		_, ok := view.Services[service]
		k.common.Checker.Assert(ok, checker.RouteResolved, "route %s without service %s", route, service)
	}
}

func (k *Controller) buildService(name string, now time.Time) *router.Service {
	declared := k.state.Services[name]
	s := &router.Service{Name: name, Stable: declared.StableVersion, Versions: map[string][]*balancer.Endpoint{}}
	if r := k.state.OpenRollout(name); r != nil {
		s.Rollout = &router.Rollout{Name: r.Name, DeclaredVersion: r.DeclaredVersion, From: r.From, To: r.To, Share: k.share(r)}
	}
	members := k.view.members[name]
	for _, node := range slices.Sorted(maps.Keys(members)) {
		m := members[node]
		e := k.endpoint(m)
		s.Owners = append(s.Owners, e)
		if !m.Draining && !k.state.DrainedNodes[node] {
			s.Versions[m.Version] = append(s.Versions[m.Version], e)
		}
	}
	return s
}

func (k *Controller) endpoint(m *schema.Member) *balancer.Endpoint {
	return &balancer.Endpoint{
		Node: m.Node, Incarnation: m.Incarnation, Zone: m.Zone, Service: m.Service, Version: m.Version,
		PeerAddress: m.PeerAddress, ControlAddress: m.ControlAddress, Slots: m.Slots, WarmAt: time.UnixMilli(m.WarmUnixMs),
		Suspect: m.Status == schema.MemberStatus_MEMBER_STATUS_SUSPECT, Load: k.view.load(m),
	}
}

// share returns the share of calls that a rollout's new version takes.
func (k *Controller) share(r *schema.Rollout) float64 {
	p := k.progress[r.Name]
	if p == nil {
		return roller.ShareAt(k.state.Preset(), 0)
	}
	if p.RolledBack {
		return 0
	}
	return roller.ShareAt(k.state.Preset(), int(p.Step))
}
