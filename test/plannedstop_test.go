package scenarios_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/harness"
	"github.com/tamarackpitch/tamarackpitch/pkg/decoder"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// stopSeeds is the number of runs of TestPlannedStopCutsCalls, whose seeds begin at stopFirstSeed.
var (
	stopSeeds     = flag.Int("stop-seeds", 1, "number of runs of TestPlannedStopCutsCalls")
	stopFirstSeed = flag.Uint64("stop-first-seed", 1, "seed of the first run of TestPlannedStopCutsCalls")
)

const (
	// stopGrace is the time from SIGTERM to SIGKILL on the users' platform.
	stopGrace = 6 * time.Second
	// stopAfter is how long the clients call before the node gets SIGTERM.
	stopAfter = 1500 * time.Millisecond
	// lossSlack is how long after its last byte was sent an unread request may cross the end of its connection.
	lossSlack = 200 * time.Millisecond
	// A node may break off a call, with a response of its own, in the last sixth of the grace, if the call was sent no later
	// than lastExcused after SIGTERM; or at the call's deadline.
	lastSixth, lastExcused = stopGrace * 5 / 6, 3 * time.Second
	// deadlineSlack allows for the rounding of deadlines to milliseconds.
	deadlineSlack = 20 * time.Millisecond
	// Times that calls take at their upstream, in milliseconds.
	minWorkMs, maxWorkMs, maxShortWorkMs = 100, 7000, 2000
	// shortTimeoutMs and longTimeoutMs are timeouts of routes: calls of the first may end within the grace even if they come
	// late, calls of the second outlast it.
	shortTimeoutMs, longTimeoutMs = 2500, 9000
	// clientsPerKind is the number of clients of each kind that a node has.
	clientsPerKind = 12
	maxPause       = 150 * time.Millisecond
	// maxGap is the longest time between the two pieces of a request.
	maxGap = 3 * time.Second
	// serviceDesk is beside the stopped node and another one, serviceLedger only beside the third.
	serviceDesk, serviceLedger = "desk", "ledger"
	announceEvery              = 400 * time.Millisecond
	stopTimeLeft               = "Tamarackpitch-Time-Left"
)

// stopUpstream is an upstream within the test. Its calls take as long as their query says, and may call out through the
// node beside it.
type stopUpstream struct {
	address string
	node    string
	mu      *sync.Mutex
	runs    map[string]int
	call    func(address, path, id string, leftMs int) stopCall
}

func (u *stopUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	q := r.URL.Query()
	id := q.Get("id")
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	ms, _ := strconv.Atoi(q.Get("ms"))
	time.Sleep(time.Duration(ms) * time.Millisecond)
	if left, err := strconv.Atoi(r.Header.Get(stopTimeLeft)); err == nil && q.Get("child") != "" {
		// The upstream's own call expires with the call that it runs.
		u.call(u.node, "/ledger/short?ms=50&id=child-of-"+id, "child-of-"+id, left-int(time.Since(began).Milliseconds()))
	}
	_, _ = io.WriteString(w, id)
}

// announce announces the upstream to its node until stop is closed.
func (u *stopUpstream) announce(admin, service string, stop <-chan struct{}) {
	body, _ := json.Marshal(controller.Announcement{Service: service, Version: "v1", Address: u.address, Slots: 64})
	for {
		if response, err := http.Post("http://"+admin+"/announce", "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(announceEvery):
		}
	}
}

// stopCall is a call as its client saw it.
type stopCall struct {
	id, path string
	// entry is the name of the node that the client called; "child" for the calls of upstreams.
	entry string
	kept  bool
	// sentAt is when the last byte of the request was sent; endedAt when its response or its connection ended.
	sentAt, endedAt time.Time
	// limit is when the call's deadline or its route's timeout is reached, after it was sent.
	limit  time.Duration
	status int
	run    string
	reason string
	closes bool
	// err is set if the connection ended without a complete response; refused if it was not opened.
	err     error
	refused bool
}

func (c stopCall) String() string {
	return fmt.Sprintf("%s at %s (kept %v) status %d run %s %s took %v err %v", c.path, c.entry, c.kept, c.status, c.run, c.reason,
		c.endedAt.Sub(c.sentAt).Round(time.Millisecond), c.err)
}

// stopConnection is a client's connection.
type stopConnection struct {
	net.Conn
	reader *bufio.Reader
}

