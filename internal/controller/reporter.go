package controller

import (
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// controllerCandidates is how many nodes are tried as controller of a rollout.
	controllerCandidates = 3
	// nodesPerInterval is how many nodes make the interval of reports one interval longer, so that the reports that a
	// controller takes in do not grow with the mesh.
	nodesPerInterval = 100
	// candidateRetry is how long a candidate that did not answer is passed over.
	candidateRetry = 2 * time.Second
)

// reporter sends the node's evidence on open rollouts to their controllers.
type reporter struct {
	controller *Controller
	stop       chan struct{}
	done       chan struct{}
	// unsent evidence by rollout, kept until a controller has received it.
	unsent map[string]*schema.Report
	failed map[string]time.Time
	// next is when the next report is due.
	next time.Time
}

func newReporter(k *Controller) *reporter {
	return &reporter{controller: k, stop: make(chan struct{}), done: make(chan struct{}),
		unsent: map[string]*schema.Report{}, failed: map[string]time.Time{}}
}

func (r *reporter) close() {
	close(r.stop)
	<-r.done
}

// run reports at each interval until close.
func (r *reporter) run() {
	defer close(r.done)
	ticker := time.NewTicker(r.controller.common.Settings.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			if now := time.Now(); !now.Before(r.next) {
				r.report(now)
			}
		}
	}
}

// reportPause returns the time between two reports of a node.
func reportPause(interval time.Duration, nodes int) time.Duration {
	return interval * time.Duration(1+nodes/nodesPerInterval)
}

func (r *reporter) report(now time.Time) {
	view := r.controller.Snapshot()
	interval := r.controller.common.Settings.ReportInterval
	// Half an interval keeps a late tick from putting the report off by a whole one.
	r.next = now.Add(reportPause(interval, view.Members) - interval/2)
	for _, fresh := range r.controller.config.Evidence.TakeEvidence() {
		r.merge(fresh)
	}
	r.addHeartbeat(view)
	for name, report := range r.unsent {
		service := serviceOf(view, name)
		if service == nil || r.send(service, report, now) {
			delete(r.unsent, name)
		}
	}
}

func (r *reporter) merge(fresh *schema.Report) {
	const maxEvidence = 1024
	old, ok := r.unsent[fresh.Rollout]
	if !ok || old.DeclaredVersion != fresh.DeclaredVersion || len(old.Evidence) > maxEvidence {
		r.unsent[fresh.Rollout] = fresh
		return
	}
	old.Evidence = append(old.Evidence, fresh.Evidence...)
}

// addHeartbeat makes sure that a controller hears of its service's rollout even without calls.
func (r *reporter) addHeartbeat(view *router.Snapshot) {
	if view.Local == nil {
		return
	}
	service := view.Services[view.Local.Service]
	if service == nil || service.Rollout == nil || service.Rollout.Decided || r.unsent[service.Rollout.Name] != nil {
		return
	}
	if !slices.ContainsFunc(candidates(service), func(e *balancer.Endpoint) bool { return e.Node == view.Node }) {
		return
	}
	r.unsent[service.Rollout.Name] = &schema.Report{Rollout: service.Rollout.Name, DeclaredVersion: service.Rollout.DeclaredVersion}
}

func serviceOf(view *router.Snapshot, rollout string) *router.Service {
	for _, s := range view.Services {
		if s.Rollout != nil && s.Rollout.Name == rollout {
			return s
		}
	}
	return nil
}

// send tries the candidates in rendezvous order, so that all nodes report to the same one while it answers.
func (r *reporter) send(s *router.Service, report *schema.Report, now time.Time) bool {
	report.Node = r.controller.Snapshot().Node
	for _, e := range candidates(s) {
		if now.Sub(r.failed[e.Node]) < candidateRetry {
			continue
		}
		if e.Node == report.Node {
			r.controller.do(func() { r.controller.handleEvent(gossiper.Event{Kind: gossiper.ReportReceived, Report: report}) })
			return true
		}
		if err := r.controller.gossiper.Report(e.ControlAddress, report); err == nil {
			delete(r.failed, e.Node)
			return true
		}
		r.failed[e.Node] = now
	}
	return false
}

func candidates(s *router.Service) []*balancer.Endpoint {
	ranked := ranker.Rank("rollout-controller/"+s.Rollout.Name, s.Owners, func(e *balancer.Endpoint) string { return e.Node })
	return ranked[:min(len(ranked), controllerCandidates)]
}

// controls reports whether this node is the first candidate for a rollout.
func (k *Controller) controls(r *schema.Rollout) bool {
	s := k.Snapshot().Services[r.Service]
	if s == nil || s.Rollout == nil {
		return false
	}
	c := candidates(s)
	return len(c) > 0 && c[0].Node == k.table.Self().Node
}
