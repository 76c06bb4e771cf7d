package controller

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/internal/settings"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	testZones    = 3
	nodesPerZone = 5
	testRoutes   = 200
	// inForceBound is the time within which an accepted configuration must be in force.
	inForceBound = 2 * time.Second
)

// noEvidence is the EvidenceSource of a node without traffic.
type noEvidence struct{}

func (noEvidence) TakeEvidence() []*schema.Report { return nil }

// meshNode is the controller of a node with its own connection to the store.
type meshNode struct {
	*Controller
	log *fakeLog
}

// hostsGiven counts the calls of unusedHost.
var hostsGiven atomic.Uint32

// unusedHost returns a loopback address that no other node of this process listens on. Connections to it come from 127.0.0.1.
// So neither a connection nor another test takes a port of it before the node listens.
func unusedHost() string {
	n := hostsGiven.Add(1)
	return fmt.Sprintf("127.1.%d.%d", n>>8, n&0xff)
}

// testMesh is a mesh of controllers with real links and a common store.
type testMesh struct {
	store *fakeStore
	nodes []*meshNode
}

func startMesh(t *testing.T) *testMesh {
	t.Helper()
	m := &testMesh{store: &fakeStore{seeds: map[string]*schema.Member{}}}
	for i := range testZones * nodesPerZone {
		m.nodes = append(m.nodes, startMeshNode(t, m.store, fmt.Sprintf("n%d", i), string(rune('a'+i%testZones))))
	}
	awaitDescribed(t, 10*time.Second, "all nodes are ready and know each other", m.describe, func() bool {
		return !slices.ContainsFunc(m.nodes, func(n *meshNode) bool {
			s := n.Status()
			return !s.Ready || s.Members < len(m.nodes)
		})
	})
	return m
}

// describe returns a line for each node with what it knows. The nodes must not be frozen.
func (m *testMesh) describe() string {
	var lines strings.Builder
	for _, n := range m.nodes {
		s := n.Status()
		fmt.Fprintf(&lines, "\n%s ready=%t reason=%q members=%d links=%d position=%d reads=%t", s.Node, s.Ready, s.Reason, s.Members, s.Links,
			s.Position, s.LogReader)
	}
	return lines.String()
}

// describeSnapshots returns a line for each node with what it has in force. It runs no commands, so nodes may be frozen.
func (m *testMesh) describeSnapshots() string {
	var lines strings.Builder
	for _, n := range m.nodes {
		fmt.Fprintf(&lines, "\n%s position=%v reads=%t last-read-failed=%t", n.common.Settings.Name, n.Snapshot().Position, isReading(n),
			n.reader.lastReadFailed.Load())
	}
	return lines.String()
}

func startMeshNode(t *testing.T, store *fakeStore, name, zone string) *meshNode {
	t.Helper()
	return startMeshNodeWith(t, store, name, zone, noEvidence{})
}

func startMeshNodeWith(t *testing.T, store *fakeStore, name, zone string, evidence EvidenceSource) *meshNode {
	t.Helper()
	l, err := net.Listen("tcp", unusedHost()+":0")
	qt.Assert(t, err, qt.IsNil)
	address := l.Addr().String()
	qt.Assert(t, l.Close(), qt.IsNil)
	c := &common.Common{Logger: hclog.NewNullLogger(), Recorder: recorder.New(name, time.Now),
		Settings: settings.Node{Name: name, Zone: zone, ControlListen: address, Readers: 1, Heartbeat: time.Second,
			SuspectAfter: 3 * time.Second, DeadAfter: 2 * time.Second, RejoinInterval: 10 * time.Second,
			ReportInterval: 200 * time.Millisecond, Lease: time.Minute, JoinSpread: 500 * time.Millisecond},
		Checker: checker.New(checker.Config{Logger: hclog.NewNullLogger(),
			OnViolation: func(i checker.Invariant, detail string) {
				t.Errorf("%s: %s: %s", name, i, detail)
			}})}
	log := &fakeLog{store: store}
	k, err := New(Config{Common: c, Log: log, Reduce: reduceToRecord, Evidence: evidence,
		Publish: func(*router.Snapshot) {},
		Self: &schema.Member{Node: name, Incarnation: uint64(time.Now().UnixMilli()), Zone: zone,
			ControlAddress: address}})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(k.Close)
	return &meshNode{Controller: k, log: log}
}

// await polls a condition until it holds, and returns how long that took. It fails the test after bound.
func await(t *testing.T, bound time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	return awaitDescribed(t, bound, what, func() string { return "" }, holds)
}

// awaitDescribed is await with a description of the state for the failure. That also names the longest time between two polls, by which a
// test that got no processor time is told from a mesh that is slow.
func awaitDescribed(t *testing.T, bound time.Duration, what string, describe func() string, holds func() bool) time.Duration {
	t.Helper()
	const pause = 5 * time.Millisecond
	began := time.Now()
	var longest time.Duration
	for polled := began; !holds(); polled = time.Now() {
		if time.Since(began) > bound {
			t.Fatalf("not within %v: %s; up to %v between polls that are to be %v apart%s", bound, what, longest.Round(time.Millisecond), pause,
				describe())
		}
		time.Sleep(pause)
		longest = max(longest, time.Since(polled))
	}
	return time.Since(began)
}

