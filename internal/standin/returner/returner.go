// Package returner measures what it costs a mesh on the users' platform when the store returns from an older copy: calls to
// the store, bytes between nodes, and the time until all nodes follow the store again.
package returner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

const (
	zones = 3
	// routes and services are those of each configuration.
	routes   = 200
	services = 20
	// settleTime keeps the traffic of the mesh's start out of the measurement.
	settleTime     = 15 * time.Second
	startTimeout   = 2 * time.Minute
	inForceTimeout = 30 * time.Second
	pollInterval   = 5 * time.Millisecond
)

// Config configures a measurement.
type Config struct {
	Output io.Writer
	Nodes  int
	// Away is how long the store refuses all calls before it returns.
	Away time.Duration
	// Phase is the time over which the costs of each phase are counted.
	Phase time.Duration
	// Logger gets the nodes' logs.
	Logger hclog.Logger
}

// bench is one measurement.
type bench struct {
	config Config
	store  *standin.Store
	server *storeServer
	nodes  []*node
	// revision is the number of the newest configuration.
	revision   uint64
	violations atomic.Int64
}

// Run measures one return of the store.
func Run(c Config) error {
	b := &bench{config: c, store: standin.New()}
	defer b.stop()
	if err := b.publishNext(); err != nil {
		return err
	}
	if err := b.start(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if err := b.measureReturn(); err != nil {
		return err
	}
	if n := b.violations.Load(); n > 0 {
		return &Error{Operation: "measure", Kind: KindViolation, Detail: fmt.Sprintf("%d invariants violated", n)}
	}
	return nil
}

// start starts the store's server and the nodes, and waits until all are ready and know each other.
func (b *bench) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	b.server = newStoreServer(listener, mux, b.config.Logger)
	addresses, err := allocateAddresses(b.config.Nodes)
	if err != nil {
		return err
	}
	began := time.Now()
	for i, address := range addresses {
		if err := b.startNode(i, address, mux); err != nil {
			return err
		}
	}
	after, err := b.await("start", startTimeout, began, func(n *node) bool {
		s := n.Status()
		return s.Ready && s.Members == len(b.nodes)
	})
	if err != nil {
		return err
	}
	b.printLine("start", "all-after=%s", after)
	return nil
}

// startNode starts a node, for which the store is served under a path of its own, so that the calls of each node are counted.
func (b *bench) startNode(i int, address string, mux *http.ServeMux) error {
	path, meter := fmt.Sprintf("/%d", i), &standin.Meter{}
	mux.Handle(path+"/", http.StripPrefix(path, meter.Measure(b.store.Handler())))
	n, err := newNode(nodeConfig{name: fmt.Sprintf("n%04d", i), zone: fmt.Sprintf("zone-%d", i%zones), address: address,
		storeURL: b.server.url() + path, store: meter, logger: b.config.Logger, onViolation: b.countViolation})
	if err != nil {
		return err
	}
	b.nodes = append(b.nodes, n)
	return nil
}

func (b *bench) countViolation(checker.Invariant, string) { b.violations.Add(1) }

// stop ends the nodes and the store's server.
func (b *bench) stop() {
	for _, n := range b.nodes {
		n.Close()
	}
	if b.server != nil {
		b.server.close()
	}
}

// printLine prints one line of results.
func (b *bench) printLine(phase, format string, arguments ...any) {
	_, _ = fmt.Fprintf(b.config.Output, "bench=returned-log nodes=%d away=%s phase=%s "+format+"\n",
		append([]any{b.config.Nodes, b.config.Away, phase}, arguments...)...)
}

// await waits until a condition holds for every node, and returns how long after began it held for the last one.
func (b *bench) await(operation string, timeout time.Duration, began time.Time, holds func(*node) bool) (time.Duration, error) {
	pending := b.nodes
	for len(pending) > 0 {
		if time.Since(began) > timeout {
			return timeout, &Error{Operation: operation, Kind: KindTimeout,
				Detail: fmt.Sprintf("%d of %d nodes not there, such as %s", len(pending), len(b.nodes), pending[0].name)}
		}
		var left []*node
		for _, n := range pending {
			if !holds(n) {
				left = append(left, n)
			}
		}
		if pending = left; len(pending) > 0 {
			time.Sleep(pollInterval)
		}
	}
	return time.Since(began).Round(time.Millisecond), nil
}
