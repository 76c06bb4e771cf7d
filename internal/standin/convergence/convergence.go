// Package convergence measures how fast configuration changes take effect on every node and what the control plane
// costs a node.
package convergence

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/logserver"
	"github.com/tamarackpitch/tamarackpitch/pkg/decoder"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	zones       = 3
	stepTimeout = 30 * time.Second
	// startupPause keeps the traffic of the mesh's start out of the idle measurement.
	startupPause    = 4 * time.Second
	publishInterval = 300 * time.Millisecond
	herdRoute       = "kind: route\nname: herd\nservice: a\npath-prefix: /herd\nmethods: [GET]\nidempotent: true\nclass: c"
)

// Mode is a way to distribute configuration.
type Mode string

// Modes.
const (
	// Overlay is the product's default: two nodes of each zone read the log, the others receive changes over links.
	Overlay Mode = "overlay"
	// EveryNodePolls makes every node a log reader.
	EveryNodePolls Mode = "every-node-polls"
	// OneReader makes one node of each zone a log reader.
	OneReader Mode = "one-reader"
)

// Config configures one measurement.
type Config struct {
	Product string
	Standin string
	Output  io.Writer
	Nodes   int
	Mode    Mode
	// Changes is the number of changes to publish, Idle the duration of the idle measurement.
	Changes int
	Idle    time.Duration
}

// bench is one run.
type bench struct {
	config Config
	mesh   *harness.Mesh
}

// Run measures one size and mode.
func Run(c Config) error {
	dir, err := os.MkdirTemp("", "tamarackpitch-convergence")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &bench{config: c}
	b.mesh, err = harness.Start(harness.Config{Dir: dir, Product: c.Product, Standin: c.Standin, Specs: specs(c), UsePeers: true})
	if b.mesh != nil {
		defer b.mesh.Stop()
	}
	if err != nil {
		return err
	}
	if err := b.publishBase(); err != nil {
		return err
	}
	time.Sleep(startupPause)
	b.measureCost("idle", func() { time.Sleep(c.Idle) })
	b.measureCost("changes", b.measureChanges)
	b.measureHerd()
	b.measureOutage()
	return nil
}

