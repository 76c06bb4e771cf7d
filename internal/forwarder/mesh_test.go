package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/forwarder"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/internal/settings"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// testNode is a forwarder whose routing snapshots are set by the test.
type testNode struct {
	*forwarder.Forwarder
	name    string
	common  *common.Common
	crashes chan []uint64
	// drains holds the upstreams reported as draining.
	drains chan balancer.Incarnation
	// requestTokens answers the node's requests for tokens.
	requestTokens func(address string, r *schema.TokenRequest) (*schema.TokenResponse, error)
}

func newNode(t *testing.T, name string) *testNode {
	t.Helper()
	return newNodeWith(t, name, forwarder.OwnDialect())
}

// sealedDialect returns a dialect with every optional header.
func sealedDialect() forwarder.Dialect {
	return forwarder.Dialect{RequestID: "X-Id", TimeLeft: "X-Time-Left", CallerService: "X-Caller", ExpectInstance: "X-Instance",
		NotExecuted: "X-Not-Run", Seal: "X-Seal", CrashStatus: http.StatusServiceUnavailable, RetryAfter: true}
}

func newNodeWith(t *testing.T, name string, d forwarder.Dialect) *testNode {
	t.Helper()
	return startNode(t, name, d, 0)
}

// newNodeWithLink returns a node with a configured bandwidth of its VM's network link.
func newNodeWithLink(t *testing.T, name string, mbps float64) *testNode {
	t.Helper()
	return startNode(t, name, forwarder.OwnDialect(), mbps)
}

func startNode(t *testing.T, name string, d forwarder.Dialect, mbps float64) *testNode {
	t.Helper()
	n := &testNode{name: name, crashes: make(chan []uint64, 16), drains: make(chan balancer.Incarnation, 16)}
	n.common = &common.Common{
		Logger: hclog.NewNullLogger(),
		Settings: settings.Node{Name: name, Zone: "a", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", MaxInFlight: 100,
			LinkMbps: mbps, HeaderTimeout: time.Second, BodyIdleTimeout: 5 * time.Second,
			IdleTimeout: 5 * time.Second, SilenceAfter: 200 * time.Millisecond},
		Checker: checker.New(checker.Config{Logger: hclog.NewNullLogger(), OnViolation: func(i checker.Invariant, detail string) {
			t.Errorf("node %s: invariant %s violated: %s", name, i, detail)
		}}),
		Recorder: recorder.New(name, time.Now),
	}
	f, err := forwarder.New(forwarder.Config{Common: n.common, Dialect: d, Service: "service-of-" + name,
		ReportCrash: func(f []uint64) { n.crashes <- f }, ReportDraining: func(i balancer.Incarnation) { n.drains <- i },
		RequestTokens: func(address string, r *schema.TokenRequest) (*schema.TokenResponse, error) {
			return n.requestTokens(address, r)
		}})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(f.Close)
	n.Forwarder = f
	return n
}

func (n *testNode) url(path string) string {
	callers, _ := n.Addresses()
	return "http://" + callers + path
}

func (n *testNode) endpoint(version string) *balancer.Endpoint {
	_, peers := n.Addresses()
	return endpoint(n.name, version, peers)
}

func (n *testNode) endpoints(version string) []*balancer.Endpoint {
	return []*balancer.Endpoint{n.endpoint(version)}
}

func endpoint(name, version, address string) *balancer.Endpoint {
	return &balancer.Endpoint{Node: name, Zone: "a", Service: "s", Version: version, PeerAddress: address,
		Slots: 4, Load: &balancer.Load{}}
}

// snapshotConfig describes a routing snapshot with the single service s.
type snapshotConfig struct {
	endpoints []*balancer.Endpoint
	local     *router.Local
	preset    *schema.Preset
	rollout   *router.Rollout
	refused   map[uint64]bool
	timeoutMs uint32
	// attempts is the limit of upstreams that an idempotent call may be sent to; 0 stands for the default.
	attempts uint32
	// aimMs is the latency target of the route get, or 0.
	aimMs   uint32
	limits  *schema.Limits
	leaving bool
	// customers by name; routes below /open are exempt. With quotas, the node is one of shares.
	customers map[string]*schema.Customer
	shares    int
}

