// Package soak runs a mesh of real processes under load with random faults and operator commands. It checks the
// invariants that the nodes report and compares the callers' records with the upstreams' ledger.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/operator"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/caller"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/logserver"
)

const (
	statusInterval = 200 * time.Millisecond
	// convergenceLimit is the required time for a configuration to be in force on every node once faults have ended.
	convergenceLimit = 6 * time.Second
	// rejoinTime is added for members that were frozen or cut off and must rejoin first.
	rejoinTime  = 6 * time.Second
	callTimeout = 25 * time.Second
)

// Config configures a soak run.
type Config struct {
	// Product and Standin are the paths of the programs.
	Product string
	Standin string
	// Examples is the directory of the example declarations.
	Examples string
	Output   io.Writer
	// Seed seeds the load and the choice of actions.
	Seed uint64
	// Duration is the time under load and actions, without the time to settle.
	Duration time.Duration
	// Rate is the number of calls per second.
	Rate float64
	// Copies multiplies the number of VMs.
	Copies int
	// Only limits the actions to those whose names contain one of the words; empty allows all.
	Only []string
}

// Soak is one soak run. Actions are chosen on the goroutine of Run and carried out on goroutines of their own.
type Soak struct {
	config   Config
	dir      string
	mesh     *harness.Mesh
	random   *rand.Rand
	load     *caller.Caller
	resender *resender
	// disturbed holds the VMs reserved by an action, which other actions must not touch. It is guarded by mu.
	disturbed map[*harness.VM]bool
	// actions counts the actions by name.
	actions map[string]int
	// group waits for all background tasks.
	group sync.WaitGroup

	mu         sync.Mutex
	violations []string
	// accepted is the highest configuration version that the mesh has accepted.
	accepted uint64
	// versions holds the highest version seen on each node.
	versions map[string]uint64
	// evacuating is set while an availability zone is evacuated.
	evacuating bool
	// rollouts counts the rollouts declared, to give each a new name.
	rollouts int
}

// Run runs the soak and reports whether it ended without violations. The processes' logs are removed only then.
func Run(c Config) (bool, error) {
	dir, err := os.MkdirTemp("", "tamarackpitch-soak")
	if err != nil {
		return false, err
	}
	s := &Soak{config: c, dir: dir, random: rand.New(rand.NewPCG(c.Seed, 11)), disturbed: map[*harness.VM]bool{},
		actions: map[string]int{}, versions: map[string]uint64{}}
	s.printValue("seed", c.Seed)
	s.mesh, err = harness.Start(harness.Config{Dir: dir, Product: c.Product, Standin: c.Standin, Specs: specs(max(c.Copies, 1))})
	if s.mesh != nil {
		defer s.mesh.Stop()
	}
	if err != nil {
		return false, fmt.Errorf("%w (process logs are in %s)", err, dir)
	}
	if err := s.publishBase(); err != nil {
		return false, err
	}
	s.runLoadAndActions()
	s.settle()
	s.audit()
	s.report()
	if len(s.violations) > 0 {
		s.writeTimeline()
		return false, nil
	}
	return true, os.RemoveAll(dir)
}

// specs describes the VMs, 12 per copy. The first VM of each service version in a copy has a relay.
func specs(copies int) []harness.Spec {
	rows := []struct{ service, version, zones string }{
		{"status-desk", "v1", "abc"}, {"status-desk", "v2", "ab"},
		{"ledger", "v1", "abca"}, {"dispatch", "v1", "bc"}, {"dispatch", "v2", "a"},
	}
	var all []harness.Spec
	for copyNumber := range copies {
		for _, r := range rows {
			for i, zone := range r.zones {
				all = append(all, harness.Spec{Name: fmt.Sprintf("%s-%s-%c%d-%d", r.service, r.version, zone, i, copyNumber),
					Zone: fmt.Sprintf("th-central-%c", zone), Region: "th-central", Service: r.service, Version: r.version,
					Relayed: i == 0, UpstreamFlags: []string{"--latency=3ms"}})
			}
		}
	}
	return all
}