func openStopConnection(address string) (*stopConnection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return &stopConnection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// request sends a call in pieces, pausing before the last one, and reads its response.
func (c *stopConnection) request(method, path string, leftMs int, pause time.Duration) stopCall {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n%s: %d\r\n", method, path, stopTimeLeft, leftMs)
	if method == http.MethodPost {
		text += "Content-Length: 3\r\n\r\npay"
	} else {
		text += "\r\n"
	}
	r := stopCall{path: method + " " + path, limit: time.Duration(leftMs) * time.Millisecond}
	if strings.Contains(path, "/short?") {
		r.limit = min(r.limit, shortTimeoutMs*time.Millisecond)
	}
	at := len(text)
	if pause > 0 {
		at -= 2
	}
	_, r.err = io.WriteString(c, text[:at])
	if pause > 0 && r.err == nil {
		time.Sleep(pause)
		_, r.err = io.WriteString(c, text[at:])
	}
	r.sentAt = time.Now()
	defer func() { r.endedAt = time.Now() }()
	if r.err != nil {
		return r
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.err = err
		r.endedAt = time.Now()
		return r
	}
	_, r.err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	r.status, r.run, r.closes = response.StatusCode, response.Header.Get("Tamarackpitch-Run"), response.Close
	r.reason = response.Header.Get("Tamarackpitch-Refusal")
	r.endedAt = time.Now()
	return r
}

// stopClient calls one node, on kept or on new connections, until stop is closed.
type stopClient struct {
	entry, address string
	kept           bool
	random         *rand.Rand
	prefix         string
	count          int
	connection     *stopConnection
}

func (c *stopClient) run(stop <-chan struct{}, record func(stopCall)) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		record(c.next())
		time.Sleep(time.Duration(c.random.Float64() * float64(maxPause)))
	}
}

func (c *stopClient) next() stopCall {
	c.count++
	id := fmt.Sprintf("%s-%d", c.prefix, c.count)
	method := []string{http.MethodGet, http.MethodPost}[c.random.IntN(2)]
	service := []string{serviceDesk, serviceDesk, serviceLedger}[c.random.IntN(3)]
	length := []string{"short", "long"}[c.random.IntN(2)]
	ms := minWorkMs + c.random.IntN(maxWorkMs-minWorkMs)
	if length == "short" {
		ms = min(ms, maxShortWorkMs)
	}
	path := fmt.Sprintf("/%s/%s?ms=%d&id=%s", service, length, ms, id)
	if c.random.IntN(4) == 0 {
		path += "&child=1"
	}
	pause := time.Duration(0)
	if c.random.IntN(4) == 0 {
		pause = time.Duration(c.random.Float64() * float64(maxGap))
	}
	return c.send(method, path, id, pause)
}

// send sends a call on the kept connection or a new one.
func (c *stopClient) send(method, path, id string, pause time.Duration) stopCall {
	if c.connection == nil {
		var err error
		if c.connection, err = openStopConnection(c.address); err != nil {
			time.Sleep(50 * time.Millisecond)
			return stopCall{id: id, entry: c.entry, path: path, refused: true, err: err, sentAt: time.Now(), endedAt: time.Now()}
		}
	}
	r := c.connection.request(method, path, longTimeoutMs, pause)
	r.id, r.entry, r.kept = id, c.entry, c.kept
	if r.err != nil || r.closes || !c.kept {
		_ = c.connection.Close()
		c.connection = nil
	}
	return r
}

// stopRun is one run of the mesh with its clients.
type stopRun struct {
	mesh *harness.Mesh
	mu   sync.Mutex
	// runs counts the runs of each call at upstreams.
	runs  map[string]int
	calls []stopCall
	stop  chan struct{}
}

