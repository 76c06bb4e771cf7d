package controller

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

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
	// forwarded holds reports of other nodes that are to be sent on to the controller.
	forwarded chan *schema.Report
}

// maxForwardedReports bounds the reports that wait to be forwarded.
const maxForwardedReports = 256

func newReporter(k *Controller) *reporter {
	return &reporter{controller: k, stop: make(chan struct{}), done: make(chan struct{}),
		unsent: map[string]*schema.Report{}, failedAt: map[string]time.Time{},
		forwarded: make(chan *schema.Report, maxForwardedReports)}
}

// forward passes a report of another node on with this node's next report. It may be called from any goroutine.
func (r *reporter) forward(report *schema.Report) {
	select {
	case r.forwarded <- proto.CloneOf(report):
	default:
		r.controller.common.Logger.Warn("report not forwarded", "rollout", report.Rollout, "from", report.Node,
			"reason", "too many reports wait")
	}
}

// mergeForwarded adds the reports of other nodes to the unsent ones.
func (r *reporter) mergeForwarded() {
	for {
		select {
		case report := <-r.forwarded:
			report.ForwardedFrom = addName(report.ForwardedFrom, report.Node)
			r.merge(report)
		default:
			return
		}
	}
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
	r.mergeForwarded()
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
	for _, node := range report.ForwardedFrom {
		unsent.ForwardedFrom = addName(unsent.ForwardedFrom, node)
	}
}

// addName adds a name to a list of distinct names.
func addName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// addEmptyReport adds a report without evidence for the rollout of the local upstream's service. One of its candidates
// sends it, so that the rollout has a controller even without calls, and a node beside an upstream of the new version,
// so that the controller can tell an upstream without calls from one whose reports don't arrive.
func (r *reporter) addEmptyReport(snapshot *router.Snapshot) {
	if snapshot.LocalUpstream == nil {
		return
	}
	service := snapshot.Services[snapshot.LocalUpstream.Service]
	if service == nil || service.Rollout == nil || service.Rollout.Decided || r.unsent[service.Rollout.Name] != nil {
		return
	}
	isSelf := func(e *balancer.Endpoint) bool { return e.Node == snapshot.Node }
	if snapshot.LocalUpstream.Version != service.Rollout.To &&
		!slices.ContainsFunc(controllerCandidates(service), isSelf) {
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

// send offers the report to the newest known controller, then to the candidates in rendezvous order, so that all nodes
// report to the same one while it answers. It reports whether one has received it.
func (r *reporter) send(s *router.Service, report *schema.Report, now time.Time) bool {
	report.Node = r.controller.Snapshot().Node
	report.Epoch = s.Rollout.Epoch
	for _, e := range reportTargets(s) {
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

// reportTargets returns the nodes that a report is offered to, most preferred first: the rollout's controller, if it is
// known and a node of the service, then the candidates.
func reportTargets(s *router.Service) []*balancer.Endpoint {
	candidates := controllerCandidates(s)
	isController := func(e *balancer.Endpoint) bool { return e.Node == s.Rollout.Controller }
	i := slices.IndexFunc(s.Nodes, isController)
	if i < 0 {
		return candidates
	}
	return append([]*balancer.Endpoint{s.Nodes[i]}, slices.DeleteFunc(candidates, isController)...)
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
