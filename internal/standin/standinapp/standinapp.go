// Package standinapp implements the commands of the tamarackpitch-standin program.
package standinapp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/caller"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/logserver"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/relay"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/upstream"
)

type commandLine struct {
	Log      logCommand      `cmd:"" help:"Run a stand-in for the platform's log."`
	Upstream upstreamCommand `cmd:"" help:"Run a stand-in upstream."`
	Caller   callerCommand   `cmd:"" help:"Send load and report the results of the calls."`
	Relay    relayCommand    `cmd:"" help:"Relay TCP connections and inject network faults."`
	Demo     demoCommand     `cmd:"" help:"Run the whole system on one machine and check its main guarantees."`
	Soak     soakCommand     `cmd:"" help:"Run a mesh under random load, failures and operator actions."`
	Stutter  stutterCommand  `cmd:"" help:"Run a mesh of the users' platform beside upstreams that respond twice, late or in part."`
	Bench    benchCommand    `cmd:"" help:"Measure the system, in part against simpler baselines."`
}

// Main parses the arguments, runs the command and returns the exit code: 2 for wrong arguments, 1 for a command
// that fails.
func Main(arguments []string, stdout, stderr io.Writer) int {
	commands := &commandLine{}
	parser, err := kong.New(commands, kong.Name("tamarackpitch-standin"), kong.Writers(stdout, stderr),
		kong.DefaultEnvars("STANDIN"), kong.BindTo(stdout, (*io.Writer)(nil)))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	command, err := parser.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	if err := command.Run(); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

// Run is Main with the process's own arguments and outputs.
func Run() int { return Main(os.Args[1:], os.Stdout, os.Stderr) }

// signalContext returns a context that ends at SIGTERM or SIGINT.
func signalContext() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx
}

type logCommand struct {
	Listen string `help:"Address, IP:port." default:"127.0.0.1:8090"`
	File   string `help:"File from which records are restored after a restart; without it they are in memory only."`
}

// Run serves the log until SIGTERM or SIGINT.
func (c *logCommand) Run() error {
	server, err := logserver.New(c.File)
	if err != nil {
		return err
	}
	if _, err := requester.NewEngine(server, c.Listen); err != nil {
		return err
	}
	<-signalContext().Done()
	return nil
}

type upstreamCommand struct {
	Name          string        `help:"Name of the upstream." required:""`
	Service       string        `help:"Service it belongs to." required:""`
	Version       string        `help:"Version of the service." required:""`
	Listen        string        `help:"Address, IP:port." required:""`
	Node          string        `help:"Admin address of its node." required:""`
	Slots         int           `help:"Slots to announce: calls that its node may send it at one time." default:"6"`
	Connections   int           `help:"Number of connections to announce." default:"130"`
	ColdStart     time.Duration `help:"Time after the start during which it is slow." default:"0s"`
	Latency       time.Duration `help:"Time that each request takes." default:"2ms"`
	FailRate      float64       `help:"Share of requests, from 0 to 1, that get status 500."`
	SlowFactor    float64       `help:"Factor on the latency; 0 means 1."`
	OnPrefix      string        `help:"Path prefix to which failures and slowness are limited."`
	After         time.Duration `help:"Time after the start at which failures and slowness begin."`
	AboveInFlight int           `help:"Requests in flight above which it fails or is slow."`
	Ledger        string        `help:"File to which a line is appended for each call that starts."`
}

// Run serves until SIGTERM or SIGINT, then drains.
func (c *upstreamCommand) Run() error {
	u, err := upstream.New(upstream.Config{Name: c.Name, Service: c.Service, Version: c.Version, Listen: c.Listen, Node: c.Node,
		Slots: c.Slots, Connections: c.Connections, ColdStart: c.ColdStart, Ledger: c.Ledger, Requester: requester.New(),
		Behaviour: upstream.Behaviour{LatencyMs: float64(c.Latency) / float64(time.Millisecond), FailRate: c.FailRate,
			SlowFactor: c.SlowFactor, OnPrefix: c.OnPrefix, AfterMs: c.After.Milliseconds(), AboveInFlight: c.AboveInFlight}})
	if err != nil {
		return err
	}
	server := &http.Server{Addr: c.Listen, Handler: u, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute}
	s := &httpServer{server: server, failed: make(chan error, 1)}
	go s.run()
	ctx := signalContext()
	a := &announcer{upstream: u, ctx: ctx}
	go a.run()
	select {
	case err := <-s.failed:
		return err
	case <-ctx.Done():
	}
	const grace = 1500 * time.Millisecond
	u.Drain(grace)
	return nil
}

// httpServer runs an HTTP server and sends on failed the error that ends it.
type httpServer struct {
	server *http.Server
	failed chan error
}

func (s *httpServer) run() { s.failed <- s.server.ListenAndServe() }

// announcer announces an upstream to its node until ctx ends.
type announcer struct {
	upstream *upstream.Upstream
	ctx      context.Context
}

func (a *announcer) run() { a.upstream.Announce(a.ctx) }

type callerCommand struct {
	Entries  []string      `help:"Addresses of nodes to which calls are sent, IP:port." name:"entry" required:""`
	Requests []string      `help:"Requests to choose from, as METHOD:PATH." name:"request" default:"GET:/status/1"`
	Rate     float64       `help:"Calls per second." default:"50"`
	Duration time.Duration `help:"Time for which calls are started." default:"5s"`
	Timeout  time.Duration `help:"Time after which a call is abandoned." default:"10s"`
	Keyed    bool          `help:"Send an idempotency key with each request that is not a GET."`
	Seed     uint64        `help:"Seed of the load." default:"1"`
	Prefix   string        `help:"Prefix of the call IDs." default:"c"`
}

// Run sends load and prints a report.
func (c *callerCommand) Run(w io.Writer) error {
	config := caller.Config{Entries: c.Entries, Rate: c.Rate, Timeout: c.Timeout, Seed: c.Seed, Prefix: c.Prefix}
	for _, p := range c.Requests {
		method, path, ok := strings.Cut(p, ":")
		if !ok {
			return fmt.Errorf("--request=%q: expected METHOD:PATH", p)
		}
		config.Targets = append(config.Targets, caller.Target{Method: method, Path: path, Size: caller.SizeOf(path),
			Keyed: c.Keyed && method != http.MethodGet, Weight: 1})
	}
	ctx, cancel := context.WithTimeout(signalContext(), c.Duration)
	defer cancel()
	load := caller.New(config)
	load.Run(ctx)
	load.WriteReport(w)
	return nil
}

type relayCommand struct {
	Listen  string `help:"Address, IP:port." required:""`
	Target  string `help:"Address to which connections are relayed, IP:port." required:""`
	Control string `help:"Address for the fault commands POST /cut, /silence and /delay?ms=N, IP:port." required:""`
}

// Run relays until SIGTERM or SIGINT.
func (c *relayCommand) Run() error {
	r, err := relay.New(c.Listen, c.Target)
	if err != nil {
		return err
	}
	if _, err := requester.NewEngine(r, c.Control); err != nil {
		return err
	}
	<-signalContext().Done()
	r.Close()
	return nil
}