func (s *stopRun) record(c stopCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

func (s *stopRun) addUpstream(t *testing.T, vm *harness.VM, service string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	u := &stopUpstream{address: l.Addr().String(), node: vm.Listen, mu: &s.mu, runs: s.runs, call: s.callOut}
	server := &http.Server{Handler: u}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go u.announce(vm.Admin, service, stop)
}

// callOut makes a call of an upstream through the node beside it, on a new connection.
func (s *stopRun) callOut(address, path, id string, leftMs int) stopCall {
	r := stopCall{path: path, refused: true, sentAt: time.Now()}
	c, err := openStopConnection(address)
	if err == nil {
		r = c.request(http.MethodPost, path, leftMs, 0)
		_ = c.Close()
	}
	r.id, r.entry = id, "child"
	if r.err == nil {
		r.err = err
	}
	s.record(r)
	return r
}

// stopDeclarations returns the declarations of the services, and of a route for each service, method and timeout.
func stopDeclarations(t *testing.T) []*schema.Declaration {
	t.Helper()
	var text strings.Builder
	text.WriteString("kind: preset\nname: p\nclasses: [c]\nstep-interval: 500ms\nwatch: 1s\nmin-calls: 5\nfirst-share: 0.05\n" +
		"retry-budget: 0.2\nrollback-threshold: 8\n---\nkind: active-preset\nname: p\n")
	for _, service := range []string{serviceDesk, serviceLedger} {
		fmt.Fprintf(&text, "---\nkind: service\nname: %s\ninitial-version: v1\n", service)
		for length, ms := range map[string]int{"short": shortTimeoutMs, "long": longTimeoutMs} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				fmt.Fprintf(&text, "---\nkind: route\nname: %s-%s-%s\nservice: %s\npath-prefix: /%s/%s\nmethods: [%s]\n"+
					"idempotent: %v\nclass: c\ntimeout: %dms\n", service, strings.ToLower(method), length, service, service, length, method,
					method == http.MethodGet, ms)
			}
		}
	}
	declarations, err := decoder.Decoder{Now: time.Now()}.Decode("planned-stop", []byte(text.String()))
	qt.Assert(t, err, qt.IsNil)
	return declarations
}

// startStopRun starts a node for each name, beside an upstream of the service, if any.
func startStopRun(t *testing.T, services map[string]string) *stopRun {
	t.Helper()
	product, err := exec.LookPath("tamarackpitch")
	qt.Assert(t, err, qt.IsNil)
	standin, err := exec.LookPath("tamarackpitch-standin")
	qt.Assert(t, err, qt.IsNil)
	// The times of deploy/node.yaml.
	flags := []string{"--leave-delay=2200ms", "--drain-timeout=3200ms", "--silence-after=400ms", "--threads=1"}
	var specs []harness.Spec
	for name := range services {
		specs = append(specs, harness.Spec{Name: name, Zone: "a", Region: "r", NodeFlags: flags})
	}
	m, err := harness.Start(harness.Config{Dir: t.TempDir(), Product: product, Standin: standin, Specs: specs})
	if m != nil {
		t.Cleanup(m.Stop)
	}
	qt.Assert(t, err, qt.IsNil)
	s := &stopRun{mesh: m, runs: map[string]int{}, stop: make(chan struct{})}
	for _, vm := range m.VMs {
		if service := services[vm.Spec.Name]; service != "" {
			s.addUpstream(t, vm, service)
		}
	}
	_, err = m.Publish(stopDeclarations(t))
	qt.Assert(t, err, qt.IsNil)
	announced := harness.WaitUntil(waitTimeout, func() bool {
		for _, vm := range m.VMs {
			if status, ok := m.Status(vm); !ok || status.Service != services[vm.Spec.Name] {
				return false
			}
		}
		return true
	})
	qt.Assert(t, announced, qt.IsTrue)
	return s
}

// startClients starts the clients of all nodes, and returns a function that stops them and waits for their last calls.
func (s *stopRun) startClients(seed uint64) (wait func()) {
	var clients sync.WaitGroup
	for n, vm := range s.mesh.VMs {
		for i := range 2 * clientsPerKind {
			c := &stopClient{entry: vm.Spec.Name, address: vm.Listen, kept: i%2 == 0, prefix: fmt.Sprintf("%s-%d", vm.Spec.Name, i),
				random: rand.New(rand.NewPCG(seed, uint64(100*n+i)))}
			clients.Go(func() { c.run(s.stop, s.record) })
		}
	}
	return func() {
		close(s.stop)
		clients.Wait()
	}
}