func targets() []caller.Target {
	return []caller.Target{
		{Method: "GET", Path: "/status/7?size=400", Size: 400, Weight: 5},
		{Method: "GET", Path: "/prices/pumice?size=80", Size: 80, Weight: 1},
		{Method: "POST", Path: "/payments/7?size=60", Size: 60, BodySize: 200, Keyed: true, Weight: 2},
		{Method: "POST", Path: "/payments/8?size=60", Size: 60, BodySize: 300, Weight: 2},
		{Method: "POST", Path: "/payments/9?size=60", Size: 60, BodySize: 300_000, Weight: 0.2},
		{Method: "GET", Path: "/manifests/7?size=3000000", Size: 3_000_000, Weight: 0.2},
	}
}

func (s *Soak) printValue(key string, value any) {
	_, _ = fmt.Fprintf(s.config.Output, "%s=%v\n", key, value)
}

func (s *Soak) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.config.Output, "%s soak: %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, arguments...))
}

func (s *Soak) reportViolation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	s.mu.Lock()
	s.violations = append(s.violations, text)
	s.mu.Unlock()
	s.logf("VIOLATION %s", text)
}

// runLoadAndActions runs the load and random actions for the configured duration, and waits for those in progress.
func (s *Soak) runLoadAndActions() {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.Duration)
	defer cancel()
	var entries []string
	for _, vm := range s.mesh.VMs {
		entries = append(entries, vm.Listen)
	}
	s.load = caller.New(caller.Config{Entries: entries, Targets: targets(), Rate: s.config.Rate, Timeout: callTimeout,
		Seed: s.config.Seed, Prefix: fmt.Sprintf("s%d", s.config.Seed)})
	s.resender = newResender(s, entries)
	s.start(func() { s.load.Run(ctx) })
	s.start(func() { s.resender.loop(ctx) })
	s.start(func() { s.watchStatus(ctx) })
	for ctx.Err() == nil {
		s.runRandomAction()
		time.Sleep(time.Duration(200+s.random.IntN(900)) * time.Millisecond)
	}
	s.group.Wait()
}

// task is a background goroutine of the soak.
type task struct {
	soak *Soak
	work func()
}

func (t *task) run() {
	defer t.soak.group.Done()
	t.work()
}

func (s *Soak) start(work func()) {
	s.group.Add(1)
	go (&task{soak: s, work: work}).run()
}

// watchStatus polls every node and checks that its version never decreases, even across restarts.
func (s *Soak) watchStatus(ctx context.Context) {
	for ctx.Err() == nil {
		for _, vm := range s.mesh.VMs {
			if status, ok := s.mesh.Status(vm); ok {
				s.checkStatus(status)
			}
		}
		time.Sleep(statusInterval)
	}
}

func (s *Soak) checkStatus(status controller.Status) {
	if status.Violations > 0 {
		s.reportViolation("node %s: %s", status.Node, status.Violation)
	}
	if !status.Ready {
		return
	}
	s.mu.Lock()
	last := s.versions[status.Node]
	s.versions[status.Node] = max(last, status.Version)
	s.mu.Unlock()
	if status.Version < last {
		s.reportViolation("node %s regressed from version %d to %d", status.Node, last, status.Version)
	}
}

