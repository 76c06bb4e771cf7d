// Package stutterer runs a mesh of real processes on the users' platform beside upstreams that respond twice, late or in
// part, and that make calls of their own. It checks that each caller gets the answer to its own request, or none.
package stutterer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// linksMbps are the bandwidths of their links that VMs are told, in turn.
var linksMbps = []int{1000, 20}

const (
	zones        = 3
	readyTimeout = 30 * time.Second
	// spreadTime is the time for the first heartbeats to spread.
	spreadTime = 3 * time.Second
	// settleInterval is the time between two judgements, and between two disruptions.
	settleInterval = time.Second
	// quietTime is how long nothing must be heard of a request before it is judged, and lastQuietTime the same at the
	// end. Both exceed all deadlines and delays.
	quietTime     = 8 * time.Second
	lastQuietTime = 4 * time.Second
)

// Config configures a soak.
type Config struct {
	// Product is the path of the tamarackpitch program.
	Product string
	// Template is the path of the template of a node's settings. Lines with placeholders are left out.
	Template string
	Output   io.Writer
	// Seed determines requests, disruptions, and how an upstream treats each run.
	Seed uint64
	// Duration is the time under load.
	Duration time.Duration
	// VMs is the number of VMs, and Callers that of callers on each.
	VMs     int
	Callers int
	// Disrupt has VMs disrupted.
	Disrupt bool
	Chances Chances
}

// Soak is one run of the soak.
type Soak struct {
	config   Config
	dir      string
	settings string
	store    *httptest.Server
	ledger   *ledger
	random   *rand.Rand
	vms      []*vm
	// stop ends the callers.
	stop chan struct{}
}

// Run runs the soak and returns the number of violations by rule. The nodes' logs are removed if there are none.
func Run(c Config) (map[Rule]int, error) {
	// A violated invariant ends a node.
	_ = os.Setenv(checker.FatalEnvVar, "1")
	dir, err := os.MkdirTemp("", "tamarackpitch-stutter")
	if err != nil {
		return nil, err
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "stutter", Output: c.Output})
	s := &Soak{config: c, dir: dir, ledger: newLedger(logger), random: rand.New(rand.NewPCG(c.Seed, 0)), stop: make(chan struct{})}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, fmt.Errorf("%w (logs of the nodes are in %s)", err, dir)
	}
	s.runLoad()
	found := s.ledger.report(c.Output)
	if len(found) == 0 {
		return nil, os.RemoveAll(dir)
	}
	_, _ = fmt.Fprintf(c.Output, "logs=%s\n", dir)
	return found, nil
}

// start starts the store and the VMs, and waits until all nodes are ready.
func (s *Soak) start() error {
	template, err := os.ReadFile(s.config.Template)
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(template)) {
		if !strings.Contains(line, "{{") {
			s.settings += line
		}
	}
	store := standin.New()
	if err := store.PutConfig(config()); err != nil {
		return err
	}
	s.store = httptest.NewServer(store.Handler())
	addresses, err := harness.AllocateAddresses(addressesPerVM * s.config.VMs)
	if err != nil {
		return err
	}
	for i := range s.config.VMs {
		v := newVM(s, i, addresses[addressesPerVM*i:])
		s.vms = append(s.vms, v)
		if err := v.start(targets[i%len(targets)].service); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if !harness.WaitUntil(readyTimeout, v.isReady) {
			return &Error{Operation: "start", Detail: v.node.Name + " does not get ready"}
		}
	}
	time.Sleep(spreadTime)
	return nil
}

// runLoad runs callers and disruptions, and judges the requests.
func (s *Soak) runLoad() {
	var callers []*caller
	for _, v := range s.vms {
		for range s.config.Callers {
			c := newCaller(v, len(callers)+1)
			callers = append(callers, c)
			go c.loop()
		}
	}
	for end := time.Now().Add(s.config.Duration); time.Now().Before(end); time.Sleep(settleInterval) {
		s.ledger.settle(quietTime)
		if s.config.Disrupt {
			s.disrupt()
		}
	}
	close(s.stop)
	for _, c := range callers {
		<-c.done
	}
	time.Sleep(lastQuietTime)
	s.ledger.settle(0)
	for _, v := range s.vms {
		if !v.node.Running() {
			s.ledger.end(v.node.Name + " has ended by itself")
		}
	}
}

// disrupt disrupts a random VM and waits until its node is ready again.
func (s *Soak) disrupt() {
	d := &disruption{vm: s.vms[s.random.IntN(len(s.vms))], kind: kind(s.random.IntN(int(kinds))),
		outage: time.Duration(s.random.Int64N(int64(maxOutage))), service: targets[s.random.IntN(len(targets))].service}
	s.ledger.logger.Info("disruption", "vm", d.vm.number, "kind", d.kind, "outage", d.outage, "service", d.service)
	if err := d.carryOut(); err != nil {
		s.ledger.end(err.Error())
	}
}

// close ends nodes, upstreams and store.
func (s *Soak) close() {
	for _, v := range s.vms {
		if v.node != nil && v.node.Running() {
			v.node.Kill()
		}
		v.endUpstream()
	}
	if s.store != nil {
		s.store.Close()
	}
}
