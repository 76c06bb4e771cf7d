// Package stutterer runs a mesh of real processes on the users' platform beside upstreams that respond twice, late or in
// part, and that make calls of their own, while the configuration changes and the store returns from older copies. It checks that each
// caller gets the answer to its own request, or none, and that nodes follow the configuration and never go back to an older one.
package stutterer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"slices"
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

// Streams of randomness beside those of callers, of which there are fewer than 1 << 16, and of upstreams.
const (
	operatorStream = 1<<60 + iota
	restorerStream
	proberStream
)

// Config configures a soak.
type Config struct {
	// Product is the path of the tamarackpitch program.
	Product string
	// Template is the path of the template of a node's settings.
	Template string
	Output   io.Writer
	// Seed determines requests, disruptions, and how an upstream treats each run.
	Seed uint64
	// Duration is the time under load.
	Duration time.Duration
	// VMs is the number of VMs, and Callers that of callers on each.
	VMs     int
	Callers int
	// Disrupt has VMs disrupted, and ReturnStore has the store return from older copies.
	Disrupt     bool
	ReturnStore bool
	Chances     Chances
}

// Soak is one run of the soak.
type Soak struct {
	config Config
	dir    string
	// template is the template of a node's settings.
	template string
	// platform is the store that store serves.
	platform     *standin.Store
	store        *httptest.Server
	ledger       *ledger
	versions     *versions
	disturbances *disturbances
	operator     *operator
	random       *rand.Rand
	vms          []*vm
	// stop ends callers, probers, operator and restorer.
	stop chan struct{}
}

// Run runs the soak. The nodes' logs are removed if there are no violations.
func Run(c Config) (Result, error) {
	// A violated invariant ends a node.
	_ = os.Setenv(checker.FatalEnvVar, "1")
	dir, err := os.MkdirTemp("", "tamarackpitch-stutter")
	if err != nil {
		return Result{}, err
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "stutter", Output: c.Output})
	s := &Soak{config: c, dir: dir, platform: standin.New(), ledger: newLedger(logger), disturbances: &disturbances{},
		random: rand.New(rand.NewPCG(c.Seed, 0)), stop: make(chan struct{})}
	s.versions = &versions{store: s.platform, disturbances: s.disturbances}
	defer s.close()
	if err := s.start(); err != nil {
		return Result{}, fmt.Errorf("%w (logs of the nodes are in %s)", err, dir)
	}
	s.runLoad()
	found := s.ledger.report(c.Output)
	if len(found.Violations) == 0 {
		return found, os.RemoveAll(dir)
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
	s.template = string(template)
	if err := s.versions.write(version{number: firstVersion}); err != nil {
		return err
	}
	s.store = httptest.NewServer(s.platform.Handler())
	addresses, err := harness.AllocateAddresses(addressesPerVM * s.config.VMs)
	if err != nil {
		return err
	}
	slices.Sort(addresses)
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

// runLoad runs callers, probers, changes and disruptions, and judges the requests.
func (s *Soak) runLoad() {
	parts := s.startParts()
	for end := time.Now().Add(s.config.Duration); time.Now().Before(end); time.Sleep(settleInterval) {
		s.ledger.settle(quietTime)
		if s.config.Disrupt {
			s.disrupt()
		}
	}
	close(s.stop)
	for _, done := range parts {
		<-done
	}
	time.Sleep(lastQuietTime)
	s.ledger.settle(0)
	for _, v := range s.vms {
		if !v.node.Running() {
			s.ledger.end(v.node.Name + " has ended by itself")
		}
	}
}

// startParts starts what runs beside the disruptions of VMs until the soak stops, and returns the done channels.
func (s *Soak) startParts() []chan struct{} {
	s.operator = newOperator(s)
	go s.operator.loop()
	parts := []chan struct{}{s.operator.done}
	if s.config.ReturnStore {
		r := newRestorer(s)
		go r.loop()
		parts = append(parts, r.done)
	}
	callers := 0
	for _, v := range s.vms {
		p := newProber(v)
		go p.loop()
		parts = append(parts, p.done)
		for range s.config.Callers {
			callers++
			c := newCaller(v, callers)
			go c.loop()
			parts = append(parts, c.done)
		}
	}
	return parts
}

// newDrawer returns a drawer with a source of randomness of its own.
func (s *Soak) newDrawer(stream uint64) *drawer {
	return &drawer{random: rand.New(rand.NewPCG(s.config.Seed, stream)), chances: s.config.Chances}
}

// stopped reports whether the soak stops.
func (s *Soak) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// sleep waits for a time, or until the soak stops.
func (s *Soak) sleep(d time.Duration) {
	select {
	case <-s.stop:
	case <-time.After(d):
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

// restartNodes kills all nodes and starts them again after an outage.
func (s *Soak) restartNodes(outage time.Duration) error {
	for _, v := range s.vms {
		v.setCalm(false)
		v.node.Kill()
	}
	time.Sleep(outage)
	for _, v := range s.vms {
		if err := v.restart(); err != nil {
			return err
		}
	}
	return nil
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
