// Package load measures goodput by priority class at multiples of a service's capacity.
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
	upstreams     = 3
	slots         = 4
	upstreamMs    = 20
	callTimeout   = 8 * time.Second
	capacityCalls = upstreams * slots * 1000 / upstreamMs
	topShare      = 0.2
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

// Config builds one run.
type Config struct {
	Product   string
	Standin   string
	Output    io.Writer
	Multiples []float64
	Duration  time.Duration
	// Unlimited runs the baseline: no priority, endless queues, as many slots as calls come.
	Unlimited bool
}

// Run measures at each multiple of capacity, and with one upstream slowed tenfold.
func Run(c Config) error {
	dir, err := os.MkdirTemp("", "tamarackpitch-load")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	specs := []harness.Spec{{Name: "entry", Zone: "a", Region: "r", Service: "entry", Version: "v1"}}
	for i := range upstreams {
		specs = append(specs, harness.Spec{Name: fmt.Sprintf("ledger-%d", i), Zone: "a", Region: "r", Service: "ledger", Version: "v1",
			UpstreamFlags: []string{fmt.Sprintf("--latency=%dms", upstreamMs), fmt.Sprintf("--slots=%d", slots)}})
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
	m.Misbehave(m.VMs[1], upstream.Behaviour{LatencyMs: 10 * upstreamMs})
	measure(c, m, "x0.5-one-slow", 0.5)
	return nil
}

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

func measure(c Config, m *harness.Mesh, name string, multiple float64) {
	rate := multiple * capacityCalls
	load := caller.New(caller.Config{Entries: []string{m.VMs[0].Listen}, Rate: rate, Timeout: callTimeout, Seed: 1, Prefix: name,
		Targets: []caller.Target{{Method: "POST", Path: "/payments/1", BodySize: 100, Weight: topShare}, {Method: "GET", Path: "/lookups/1", Weight: 1 - topShare}}})
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration)
	defer cancel()
	load.Run(ctx)
	sent, good := map[string]int{}, map[string]int{}
	unknown := 0
	for _, r := range load.Records() {
		sent[r.Method]++
		if r.Outcome == caller.OK {
			good[r.Method]++
		}
		if r.Outcome == caller.Unknown {
			unknown++
		}
	}
	policy := "classes"
	if c.Unlimited {
		policy = "unlimited"
	}
	total := float64(good["POST"]+good["GET"]) / c.Duration.Seconds()
	_, _ = fmt.Fprintf(c.Output, "bench=load policy=%s case=%s capacity=%d offered=%.0f goodput=%.0f goodput-of-capacity=%.3f top-sent=%d top-good-share=%.4f low-good-share=%.4f unknown=%d p50=%s p99=%s\n",
		policy, name, capacityCalls, rate, total, total/capacityCalls, sent["POST"], share(good["POST"], sent["POST"]),
		share(good["GET"], sent["GET"]), unknown, load.Quantile(50), load.Quantile(99))
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
