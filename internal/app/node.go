package app

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tamarackpitch/tamarackpitch/internal/adminserver"
	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/forwarder"
	"github.com/tamarackpitch/tamarackpitch/internal/logwriter"
	"github.com/tamarackpitch/tamarackpitch/internal/meterer"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/internal/settings"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// errStarting is the result of a request that needs the controller before it has started.
var errStarting = errors.New("the controller has not started")

const (
	// gcPercent is the heap growth, in percent, that starts a garbage collection. More would save collections at the
	// cost of heap, which the memory limit bounds.
	gcPercent = 100
	// drainNotice is the time between telling other nodes to send no more calls and closing the listeners.
	drainNotice = 400 * time.Millisecond
	// flushTimeout bounds the time to write the remaining log lines at exit.
	flushTimeout = 200 * time.Millisecond
)

// Node is the node command.
type Node struct {
	Settings kong.ConfigFlag `help:"Settings file: YAML whose keys are the names of these flags."`
	settings.Node
}

// Run runs the node until SIGTERM or SIGINT, then shuts it down gracefully.
func (n *Node) Run() error {
	runtime.GOMAXPROCS(n.Threads)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(n.MemoryLimitMB) << 20)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	output := logwriter.New(os.Stdout)
	defer output.Close(flushTimeout)
	p, err := startNode(n.Node, output)
	if err != nil {
		return err
	}
	r := newReloader(p.common, string(n.Settings))
	<-ctx.Done()
	p.shutDown()
	r.close()
	return nil
}

// nodeProcess is a running node with its components.
type nodeProcess struct {
	common    *common.Common
	dialect   dialect
	forwarder *forwarder.Forwarder
	// controller is nil until it has started; the admin server and the forwarder start before it.
	controller atomic.Pointer[controller.Controller]
}

func newCommon(s settings.Node, output *logwriter.Writer) *common.Common {
	logger := newLogger(output, s.LogLevel).With("node", s.Name)
	r := recorder.New(s.Name, time.Now)
	c := checker.New(checker.Config{Logger: logger, OnViolation: func(i checker.Invariant, detail string) {
		r.Record(recorder.Event{Name: "invariant-violated", Fields: map[string]string{"invariant": string(i), "detail": detail}})
	}})
	return &common.Common{Logger: logger, Settings: s, Checker: c, Recorder: r}
}

func startNode(s settings.Node, output *logwriter.Writer) (*nodeProcess, error) {
	s.DrainTimeout = drainTimeout(s)
	p := &nodeProcess{common: newCommon(s, output)}
	p.dialect = newDialect(p.common, p.controller.Load)
	self := newSelf(s)
	var err error
	p.forwarder, err = forwarder.New(forwarder.Config{Common: p.common, ReportCrash: p.reportCrash,
		ReportDraining: p.reportDraining, RequestTokens: p.requestTokens, Dialect: p.dialect.headers, Service: s.Service, Process: self.Process})
	if err != nil {
		return nil, err
	}
	admin := adminserver.New(adminserver.Config{Common: p.common, Controller: p.controller.Load,
		Refusals: p.forwarder.Stats().Refusals, Platform: p.dialect.platformHandler()})
	if _, err := requester.NewEngine(admin, s.AdminListen, s.UpstreamListen, s.ReadyListen); err != nil {
		return nil, err
	}
	k, err := controller.New(controller.Config{Common: p.common, Log: p.dialect.newLog(requester.New()), Reduce: p.dialect.reduce,
		Self: self, Evidence: p.forwarder, Publish: p.publish, GrantTokens: p.forwarder.GrantTokens})
	if err != nil {
		return nil, err
	}
	// The listener of the overlay is open by now, so that its port is not taken for renewals.
	p.listenForRenewals()
	p.controller.Store(k)
	if _, err := meterer.New(meterer.Config{Forwarder: p.forwarder, Controller: k}); err != nil {
		return nil, err
	}
	p.common.Logger.Info("node started", "zone", s.Zone, "region", s.Region, "listen", s.Listen, "admin", s.AdminListen,
		"drain-timeout", s.DrainTimeout)
	return p, nil
}

func (p *nodeProcess) publish(view *router.Snapshot) { p.forwarder.Publish(view) }

func (p *nodeProcess) reportCrash(fingerprints []uint64) {
	if k := p.controller.Load(); k != nil {
		k.ReportCrash(fingerprints)
	}
}

// requestTokens is only called after the controller has started, since the forwarder knows of quotas from its snapshots.
func (p *nodeProcess) requestTokens(address string, r *schema.TokenRequest) (*schema.TokenResponse, error) {
	k := p.controller.Load()
	if k == nil {
		return nil, errStarting
	}
	return k.RequestTokens(address, r)
}

// reportDraining withdraws an incarnation of the local upstream that has stated that it is draining. The controller has
// started by then, since the forwarder knows an upstream only from its snapshots.
func (p *nodeProcess) reportDraining(i balancer.Incarnation) {
	k := p.controller.Load()
	if k == nil {
		return
	}
	if err := k.Withdraw(i.Instance, i.StartedUnixMs); err != nil {
		p.common.Logger.Warn("draining upstream not withdrawn", "instance", i.Instance, "error", err)
	}
}

// newSelf returns the node's initial entry in the membership table.
func newSelf(s settings.Node) *schema.Member {
	return &schema.Member{Node: s.Name, Incarnation: uint64(time.Now().UnixMilli()), Process: rand.Uint64(), Zone: s.Zone, Region: s.Region,
		ControlAddress: s.ControlListen, PeerAddress: s.PeerAdvertise, AdminAddress: s.AdminListen}
}

// shutDown makes the node unready so that callers use other nodes, waits for calls in flight and leaves the mesh.
func (p *nodeProcess) shutDown() {
	p.common.Logger.Info("node shutting down")
	p.controller.Load().Leave()
	// Other nodes keep sending calls to the upstream until shortly before the listeners close.
	notice := min(drainNotice, p.common.Settings.LeaveDelay)
	time.Sleep(p.common.Settings.LeaveDelay - notice)
	p.controller.Load().Drain()
	time.Sleep(notice)
	p.forwarder.Drain(p.common.Settings.DrainTimeout)
	p.controller.Load().Close()
	p.forwarder.Close()
	p.common.Logger.Info("node shut down")
}
