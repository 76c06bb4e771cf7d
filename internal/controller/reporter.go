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
	// maxControllerCandidates is the number of nodes that a report on a rollout is offered to as its controller.
	maxControllerCandidates = 3
	// nodesPerInterval is the number of nodes for which the time between two reports grows by one report interval. This
	// bounds the rate of reports that a controller receives in a large mesh.
	nodesPerInterval = 100
	// candidateRetryDelay is how long a candidate that did not answer is skipped.
	candidateRetryDelay = 2 * time.Second
)

// reporter sends the node's evidence on open rollouts to their controllers. Its maps belong to its run goroutine.
type reporter struct {
	controller *Controller
	stop       chan struct{}
	done       chan struct{}
	// unsent holds evidence by rollout until a controller has received it.
	unsent map[string]*schema.Report
	// failedAt holds when a candidate last failed to answer, by node.
	failedAt map[string]time.Time
	// nextReport is when the next report is due.
	nextReport time.Time
}

func newReporter(k *Controller) *reporter {
	return &reporter{controller: k, stop: make(chan struct{}), done: make(chan struct{}),
		unsent: map[string]*schema.Report{}, failedAt: map[string]time.Time{}}
}

func (r *reporter) close() {
	close(r.stop)
	<-r.done
}

// run sends reports until close.
func (r *reporter) run() {
	defer close(r.done)
	ticker := time.NewTicker(r.controller.common.Settings.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			if now := time.Now(); !now.Before(r.nextReport) {
				r.report(now)
			}
		}
	}
}

// scaledInterval returns the time between two reports of a node in a mesh of a size.
func scaledInterval(interval time.Duration, nodes int) time.Duration {
	return interval * time.Duration(1+nodes/nodesPerInterval)
}

// report sends the unsent evidence. Evidence of a rollout that no service has any more is dropped.
func (r *reporter) report(now time.Time) {
	snapshot := r.controller.Snapshot()
	interval := r.controller.common.Settings.ReportInterval
	// Subtracting half an interval keeps a late tick from delaying the report by a whole interval.
	r.nextReport = now.Add(scaledInterval(interval, snapshot.MemberCount) - interval/2)
	for _, report := range r.controller.config.Evidence.TakeEvidence() {
		r.merge(report)
	}
	r.addEmptyReport(snapshot)
	for name, report := range r.unsent {
		service := serviceOfRollout(snapshot, name)
		if service == nil || r.send(service, report, now) {
			delete(r.unsent, name)
		}
	}
}

// merge appends a report's evidence to the unsent one. It discards unsent evidence of an earlier declaration of the
// rollout, or if there is too much of it.
func (r *reporter) merge(report *schema.Report) {
	const maxUnsentEvidence = 1024
	unsent, ok := r.unsent[report.Rollout]
	if !ok || unsent.DeclaredVersion != report.DeclaredVersion || len(unsent.Evidence) > maxUnsentEvidence {
		r.unsent[report.Rollout] = report
		return
	}
	unsent.Evidence = append(unsent.Evidence, report.Evidence...)
}

// addEmptyReport adds a report without evidence for the rollout of the local upstream's service if this node is one of
// its candidates, so that the rollout has a controller even without calls.
func (r *reporter) addEmptyReport(snapshot *router.Snapshot) {
	if snapshot.LocalUpstream == nil {
		return
	}
	service := snapshot.Services[snapshot.LocalUpstream.Service]
	if service == nil || service.Rollout == nil || service.Rollout.Decided || r.unsent[service.Rollout.Name] != nil {
		return
	}
	isSelf := func(e *balancer.Endpoint) bool { return e.Node == snapshot.Node }
	if !slices.ContainsFunc(controllerCandidates(service), isSelf) {
		return
	}
	r.unsent[service.Rollout.Name] = &schema.Report{
		Rollout: service.Rollout.Name, DeclaredVersion: service.Rollout.DeclaredVersion}
}

func serviceOfRollout(snapshot *router.Snapshot, rollout string) *router.Service {
	for _, s := range snapshot.Services {
		if s.Rollout != nil && s.Rollout.Name == rollout {
			return s
		}
	}
	return nil
}

// send offers the report to the candidates in rendezvous order, so that all nodes report to the same one while it
// answers. It reports whether one has received it.
func (r *reporter) send(s *router.Service, report *schema.Report, now time.Time) bool {
	report.Node = r.controller.Snapshot().Node
	for _, e := range controllerCandidates(s) {
		if now.Sub(r.failedAt[e.Node]) < candidateRetryDelay {
			continue
		}
		if e.Node == report.Node {
			r.controller.do(func() {
				r.controller.handleEvent(gossiper.Event{Kind: gossiper.ReportReceived, Report: report})
			})
			return true
		}
		if err := r.controller.gossiper.Report(e.ControlAddress, report); err == nil {
			delete(r.failedAt, e.Node)
			return true
		}
		r.failedAt[e.Node] = now
	}
	return false
}

// controllerCandidates returns the nodes that may control the service's rollout, most preferred first.
func controllerCandidates(s *router.Service) []*balancer.Endpoint {
	ranked := ranker.Rank("rollout-controller/"+s.Rollout.Name, s.Nodes,
		func(e *balancer.Endpoint) string { return e.Node })
	return ranked[:min(len(ranked), maxControllerCandidates)]
}

// isPreferredController reports whether this node is the most preferred controller of a rollout.
func (k *Controller) isPreferredController(r *schema.Rollout) bool {
	s := k.Snapshot().Services[r.Service]
	if s == nil || s.Rollout == nil {
		return false
	}
	c := controllerCandidates(s)
	return len(c) > 0 && c[0].Node == k.table.Self().Node
}
