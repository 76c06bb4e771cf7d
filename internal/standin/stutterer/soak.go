// Package stutterer runs a mesh of real processes on the users' platform, beside upstreams that respond twice, late or
// in part, and that make calls of their own. It checks that each caller gets the answer to its own request, or none.
package stutterer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

var (
	zones = []string{"zone-a", "zone-b", "zone-c"}
	// links are the bandwidths of VMs, in Mbit/s, which the VMs are told in turn.
	links = []int{1000, 20}
	// services are those of the VMs, in turn.
	services = []string{serviceOuter, serviceInner, servicePlace}
)

const (
	// outerShare is the share of the callers' requests that go to serviceOuter.
	outerShare   = 0.6
	readyTimeout = 30 * time.Second
	// spreadTime is the time for the first heartbeats and memberships to spread.
	spreadTime   = 3 * time.Second
	settleEvery  = time.Second
	disruptEvery = 2 * time.Second
	restartDelay = 2 * time.Second
	addressReuse = time.Second
)

// Config configures a soak.
type Config struct {
	// Product is the path of the tamarackpitch program.
	Product string
	// Template is the path of the template of a node's settings. Its lines with placeholders are left out.
	Template string
	Output   io.Writer
	// Seed determines the requests, and how upstreams treat each of them.
	Seed uint64
	// Duration is the time under load.
	Duration time.Duration
	// VMs is the number of VMs, and Callers that of callers on each.
	VMs     int
	Callers int
	Chances Chances
}

// Soak is one run of the soak.
type Soak struct {
	config       Config
	dir          string
	settings     string
	storeAddress string
	ledger       *ledger
	vms          []*vm
	// stop ends the callers.
	stop chan struct{}
}

// Run runs the soak and returns the number of violations by rule. The nodes' logs are removed if there are none.
func Run(c Config) (map[string]int, error) {
	dir, err := os.MkdirTemp("", "tamarackpitch-stutter")
	if err != nil {
		return nil, err
	}
	s := &Soak{config: c, dir: dir, ledger: newLedger(c.Output), stop: make(chan struct{})}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, fmt.Errorf("%w (logs of the nodes are in %s)", err, dir)
	}
	s.runLoad()
	s.ledger.report()
	found := map[string]int{}
	for r, n := range s.ledger.violations {
		found[string(r)] = n
	}
	if len(found) == 0 {
		return nil, os.RemoveAll(dir)
	}
	_, _ = fmt.Fprintf(c.Output, "logs=%s\n", dir)
	return found, nil
}

// start starts the store, the nodes and the upstreams, and waits until all nodes are ready.
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
	addresses, err := harness.AllocateAddresses(addressesPerVM * s.config.VMs)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.storeAddress = listener.Addr().String()
	go (&storeServer{listener: listener, handler: store.Handler()}).run()
	for i := range s.config.VMs {
		v := newVM(s, i, services[i%len(services)], addresses)
		s.vms = append(s.vms, v)
		if err := v.startNode(); err != nil {
			return err
		}
		if err := v.startUpstream(); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if !harness.WaitUntil(readyTimeout, v.isReady) {
			return fmt.Errorf("node of VM %d is not ready after %s", v.number, readyTimeout)
		}
	}
	time.Sleep(spreadTime)
	return nil
}

// runLoad runs the callers and the disruptions, and judges the requests.
func (s *Soak) runLoad() {
	var callers []*caller
	for _, v := range s.vms {
		for range s.config.Callers {
			c := newCaller(v, len(callers)+1)
			callers = append(callers, c)
			go c.loop()
		}
	}
	random := rand.New(rand.NewPCG(s.config.Seed, 1))
	disrupted := time.Now()
	for end := time.Now().Add(s.config.Duration); time.Now().Before(end); time.Sleep(settleEvery) {
		s.ledger.settle(settleTime)
		if time.Since(disrupted) > disruptEvery {
			disrupted = time.Now()
			go (&disruption{vm: s.vms[random.IntN(len(s.vms))], kind: random.IntN(5)}).run()
		}
	}
	close(s.stop)
	for _, c := range callers {
		<-c.done
	}
	time.Sleep(settleTime / 2)
	s.ledger.settle(0)
}

// close ends the nodes.
func (s *Soak) close() {
	for _, v := range s.vms {
		if v.node != nil && v.node.Running() {
			v.node.Kill()
		}
	}
}

// storeServer serves the store.
type storeServer struct {
	listener net.Listener
	handler  http.Handler
}

func (s *storeServer) run() { _ = http.Serve(s.listener, s.handler) }
