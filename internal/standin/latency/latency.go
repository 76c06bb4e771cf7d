// Package latency measures the latency that the mesh adds to a call, against direct calls sent at the same time.
package latency

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/caller"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/pkg/decoder"
)

const (
	path           = "/status/1?size=1024"
	bodyBytes      = 1024
	callTimeout    = 5 * time.Second
	warmUpDuration = time.Second
)

// Config configures one measurement.
type Config struct {
	Product  string
	Standin  string
	Examples string
	Output   io.Writer
	// Rates are calls per second that enter at one node; as many are sent directly to the upstreams.
	Rates    []float64
	Duration time.Duration
}

// Run starts a mesh and measures at each rate.
func Run(c Config) error {
	dir, err := os.MkdirTemp("", "tamarackpitch-latency")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	upstreamFlags := []string{"--latency=0s", "--slots=64", "--connections=256"}
	specs := []harness.Spec{
		{Name: "entry", Zone: "a", Region: "r", Service: "dispatch", Version: "v1", UpstreamFlags: upstreamFlags},
		{Name: "status-1", Zone: "a", Region: "r", Service: "status-desk", Version: "v1", UpstreamFlags: upstreamFlags},
		{Name: "status-2", Zone: "a", Region: "r", Service: "status-desk", Version: "v1", UpstreamFlags: upstreamFlags},
	}
	m, err := harness.Start(harness.Config{Dir: dir, Product: c.Product, Standin: c.Standin, Specs: specs})
	if m != nil {
		defer m.Stop()
	}
	if err != nil {
		return err
	}
	if err := publish(m, c.Examples); err != nil {
		return err
	}
	for _, rate := range c.Rates {
		measure(c, m, rate)
	}
	return nil
}

func publish(m *harness.Mesh, examples string) error {
	declarations, err := decoder.Decoder{Now: time.Now()}.DecodePaths([]string{filepath.Join(examples, "cooperative")})
	if err != nil {
		return err
	}
	_, err = m.Publish(declarations)
	return err
}

// loadRun is one of the two concurrent loads of runPaired.
type loadRun struct {
	load  *caller.Caller
	ctx   context.Context
	group *sync.WaitGroup
}

func (s *loadRun) run() {
	defer s.group.Done()
	s.load.Run(s.ctx)
}

func newCaller(entries []string, rate float64, seed uint64) *caller.Caller {
	return caller.New(caller.Config{Entries: entries, Rate: rate, Timeout: callTimeout, Seed: seed, Prefix: fmt.Sprint(seed),
		Targets: []caller.Target{{Method: "GET", Path: path, Size: bodyBytes, Weight: 1}}})
}

// runPaired sends the same rate through the mesh and directly to the upstreams at the same time.
func runPaired(m *harness.Mesh, rate float64, duration time.Duration) (mesh, direct *caller.Caller) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	mesh = newCaller([]string{m.Find("entry").Listen}, rate, 1)
	direct = newCaller([]string{m.Find("status-1").UpstreamAddress, m.Find("status-2").UpstreamAddress}, rate, 2)
	var group sync.WaitGroup
	for _, l := range []*caller.Caller{mesh, direct} {
		group.Add(1)
		go (&loadRun{load: l, ctx: ctx, group: &group}).run()
	}
	group.Wait()
	return mesh, direct
}

func measure(c Config, m *harness.Mesh, rate float64) {
	runPaired(m, rate, warmUpDuration)
	entry, upstreamNodes := cpuTime(m, "entry"), cpuTime(m, "status-1", "status-2")
	mesh, direct := runPaired(m, rate, c.Duration)
	calls := time.Duration(max(len(mesh.Records()), 1))
	entry, upstreamNodes = (cpuTime(m, "entry")-entry)/calls, (cpuTime(m, "status-1", "status-2")-upstreamNodes)/calls
	_, _ = fmt.Fprintf(c.Output, "bench=latency rate=%g calls=%d ok=%d direct-ok=%d", rate, len(mesh.Records()), mesh.Count(caller.OK), direct.Count(caller.OK))
	for _, q := range []float64{50, 90, 99, 99.9} {
		added := mesh.Percentile(q) - direct.Percentile(q)
		_, _ = fmt.Fprintf(c.Output, " p%g=%s direct-p%g=%s added-p%g=%s",
			q, mesh.Percentile(q), q, direct.Percentile(q), q, added)
	}
	_, _ = fmt.Fprintf(c.Output, " entry-cpu-per-call=%s beside-cpu-per-call=%s\n", entry, upstreamNodes)
}

// cpuTime returns the CPU time that the named nodes have used so far.
func cpuTime(m *harness.Mesh, names ...string) time.Duration {
	var sum time.Duration
	for _, n := range names {
		sum += harness.ReadUsage(m.Find(n).Node.PID()).CPU
	}
	return sum
}
