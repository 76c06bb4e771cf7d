// Package demo runs the whole system on one machine and checks a list of claims about its behaviour.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/operator"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/caller"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/pkg/decoder"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	callRate          = 250
	stepTimeout       = 20 * time.Second
	rolloutTimeout    = 40 * time.Second
	convergenceLimit  = 6 * time.Second
	cooperativeRegion = "th-central"
	sanchakamRegion   = "guj-west"
)

// Config configures a demo run.
type Config struct {
	Product  string
	Standin  string
	Examples string
	Output   io.Writer
}

// Demo is one demo run.
type Demo struct {
	config       Config
	mesh         *harness.Mesh
	load         *caller.Caller
	failedClaims []string
}

// specs describes the VMs of both example deployments at reduced size. Version v2 of tracker is the bad version.
func specs() []harness.Spec {
	bad := []string{"--fail-rate=0.6"}
	rows := []struct {
		service, version, region, zones string
		flags                           []string
	}{
		{"status-desk", "v1", cooperativeRegion, "ab", nil},
		{"status-desk", "v2", cooperativeRegion, "ca", nil},
		{"ledger", "v1", cooperativeRegion, "abc", nil},
		{"dispatch", "v1", cooperativeRegion, "b", nil},
		{"tracker", "v1", sanchakamRegion, "ab", nil},
		{"tracker", "v2", sanchakamRegion, "c", bad},
		{"orderbook", "v1", sanchakamRegion, "abc", nil},
		{"drawvault", "v1", sanchakamRegion, "c", nil},
	}
	var all []harness.Spec
	for _, r := range rows {
		for _, zone := range r.zones {
			all = append(all, harness.Spec{Name: fmt.Sprintf("%s-%s-%c", r.service, r.version, zone), Zone: fmt.Sprintf("%s-%c", r.region, zone),
				Region: r.region, Service: r.service, Version: r.version, UpstreamFlags: r.flags})
		}
	}
	return all
}

func targets() []caller.Target {
	return []caller.Target{
		{Method: "GET", Path: "/status/7?size=400", Size: 400, Weight: 5},
		{Method: "GET", Path: "/prices/pumice?size=80", Size: 80, Weight: 1},
		{Method: "POST", Path: "/payments/7?size=60", Size: 60, BodySize: 200, Keyed: true, Weight: 2},
		{Method: "GET", Path: "/manifests/7?size=2000000", Size: 2_000_000, Weight: 0.1},
		{Method: "GET", Path: "/moulds/7?size=400", Size: 400, Weight: 5},
		{Method: "POST", Path: "/orders?size=60", Size: 60, BodySize: 500, Keyed: true, Weight: 2},
		{Method: "GET", Path: "/drawings/7?size=5000000", Size: 5_000_000, Weight: 0.1},
	}
}

// Run runs the demo and reports whether all claims hold. The processes' logs are removed only then.
func Run(c Config) (bool, error) {
	dir, err := os.MkdirTemp("", "tamarackpitch-demo")
	if err != nil {
		return false, err
	}
	d := &Demo{config: c}
	d.logf("starting a log, %d nodes in 6 availability zones and their upstreams", len(specs()))
	d.mesh, err = harness.Start(harness.Config{Dir: dir, Product: c.Product, Standin: c.Standin, Specs: specs()})
	if d.mesh != nil {
		defer d.mesh.Stop()
	}
	if err != nil {
		return false, fmt.Errorf("%w (outputs are in %s)", err, dir)
	}
	d.run()
	if len(d.failedClaims) > 0 {
		d.logf("failed: %v (outputs are in %s)", d.failedClaims, dir)
		return false, nil
	}
	return true, os.RemoveAll(dir)
}

func (d *Demo) run() {
	e := d.config.Examples
	d.publish("declarations", filepath.Join(e, "cooperative", "services.yaml"), filepath.Join(e, "cooperative", "routes.yaml"),
		filepath.Join(e, "sanchakam", "services.yaml"), filepath.Join(e, "sanchakam", "routes.yaml"), filepath.Join(e, "demo", "presets.yaml"))
	ctx, cancel := context.WithCancel(context.Background())
	d.load = caller.New(caller.Config{Entries: d.mesh.Entries(), Targets: targets(), Rate: callRate, Timeout: 20 * time.Second, Seed: 1, Prefix: "demo"})
	done := make(chan struct{})
	l := &loadRun{load: d.load, ctx: ctx, done: done}
	go l.run()
	d.logf("callers send %d calls a second to all nodes", callRate)
	time.Sleep(2 * time.Second)
	d.usePreset("maintenance")
	d.publish("rollouts", filepath.Join(e, "demo", "rollouts.yaml"))
	d.restartNode("ledger-v1-a")
	d.awaitRollouts()
	time.Sleep(time.Second)
	cancel()
	<-done
	d.report()
}

// loadRun sends the load while the demo's steps run, and closes done when the load has ended.
type loadRun struct {
	load *caller.Caller
	ctx  context.Context
	done chan struct{}
}

func (l *loadRun) run() {
	defer close(l.done)
	l.load.Run(l.ctx)
}

func (d *Demo) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.config.Output, "demo: "+format+"\n", arguments...)
}

func (d *Demo) printValue(key string, value any) {
	_, _ = fmt.Fprintf(d.config.Output, "%s=%v\n", key, value)
}