func specs(c Config) []harness.Spec {
	var all []harness.Spec
	for i := range c.Nodes {
		s := harness.Spec{Name: fmt.Sprintf("n%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r"}
		switch c.Mode {
		case EveryNodePolls:
			s.NodeFlags = []string{"--readers=" + strconv.Itoa(c.Nodes)}
		case OneReader:
			s.NodeFlags = []string{"--readers=1"}
		}
		all = append(all, s)
	}
	return all
}

func (b *bench) printResult(format string, arguments ...any) {
	_, _ = fmt.Fprintf(b.config.Output, "bench=convergence mode=%s nodes=%d "+format+"\n",
		append([]any{b.config.Mode, b.config.Nodes}, arguments...)...)
}

func (b *bench) publish(text string) (uint64, time.Time, error) {
	declarations, err := decoder.Decoder{Now: time.Now()}.Decode("bench", []byte(text))
	if err != nil {
		return 0, time.Time{}, err
	}
	return b.publishDeclarations(declarations)
}

func (b *bench) publishDeclarations(declarations []*schema.Declaration) (uint64, time.Time, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	accepted, err := b.mesh.Operator.Publish(ctx, declarations)
	return accepted.Version, time.Now(), err
}

func (b *bench) publishBase() error {
	version, _, err := b.publish("kind: service\nname: a\ninitial-version: v1")
	if err != nil {
		return err
	}
	return b.wait(version)
}

func (b *bench) wait(version uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	_, _, err := b.mesh.Operator.Wait(ctx, version)
	return err
}

// measureCost measures control bytes, CPU, memory and log reads of all nodes while work runs.
func (b *bench) measureCost(phase string, work func()) {
	type sample struct {
		usage harness.Usage
		bytes uint64
	}
	sampleAll := func() []sample {
		samples := make([]sample, len(b.mesh.VMs))
		for i, vm := range b.mesh.VMs {
			s, _ := b.mesh.Status(vm)
			samples[i] = sample{usage: harness.ReadUsage(vm.Node.PID()), bytes: s.BytesIn + s.BytesOut}
		}
		return samples
	}
	reads := b.logReads()
	before, began := sampleAll(), time.Now()
	work()
	after, elapsed := sampleAll(), time.Since(began).Seconds()
	var cpu, bytes, resident []float64
	for i := range after {
		cpu = append(cpu, 100*(after[i].usage.CPU-before[i].usage.CPU).Seconds()/elapsed)
		bytes = append(bytes, float64(after[i].bytes-before[i].bytes)/elapsed)
		resident = append(resident, float64(after[i].usage.Resident)/(1<<20))
	}
	b.printResult("phase=%s bytes-per-s-mean=%.0f bytes-per-s-max=%.0f cpu-percent-mean=%.2f cpu-percent-max=%.2f memory-mb-mean=%.1f memory-mb-max=%.1f log-reads-per-s=%.1f",
		phase, mean(bytes), slices.Max(bytes), mean(cpu), slices.Max(cpu), mean(resident), slices.Max(resident),
		float64(b.logReads()-reads)/elapsed)
}

func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

func (b *bench) logReads() uint64 {
	var c logserver.Counts
	if status, body := b.mesh.Get(b.mesh.LogURL + "/counts"); status == http.StatusOK {
		_ = json.Unmarshal(body, &c)
	}
	return c.Reads
}

// measureChanges publishes changes one by one and reads from the nodes' timelines when each took effect.
func (b *bench) measureChanges() {
	accepted := map[string]time.Time{}
	for i := range b.config.Changes {
		version, at, err := b.publish(fmt.Sprintf("kind: route\nname: r%d\nservice: a\npath-prefix: /r%d\nmethods: [GET]\nidempotent: true\nclass: c", i, i))
		if err != nil {
			b.printResult("phase=changes error=%q", err)
			return
		}
		accepted[strconv.FormatUint(version, 10)] = at
		time.Sleep(publishInterval)
	}
	time.Sleep(time.Second)
	b.reportLags("convergence", accepted)
}

// reportLags prints quantiles of the time from the operator seeing a version accepted to its being in force on a node.
func (b *bench) reportLags(phase string, accepted map[string]time.Time) {
	var lags []time.Duration
	for _, vm := range b.mesh.VMs {
		_, body := b.mesh.Get("http://" + vm.Admin + "/timeline")
		var events []recorder.Event
		_ = json.Unmarshal(body, &events)
		for _, e := range events {
			if at, ok := accepted[e.Fields["version"]]; ok && e.Name == "configuration-in-force" {
				lags = append(lags, max(time.UnixMilli(e.Stamp.UnixMs).Sub(at), 0))
			}
		}
	}
	expected := len(accepted) * len(b.mesh.VMs)
	if len(lags) == 0 {
		b.printResult("phase=%s samples=0 expected=%d", phase, expected)
		return
	}
	slices.Sort(lags)
	at := func(q float64) time.Duration { return lags[int(q*float64(len(lags)-1))] }
	b.printResult("phase=%s samples=%d expected=%d p50=%s p99=%s worst=%s", phase, len(lags), expected, at(0.5), at(0.99), at(1))
}

// measureHerd kills a third of the nodes, publishes a change, restarts them together and waits until the change is in
// force on every node.
func (b *bench) measureHerd() {
	third := b.mesh.VMs[:len(b.mesh.VMs)/3]
	for _, vm := range third {
		vm.Node.Kill()
	}
	version, _, err := b.publish(herdRoute)
	if err != nil {
		b.printResult("phase=herd error=%q", err)
		return
	}
	reads, began := b.logReads(), time.Now()
	for _, vm := range third {
		_ = vm.Node.Restart()
	}
	ready := b.mesh.WaitReady(stepTimeout)
	err = b.wait(version)
	b.printResult("phase=herd killed=%d ready=%t in-force=%t after=%s log-reads=%d", len(third), ready == nil, err == nil,
		time.Since(began).Round(time.Millisecond), b.logReads()-reads)
}

// measureOutage takes the log down right after an accepted append. The change must still reach every node.
func (b *bench) measureOutage() {
	version, at, err := b.publish("kind: route\nname: outage\nservice: a\npath-prefix: /outage\nmethods: [GET]\nidempotent: true\nclass: c")
	b.mesh.SetFaults(logserver.Faults{Outage: true})
	defer b.mesh.SetFaults(logserver.Faults{})
	if err != nil {
		b.printResult("phase=log-outage error=%q", err)
		return
	}
	err = b.wait(version)
	b.printResult("phase=log-outage in-force=%t", err == nil)
	b.reportLags("log-outage", map[string]time.Time{strconv.FormatUint(version, 10): at})
}
