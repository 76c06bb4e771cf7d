// Package load is the benchmark of goodput by priority class at multiples of a service's capacity.
package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/caller"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/upstream"
	"github.com/tamarackpitch/tamarackpitch/pkg/decoder"
)

const (
	upstreams   = 3
	slots       = 4
	latencyMs   = 20
	callTimeout = 8 * time.Second
	// capacityPerSecond is the number of calls that the upstreams can run per second.
	capacityPerSecond = upstreams * slots * 1000 / latencyMs
	// paymentShare is the share of calls of the higher priority class.
	paymentShare = 0.2
)

const declarations = `
kind: service
name: ledger
initial-version: v1
---
kind: service
name: entry
initial-version: v1
---
kind: route
name: payment
service: ledger
path-prefix: /payments
methods: [POST]
idempotent: false
class: payments
timeout: 1s
---
kind: route
name: lookup
service: ledger
path-prefix: /lookups
methods: [GET]
idempotent: true
class: lookups
timeout: 1s
---
kind: preset
name: ordinary
classes: [payments, lookups]
first-share: 0.01
retry-budget: 0.1
queue-length: 32
---
kind: active-preset
name: ordinary
`

// Config holds the settings of one run.
type Config struct {
	// Product and Standin are the paths of the tamarackpitch and the tamarackpitch-standin program.
	Product string
	Standin string
	Output  io.Writer
	// Multiples are the offered loads, relative to the capacity.
	Multiples []float64
	// Duration is the time at each load.
	Duration time.Duration
	// Unlimited runs the baseline: one class for all calls, and queues of 10,000 calls instead of 32.
	Unlimited bool
}

// Run measures goodput at each multiple of the capacity, then at half of it with one upstream ten times slower.
func Run(c Config) error {
	dir, err := os.MkdirTemp("", "tamarackpitch-load")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	specs := []harness.Spec{{Name: "entry", Zone: "a", Region: "r", Service: "entry", Version: "v1"}}
	for i := range upstreams {
		specs = append(specs, harness.Spec{Name: fmt.Sprintf("ledger-%d", i), Zone: "a", Region: "r", Service: "ledger", Version: "v1",
			UpstreamFlags: []string{fmt.Sprintf("--latency=%dms", latencyMs), fmt.Sprintf("--slots=%d", slots)}})
	}
	m, err := harness.Start(harness.Config{Dir: dir, Product: c.Product, Standin: c.Standin, Specs: specs})
	if m != nil {
		defer m.Stop()
	}
	if err != nil {
		return err
	}
	if err := publish(m, c.Unlimited); err != nil {
		return err
	}
	for _, multiple := range c.Multiples {
		measure(c, m, fmt.Sprintf("x%g", multiple), multiple)
	}
	m.SetBehaviour(m.VMs[1], upstream.Behaviour{LatencyMs: 10 * latencyMs})
	measure(c, m, "x0.5-one-slow", 0.5)
	return nil
}

// publish publishes the declarations, changed for the baseline if unlimited is set.
func publish(m *harness.Mesh, unlimited bool) error {
	text := declarations
	if unlimited {
		text = strings.ReplaceAll(text, "[payments, lookups]", "[all]")
		text = strings.ReplaceAll(text, "class: payments", "class: all")
		text = strings.ReplaceAll(text, "class: lookups", "class: all")
		text = strings.ReplaceAll(text, "queue-length: 32", "queue-length: 10000")
	}
	all, err := decoder.Decoder{Now: time.Now()}.Decode("load", []byte(text))
	if err != nil {
		return err
	}
	_, err = m.Publish(all)
	return err
}

// measure sends load at a multiple of the capacity and writes one line of results.
func measure(c Config, m *harness.Mesh, name string, multiple float64) {
	rate := multiple * capacityPerSecond
	load := caller.New(caller.Config{Entries: []string{m.VMs[0].Listen}, Rate: rate, Timeout: callTimeout, Seed: 1, Prefix: name,
		Targets: []caller.Target{{Method: "POST", Path: "/payments/1", BodySize: 100, Weight: paymentShare},
			{Method: "GET", Path: "/lookups/1", Weight: 1 - paymentShare}}})
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration)
	defer cancel()
	load.Run(ctx)
	sent, ok := map[string]int{}, map[string]int{}
	unknown := 0
	for _, r := range load.Records() {
		sent[r.Method]++
		if r.Outcome == caller.OK {
			ok[r.Method]++
		}
		if r.Outcome == caller.Unknown {
			unknown++
		}
	}
	policy := "classes"
	if c.Unlimited {
		policy = "unlimited"
	}
	goodput := float64(ok["POST"]+ok["GET"]) / c.Duration.Seconds()
	_, _ = fmt.Fprintf(c.Output, "bench=load policy=%s case=%s capacity=%d offered=%.0f goodput=%.0f goodput-of-capacity=%.3f top-sent=%d top-good-share=%.4f low-good-share=%.4f unknown=%d p50=%s p99=%s\n",
		policy, name, capacityPerSecond, rate, goodput, goodput/capacityPerSecond, sent["POST"], fraction(ok["POST"], sent["POST"]),
		fraction(ok["GET"], sent["GET"]), unknown, load.Percentile(50), load.Percentile(99))
}

func fraction(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