func (d *Demo) check(holds bool, claim string) {
	if !holds {
		d.failedClaims = append(d.failedClaims, claim)
	}
	d.printValue("claim="+claim+" holds", holds)
}

func (d *Demo) publish(what string, paths ...string) {
	declarations, err := decoder.Decoder{Now: time.Now()}.DecodePaths(paths)
	if err != nil {
		d.logf("%v", err)
		d.check(false, what+"-decoded")
		return
	}
	d.publishDeclarations(what, declarations)
}

func (d *Demo) usePreset(name string) {
	d.publishDeclarations("preset-"+name, []*schema.Declaration{{Item: &schema.Declaration_ActivePreset{ActivePreset: name}}})
}

func (d *Demo) publishDeclarations(what string, declarations []*schema.Declaration) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	accepted, err := d.mesh.Operator.Publish(ctx, declarations)
	if err != nil {
		d.logf("%v", err)
		d.check(false, what+"-accepted")
		return
	}
	began := time.Now()
	nodes, _, err := d.mesh.Operator.Wait(ctx, accepted.Version)
	took := time.Since(began)
	d.logf("%s: version %d accepted, in force on %d nodes after %s", what, accepted.Version, nodes, took.Round(time.Millisecond))
	d.check(err == nil && took < convergenceLimit, what+"-in-force")
}

func (d *Demo) restartNode(name string) {
	vm := d.mesh.Find(name)
	d.logf("killing and restarting node %s", name)
	vm.Node.Kill()
	time.Sleep(time.Second)
	if err := vm.Node.Restart(); err != nil {
		d.logf("%v", err)
	}
	d.check(d.mesh.WaitReady(stepTimeout) == nil, "restarted-node-ready")
}

func (d *Demo) awaitRollouts() {
	var last string
	harness.WaitUntil(rolloutTimeout, func() bool {
		rollouts := d.rollouts()
		open := false
		line := ""
		for _, r := range rollouts {
			line += fmt.Sprintf(" %s=%s share=%.3g", r.Name, r.Phase, r.Share)
			open = open || r.Phase != "completed" && r.Phase != "rolled-back"
		}
		if line != last {
			last = line
			d.logf("rollouts:%s", line)
		}
		return !open && len(rollouts) > 0
	})
	phases := map[string]controller.RolloutStatus{}
	for _, r := range d.rollouts() {
		phases[r.Name] = r
		if r.Reason != "" {
			d.logf("%s %s: %s", r.Name, r.Phase, r.Reason)
		}
	}
	d.printTimeline("tracker-v2")
	d.check(phases["status-desk-v2"].Phase == "completed", "good-version-completed")
	d.check(phases["tracker-v2"].Phase == "rolled-back", "bad-version-rolled-back")
}

// printTimeline prints the first event of each kind of a rollout.
func (d *Demo) printTimeline(rollout string) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	events, err := d.mesh.Operator.Timeline(ctx)
	if err != nil {
		d.logf("%v", err)
		return
	}
	d.logf("time line of %s, the first event of each kind:", rollout)
	seen := map[string]bool{}
	for _, e := range events {
		if e.Rollout == rollout && !seen[e.Name] {
			seen[e.Name] = true
			d.logf("%s", operator.FormatEvent(e))
		}
	}
}

func (d *Demo) rollouts() []controller.RolloutStatus {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	statuses, _, err := d.mesh.Operator.Statuses(ctx)
	if err != nil {
		return nil
	}
	return operator.MergeRollouts(statuses)
}

func (d *Demo) report() {
	records := d.load.Records()
	ledger, err := harness.ReadLedger(d.mesh.LedgerPath)
	if err != nil {
		d.logf("%v", err)
	}
	audit := harness.Audit(records, ledger, nil)
	counts := map[caller.Outcome]int{}
	for _, r := range records {
		counts[r.Outcome]++
	}
	d.printValue("calls", len(records))
	for _, o := range []caller.Outcome{caller.OK, caller.Failed, caller.NotRun, caller.Unknown, caller.Lost, caller.NotSent, caller.Wrong} {
		d.printValue("calls-"+string(o), counts[o])
	}
	d.printValue("latency-p50", d.load.Percentile(50))
	d.printValue("latency-p99", d.load.Percentile(99))
	d.printValue("bad-version-share", badVersionShare(records))
	d.check(counts[caller.OK] > len(records)*9/10, "nine-in-ten-calls-answered")
	d.check(counts[caller.Wrong] == 0, "no-wrong-answers")
	d.check(len(audit.RunTwice) == 0, "non-idempotent-at-most-once")
	d.check(len(audit.FalseNotRun) == 0, "not-run-is-true")
	d.check(d.violations() == 0, "no-invariant-violated")
}

// badVersionShare returns the share of the calls to tracker that the bad version served.
func badVersionShare(records []caller.Record) float64 {
	var all, bad float64
	for _, r := range records {
		if len(r.Path) < 7 || r.Path[:7] != "/moulds" {
			continue
		}
		all++
		if r.Version == "v2" {
			bad++
		}
	}
	return bad / max(all, 1)
}

// violations sums the invariant violations of all nodes; a node that does not answer counts as one.
func (d *Demo) violations() uint64 {
	var sum uint64
	for _, vm := range d.mesh.VMs {
		if s, ok := d.mesh.Status(vm); ok {
			sum += s.Violations
		} else {
			sum++
		}
	}
	return sum
}