func (n *testNode) publish(c snapshotConfig) {
	if c.timeoutMs == 0 {
		c.timeoutMs = 20_000
	}
	if c.preset == nil {
		c.preset = &schema.Preset{Classes: []string{"high", "low"}, RetryBudget: 0.1}
	}
	service := &router.Service{Name: "s", Rollout: c.rollout}
	for _, e := range c.endpoints {
		// Each node gets its own Load, as in separate processes.
		own := *e
		own.Load = &balancer.Load{}
		service.Nodes = append(service.Nodes, &own)
		switch {
		case c.rollout != nil && e.Version == c.rollout.To:
			service.Canary = append(service.Canary, &own)
		case e.Version == "v1":
			service.Stable = append(service.Stable, &own)
		}
	}
	snapshot := &router.Snapshot{Ready: true, Configured: true, Node: n.name, LocalUpstream: c.local,
		CrashFingerprints: c.refused, Limits: c.limits, Leaving: c.leaving, QuotaShares: max(c.shares, 1),
		Services: map[string]*router.Service{"s": service}}
	n.Publish(snapshot.WithPreset(c.preset).WithRoutes([]*schema.Route{
		{Name: "get", Service: "s", PathPrefix: "/get", Methods: []string{"GET", "HEAD"}, Idempotent: true,
			Class: "low", TimeoutMs: c.timeoutMs, Attempts: c.attempts, AimMs: c.aimMs},
		{Name: "high", Service: "s", PathPrefix: "/high", Methods: []string{"GET"}, Idempotent: true,
			Class: "high", TimeoutMs: c.timeoutMs},
		{Name: "post", Service: "s", PathPrefix: "/post", Methods: []string{"POST"}, Class: "low", TimeoutMs: c.timeoutMs},
		{Name: "open", Service: "s", PathPrefix: "/open", Methods: []string{"GET", "POST"}, Class: "low", TimeoutMs: c.timeoutMs,
			AuthExempt: true},
	}).WithCustomers(c.customers))
}

// maxDescribedCalls is the number of calls of which an upstreamServer keeps a description.
const maxDescribedCalls = 16

// upstreamServer is an HTTP server that counts the calls it runs.
type upstreamServer struct {
	address string
	runs    atomic.Int64

	// mu guards calls, which describes the first maxDescribedCalls calls that ran.
	mu    sync.Mutex
	calls []string
}

// describeCalls returns a description of the first calls that ran.
func (u *upstreamServer) describeCalls() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Join(u.calls, "\n")
}

// record counts a call and adds its description.
func (u *upstreamServer) record(r *http.Request) {
	u.runs.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.calls) == maxDescribedCalls {
		return
	}
	u.calls = append(u.calls, fmt.Sprintf("%v %s %s from %s: %v", time.Now(), r.Method, r.URL, r.RemoteAddr, r.Header))
}

func newUpstream(t *testing.T, handler http.HandlerFunc) *upstreamServer {
	t.Helper()
	u := &upstreamServer{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	u.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.record(r)
		handler(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return u
}

func (u *upstreamServer) local(version string) *router.Local {
	return &router.Local{Service: "s", Version: version, Address: u.address, Slots: 4, Connections: 16}
}

// respondWith returns a handler that responds with a fixed body.
func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// pair starts an entry node without an upstream, and a second node, the sidecar of an upstream.
func pair(t *testing.T, handler http.HandlerFunc) (entry, sidecar *testNode, u *upstreamServer) {
	t.Helper()
	entry, sidecar = newNode(t, "entry"), newNode(t, "sidecar")
	u = newUpstream(t, handler)
	endpoints := []*balancer.Endpoint{sidecar.endpoint("v1")}
	entry.publish(snapshotConfig{endpoints: endpoints})
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: u.local("v1")})
	return entry, sidecar, u
}

// reply is a complete response, or the error that occurred instead.
type reply struct {
	status  int
	body    string
	run     string
	refusal string
	header  http.Header
	err     error
}

// do sends a request on a new connection. The headers are pairs of key and value.
func do(method, url, body string, headers ...string) reply {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(text), run: response.Header.Get("Tamarackpitch-Run"),
		refusal: response.Header.Get("Tamarackpitch-Refusal"), header: response.Header, err: err}
}

// scriptedPeer is a fake node that handles each request with a script.
type scriptedPeer struct {
	address string
	mu      sync.Mutex
	// seen holds the operations of the requests received so far.
	seen []string
}

// script handles one request by writing to the connection. If it returns false, the connection is closed.
type script func(operation string, w net.Conn) bool

func newScriptedPeer(t *testing.T, s script) *scriptedPeer {
	t.Helper()
	p := &scriptedPeer{}
	p.address = serveConnections(t, func(c net.Conn) { p.serve(c, s) })
	return p
}

// serveConnections listens until the test ends and serves each connection on a goroutine of its own.
func serveConnections(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// requestsOn iterates over the requests on a connection, each with its body read, and closes the connection in the end.
func requestsOn(c net.Conn) iter.Seq[*http.Request] {
	return func(yield func(*http.Request) bool) {
		defer func() { _ = c.Close() }()
		input := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(input)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if !yield(r) {
				return
			}
		}
	}
}

func (p *scriptedPeer) serve(c net.Conn, s script) {
	for request := range requestsOn(c) {
		operation := request.Header.Get("Tamarackpitch-Operation")
		p.mu.Lock()
		p.seen = append(p.seen, operation)
		p.mu.Unlock()
		if !s(operation, c) {
			return
		}
	}
}

func (p *scriptedPeer) operations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.seen...)
}

// refuse writes the refusal of a node. It returns true, so that a script can return its result.
func refuse(w io.Writer, status int, reason, run string) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nTamarackpitch-Run: %s\r\nTamarackpitch-Refusal: %s\r\nContent-Length: 0\r\n\r\n",
		status, run, reason)
	return true
}

// eventually waits up to 10 s for a condition that other goroutines bring about.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}