// publish publishes a configuration that differs from earlier ones in the time-out of one route.
func (m *testMesh) publish(timeoutMs uint32) (position reducer.Position) {
	state := &schema.State{Services: []*schema.Service{{Name: "s", OpenVersions: true}}}
	for i := range testRoutes {
		state.Routes = append(state.Routes, &schema.Route{
			Name: fmt.Sprint("r", i), Service: "s", PathPrefix: fmt.Sprintf("/r%d/", i), TimeoutMs: 1000})
	}
	state.Routes[0].TimeoutMs = timeoutMs
	return m.store.publish(state)
}

// awaitPosition waits until the nodes have a position in force. It reads their routing snapshots, since a frozen node
// runs no commands.
func (m *testMesh) awaitPosition(t *testing.T, nodes []*meshNode, position reducer.Position) {
	t.Helper()
	awaitDescribed(t, inForceBound, fmt.Sprint("position ", position, " in force"), m.describeSnapshots, func() bool {
		return !slices.ContainsFunc(nodes, func(n *meshNode) bool { return n.Snapshot().Position < position })
	})
}

// partition returns the nodes that match and the others.
func (m *testMesh) partition(matches func(*meshNode) bool) (in, out []*meshNode) {
	for _, n := range m.nodes {
		if matches(n) {
			in = append(in, n)
		} else {
			out = append(out, n)
		}
	}
	return in, out
}

func isReading(n *meshNode) bool { return n.reader.active.Load() }

// freeze blocks the control goroutines of nodes until the test ends.
func freeze(t *testing.T, nodes []*meshNode) {
	t.Helper()
	unblock := make(chan struct{})
	t.Cleanup(func() { close(unblock) })
	for _, n := range nodes {
		n.commands <- func() { <-unblock }
	}
}

// awaitSteadyState publishes a first configuration and waits until only one node per zone reads the log.
func (m *testMesh) awaitSteadyState(t *testing.T) {
	t.Helper()
	m.awaitPosition(t, m.nodes, m.publish(1))
	awaitDescribed(t, 15*time.Second, "one reader per zone", m.describe, func() bool {
		readers, _ := m.partition(isReading)
		return len(readers) == testZones
	})
}

// TestFewNodesReadTheLog checks that the number of log reads per change depends on the zones and not on the nodes.
func TestFewNodesReadTheLog(t *testing.T) {
	t.Parallel()
	const changes = 5
	m := startMesh(t)
	m.awaitSteadyState(t)
	m.store.mu.Lock()
	before := m.store.reads
	m.store.mu.Unlock()
	began := time.Now()
	for i := range changes {
		m.awaitPosition(t, m.nodes, m.publish(uint32(i+10)))
	}
	waits := int(time.Since(began)/readWait) + 1
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	qt.Assert(t, m.store.reads-before <= testZones*(changes+waits), qt.IsTrue,
		qt.Commentf("%d reads", m.store.reads-before))
	qt.Assert(t, m.store.writes <= testZones*nodesPerZone, qt.IsTrue)
}

// TestReadersLoseTheLog disconnects every reader from the store: standbys take over, and all nodes have a change in
// force within the bound, the readers by way of their neighbours.
func TestReadersLoseTheLog(t *testing.T) {
	t.Parallel()
	m := startMesh(t)
	m.awaitSteadyState(t)
	readers, _ := m.partition(isReading)
	for _, n := range readers {
		n.log.unreachable.Store(true)
	}
	m.awaitPosition(t, m.nodes, m.publish(2))
}

// TestReadersFreeze blocks every reader: the other nodes have a change in force within the bound.
func TestReadersFreeze(t *testing.T) {
	t.Parallel()
	m := startMesh(t)
	m.awaitSteadyState(t)
	readers, others := m.partition(isReading)
	freeze(t, readers)
	m.awaitPosition(t, others, m.publish(2))
}

// TestZoneIsLost blocks all nodes of a zone: the other nodes have a change in force within the bound.
func TestZoneIsLost(t *testing.T) {
	t.Parallel()
	m := startMesh(t)
	m.awaitSteadyState(t)
	lost, others := m.partition(func(n *meshNode) bool { return n.common.Settings.Zone == "a" })
	freeze(t, lost)
	m.awaitPosition(t, others, m.publish(2))
}

// TestStoreRecovers disconnects all nodes from the store for a while: the change that follows is in force within the
// bound.
func TestStoreRecovers(t *testing.T) {
	t.Parallel()
	const outage = 4 * time.Second
	m := startMesh(t)
	m.awaitSteadyState(t)
	for _, n := range m.nodes {
		n.log.unreachable.Store(true)
	}
	time.Sleep(outage)
	for _, n := range m.nodes {
		n.log.unreachable.Store(false)
	}
	m.awaitPosition(t, m.nodes, m.publish(2))
}