// TestPlannedStopCutsCalls stops one node of three by SIGTERM under steady calls: idempotent and not, with timeouts within the
// grace and beyond it, on kept and new connections, in pieces, at this node, through other nodes, and by upstreams while they
// run calls. No connection may end without a response to a call that was passed on, or that was read.
func TestPlannedStopCutsCalls(t *testing.T) {
	for i := range *stopSeeds {
		seed := *stopFirstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := startStopRun(t, map[string]string{"stopped": serviceDesk, "other": serviceDesk, "ledger": serviceLedger})
			wait := s.startClients(seed)
			time.Sleep(stopAfter)
			signalled := time.Now()
			exited := s.mesh.Find("stopped").Node.Terminate(stopGrace)
			lived := time.Since(signalled)
			if !exited {
				s.mesh.Find("stopped").Node.Kill()
			}
			wait()
			s.check(t, signalled, lived)
			qt.Assert(t, exited, qt.IsTrue, qt.Commentf("the node still ran at the end of the grace"))
		})
	}
}

// check reports the calls that break what callers are promised around a planned stop, and logs counts.
func (s *stopRun) check(t *testing.T, signalled time.Time, lived time.Duration) {
	t.Helper()
	counts := map[string]int{}
	for _, c := range s.calls {
		runs := s.runs[c.id]
		repeatable := strings.HasPrefix(c.path, "GET")
		sent, ended := c.sentAt.Sub(signalled), c.endedAt.Sub(signalled)
		fault := ""
		switch {
		case c.refused:
			counts["connection not opened, "+c.entry]++
		case c.err != nil && runs > 0:
			fault = "run, and cut off without a response"
		case c.err != nil && c.endedAt.Sub(c.sentAt) > lossSlack:
			fault = "read, and cut off without a response"
		case c.err != nil:
			counts["crossed a close, "+c.entry]++
		case c.run == "no" && runs > 0 && !repeatable:
			fault = "refused as not run, but ran"
		case c.run == "unknown" && c.endedAt.Sub(c.sentAt) < c.limit-deadlineSlack && (sent > lastExcused || ended < lastSixth):
			fault = "broken off before its deadline"
		case c.run == "unknown":
			counts["may have run, "+c.entry+", "+c.reason]++
		case c.run == "no":
			counts["refused, "+c.entry+", "+c.reason]++
		default:
			counts["answered, "+c.entry]++
		}
		if runs > 1 && !repeatable {
			fault = "run twice"
		}
		if fault != "" {
			counts[fault]++
			t.Errorf("sent %v after SIGTERM, ended %v after it: %s: %v", sent.Round(time.Millisecond), ended.Round(time.Millisecond),
				fault, c)
		}
	}
	t.Logf("%d calls, process ended %v after SIGTERM: %v", len(s.calls), lived.Round(time.Millisecond), counts)
}

const (
	// stopDrainAt is when a node that got SIGTERM drains, by the flags of startStopRun.
	stopDrainAt = 2200 * time.Millisecond
	// burstCalls are sent to each node around stopDrainAt, within burstSpread. Their work takes longer than an idle node lives.
	burstCalls, burstSpread, burstWorkMs = 8, 8 * time.Millisecond, 1000
)

// TestNewConnectionsAtTheDrainAreCut stops idle nodes by SIGTERM and sends them calls on new connections at the moment at which
// they drain and find nothing left to wait for. A call that is passed on must be answered.
func TestNewConnectionsAtTheDrainAreCut(t *testing.T) {
	for i := range *stopSeeds {
		seed := *stopFirstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := startStopRun(t, map[string]string{"one": "", "two": "", "three": "", "four": "", "five": "", "other": serviceDesk})
			random := rand.New(rand.NewPCG(seed, 1))
			var running sync.WaitGroup
			signalled := time.Now()
			for _, vm := range s.mesh.VMs {
				if vm.Spec.Name == "other" {
					continue
				}
				running.Go(func() { vm.Node.Terminate(stopGrace) })
				for i := range burstCalls {
					at := stopDrainAt + time.Duration(random.Float64()*float64(burstSpread))
					c := &stopClient{entry: vm.Spec.Name, address: vm.Listen}
					path := fmt.Sprintf("/desk/short?ms=%d&id=%s-%d", burstWorkMs, vm.Spec.Name, i)
					running.Go(func() {
						time.Sleep(time.Until(signalled.Add(at)))
						s.record(c.send(http.MethodPost, path, fmt.Sprintf("%s-%d", vm.Spec.Name, i), 0))
					})
				}
			}
			running.Wait()
			s.check(t, signalled, time.Since(signalled))
		})
	}
}