// settle ends all faults, restarts what is down, and checks that every node becomes ready and reaches the highest
// accepted version in time.
func (s *Soak) settle() {
	s.mesh.SetFaults(logserver.Faults{})
	s.logf("settling")
	for _, vm := range s.mesh.VMs {
		for _, p := range []*harness.Process{vm.Node, vm.Upstream} {
			p.Thaw()
			if !p.Running() {
				if code := p.ExitCode(); code == fatalExitCode {
					s.reportViolation("%s exited because of an invariant violation", p.Name)
				}
				_ = p.Restart()
			}
		}
	}
	began := time.Now()
	if err := s.mesh.WaitReady(convergenceLimit + rejoinTime); err != nil {
		s.reportViolation("%v", err)
		s.mesh.DumpUnresponsive()
	}
	s.mu.Lock()
	accepted := s.accepted
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), convergenceLimit)
	defer cancel()
	if _, _, err := s.mesh.Operator.Wait(ctx, accepted); err != nil {
		s.reportViolation("version %d not in force everywhere %s after the faults ended", accepted, time.Since(began))
	}
	s.printValue("settled-after", time.Since(began).Round(time.Millisecond))
}

// fatalExitCode is the exit code of a node that found an invariant violation.
const fatalExitCode = 86

// audit compares the callers' records with the upstreams' ledger.
func (s *Soak) audit() {
	runs, err := harness.ReadLedger(s.mesh.LedgerPath)
	if err != nil {
		s.reportViolation("%v", err)
		return
	}
	records := append(s.load.Records(), s.resender.records()...)
	f := harness.Audit(records, runs, s.resender.wasResent)
	s.reportCalls("ran twice", f.RunTwice, records, runs)
	s.reportCalls("refused as not run, but ran", f.FalseNotRun, records, runs)
	s.reportCalls("wrong answer", f.Wrong, records, runs)
	s.reportCalls("answered, but never ran", f.LostRuns, records, runs)
	if s.onlyGraceful() {
		for _, r := range records {
			if r.Outcome == caller.Lost {
				s.reportViolation("call %s %s at %s cut off although every shutdown was graceful: %s", r.Call, r.Path, r.At.UTC().Format("15:04:05.000"), r.Refusal)
			}
		}
	}
}

// onlyGraceful reports whether only graceful actions are allowed, so that no call may be cut off.
func (s *Soak) onlyGraceful() bool {
	return len(s.config.Only) == 1 && s.config.Only[0] == "graceful"
}

// reportCalls reports a violation for each call, with its records and runs.
func (s *Soak) reportCalls(finding string, calls []string, records []caller.Record, runs []harness.Run) {
	slices.Sort(calls)
	for _, call := range slices.Compact(calls) {
		var detail []string
		for _, r := range records {
			if r.Call == call {
				detail = append(detail, fmt.Sprintf("%s %s %s at=%s after=%s", r.Outcome, r.Refusal, r.Path, r.At.UTC().Format("15:04:05.000"), r.Latency))
			}
		}
		for _, r := range runs {
			if r.Call == call {
				detail = append(detail, "ran on "+r.Upstream)
			}
		}
		s.reportViolation("call %s %s: %s", call, finding, strings.Join(detail, "; "))
	}
}

// report prints the counts as key=value lines.
func (s *Soak) report() {
	counts := map[caller.Outcome]int{}
	for _, r := range s.load.Records() {
		counts[r.Outcome]++
	}
	s.printValue("nodes", len(s.mesh.VMs))
	s.printValue("calls", len(s.load.Records()))
	for _, o := range []caller.Outcome{caller.OK, caller.Failed, caller.NotRun, caller.Unknown, caller.Lost, caller.NotSent, caller.Wrong} {
		s.printValue("calls-"+string(o), counts[o])
	}
	s.printValue("resent-calls", len(s.resender.records()))
	total := 0
	for _, n := range s.actions {
		total += n
	}
	s.printValue("actions", total)
	s.printValue("action-counts", s.actions)
	s.printValue("version", s.accepted)
	s.printValue("violations", len(s.violations))
}

// writeTimeline writes the events of all nodes that answer to a file in the working directory.
func (s *Soak) writeTimeline() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	events, err := s.mesh.Operator.Timeline(ctx)
	if err != nil {
		return
	}
	path := filepath.Join(s.dir, "timeline")
	f, err := os.Create(path)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	_ = operator.WriteTimeline(f, events, operator.Filter{}, false)
	s.printValue("timeline", path)
}
