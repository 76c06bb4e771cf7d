// Package controller owns a node's control state: configuration, membership, overlay and rollouts.
//
// One goroutine runs the loop and is the only one that changes the state. Traffic reads
// the immutable router.Snapshot that the loop publishes.
package controller

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/registrar"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// snapshotsPerSecond bounds the state snapshots a node gives to others.
	snapshotsPerSecond = 16
	commandQueue       = 64
	// smallMesh is the number of members up to which duties are assigned at every tick.
	smallMesh = 64
	// ticksPerHeartbeat is how often the loop looks at its timers.
	ticksPerHeartbeat = 4
)

// EvidenceSource hands over what traffic has counted since the last call.
type EvidenceSource interface {
	TakeEvidence() []*schema.Report
}

// Config builds a Controller.
type Config struct {
	Common *common.Common
	Log    ConfigLog
	// Reduce applies the records of Log.
	Reduce   ReduceFunc
	Self     *schema.Member
	Evidence EvidenceSource
	Publish  func(*router.Snapshot)
}

// Controller is the control part of a node.
type Controller struct {
	config   Config
	common   *common.Common
	gossiper *gossiper.Gossiper
	commands chan func()
	stop     chan struct{}
	done     chan struct{}

	// What follows belongs to the loop.

	state *reducer.State
	// digest is that of state, computed once for each position.
	digest  uint64
	history history
	table   *registrar.Table
	links   map[*gossiper.Link]*linkState
	dialing map[string]time.Time
	// avoid holds the nodes that refused a link, with the time until which they are not asked.
	avoid map[string]time.Time
	lease lease
	// progress holds the merged progress of open rollouts by name.
	progress map[string]*schema.Progress
	trials   map[string]*trialState
	// heard holds when this node first heard of a rollout, by the version that declared it.
	heard   map[uint64]time.Time
	crashes map[uint64]*crashRecord
	start   startState
	duties  dutyState
	wanted  wantedLinks
	view    viewCache
	random  *rand.Rand
	// leaving tells that the node is unready for good, draining that its upstream takes no new work either.
	leaving  bool
	draining bool

	nextHeartbeat time.Time
	nextUpkeep    time.Time
	nextRevival   time.Time
	nextRejoin    time.Time
	// nextRefusalDial is when a refusal may lead to a dial again.
	nextRefusalDial time.Time
	snapshotLimit   *rate.Limiter
	lastCheckpoint  uint64
	// heartbeatDue asks for a heartbeat now.
	heartbeatDue bool
	// savedProgress is kept until the node is ready. It is empty from then on.
	savedProgress []*schema.Progress
	// joined is closed once the node is ready.
	joined chan struct{}

	reader *logReader
	// lag tells for how long neighbours have been ahead.
	lag lagWatch
	// news tells when the log was read last. A read counts once this node has applied what was there.
	news     freshness
	readDuty readDuty
	// patience is how long neighbours have to bring what this node lacks before it reads the log itself.
	patience time.Duration
	changes  reducer.Changes
	pulling  pullState
	appender *appender
	reporter *reporter

	current atomic.Pointer[router.Snapshot]
	hello   atomic.Pointer[schema.Hello]
}

// New starts the control goroutine and the overlay.
func New(c Config) (*Controller, error) {
	now := time.Now()
	k := &Controller{
		config:        c,
		common:        c.Common,
		commands:      make(chan func(), commandQueue),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
		state:         reducer.NewState(),
		table:         registrar.New(registrar.Config{Self: c.Self, DeadAfter: c.Common.Settings.DeadAfter}, now),
		links:         map[*gossiper.Link]*linkState{},
		dialing:       map[string]time.Time{},
		avoid:         map[string]time.Time{},
		progress:      map[string]*schema.Progress{},
		trials:        map[string]*trialState{},
		heard:         map[uint64]time.Time{},
		crashes:       map[uint64]*crashRecord{},
		random:        rand.New(rand.NewPCG(c.Self.Incarnation, 1)),
		snapshotLimit: rate.NewLimiter(snapshotsPerSecond, snapshotsPerSecond),
		nextRejoin:    now.Add(c.Common.Settings.RejoinInterval / 2),
		joined:        make(chan struct{}),
		patience:      pullGrace + randomUpTo(pullGrace),
	}
	k.digest = k.state.Digest()
	k.start = newStartState(now)
	k.publishHello()
	g, err := gossiper.New(gossiper.Config{Listen: c.Common.Settings.ControlListen, Clock: c.Common.Recorder.Clock(), Hello: k.hello.Load})
	if err != nil {
		return nil, err
	}
	k.gossiper = g
	k.reader = newLogReader(k)
	k.appender = newAppender(k)
	k.reporter = newReporter(k)
	k.view.dirtyAll = true
	k.publishView(now)
	go k.loop()
	go k.reader.run()
	go k.appender.run()
	go k.reporter.run()
	go (&joiner{controller: k}).run()
	return k, nil
}

// Snapshot returns the view in force.
func (k *Controller) Snapshot() *router.Snapshot { return k.current.Load() }

// Meter returns the overlay's byte counters.
func (k *Controller) Meter() *gossiper.Meter { return k.gossiper.Meter() }

// loop is the control goroutine.
func (k *Controller) loop() {
	defer close(k.done)
	ticker := time.NewTicker(k.common.Settings.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-k.stop:
			return
		case e := <-k.gossiper.Events():
			k.handleEvent(e)
		case command := <-k.commands:
			command()
		case <-ticker.C:
			k.tick(time.Now())
		}
		k.drainQueues()
		if k.heartbeatDue {
			k.sendHeartbeats(time.Now())
		}
		k.publishView(time.Now())
	}
}

// drainQueues handles what is already waiting, so that one view covers a burst of changes.
func (k *Controller) drainQueues() {
	const burst = 256
	for range burst {
		select {
		case e := <-k.gossiper.Events():
			k.handleEvent(e)
		case command := <-k.commands:
			command()
		default:
			return
		}
	}
}

// do runs a command on the control goroutine and waits for it. It reports false after the end.
func (k *Controller) do(command func()) bool {
	finished := make(chan struct{})
	wrapped := func() {
		command()
		close(finished)
	}
	select {
	case k.commands <- wrapped:
	case <-k.done:
		return false
	}
	select {
	case <-finished:
		return true
	case <-k.done:
		return false
	}
}

func (k *Controller) tick(now time.Time) {
	k.spreadMembers(nil, k.table.Tick(now)...)
	k.expireLease(now)
	k.checkLinks(now)
	if k.table.Len() <= smallMesh {
		k.assignDuties(now)
	}
	if !now.Before(k.nextHeartbeat) {
		k.sendHeartbeats(now)
	}
	if !now.Before(k.nextUpkeep) {
		k.nextUpkeep = now.Add(k.common.Settings.Heartbeat)
		k.chooseNeighbours(now)
		k.revive(now)
		k.assignDuties(now)
	}
	k.pullIfBehind(now)
	k.decideReading(now)
	k.decideRollouts(now)
	k.expireCrashes(now)
	k.checkStart(now)
	k.view.dirtyTime = true
}

// Leave makes the node unready, so that callers go elsewhere. It still takes calls.
func (k *Controller) Leave() {
	k.do(func() {
		k.leaving = true
		k.view.dirtyTime = true
	})
}

// Drain tells the mesh to send no more calls to the upstream beside this node, which has left before.
func (k *Controller) Drain() {
	k.do(func() {
		k.draining = true
		k.describeUpstream()
		k.record("node-draining", nil)
	})
}

// Close tells the mesh that the node has left and ends all parts.
func (k *Controller) Close() {
	const farewell = 200 * time.Millisecond
	k.do(func() {
		k.changeSelf(func(m *schema.Member) { m.Status = schema.MemberStatus_MEMBER_STATUS_LEFT })
	})
	time.Sleep(farewell)
	close(k.stop)
	<-k.done
	k.reader.close()
	k.appender.close()
	k.reporter.close()
	k.gossiper.Close()
}

// Done is closed when the control goroutine has ended.
func (k *Controller) Done() <-chan struct{} { return k.done }

func (k *Controller) changeSelf(change func(*schema.Member)) {
	if m := k.table.SetSelf(change, time.Now()); m != nil {
		k.publishHello()
		k.spreadMembers(nil, m)
	}
}

func (k *Controller) publishHello() {
	k.hello.Store(&schema.Hello{Protocol: gossiper.Protocol, Member: proto.CloneOf(k.table.Self()), Position: k.state.Position})
}

func (k *Controller) record(name string, fields map[string]string) {
	k.common.Recorder.Record(recorder.Event{Name: name, Fields: fields})
}

// frame returns an empty frame with the sender's time.
func (k *Controller) frame() *schema.Frame {
	s := k.common.Recorder.Clock().Tick()
	return &schema.Frame{Stamp: &schema.Stamp{UnixMs: s.UnixMs, Counter: s.Counter}}
}

// broadcast sends a frame to every neighbour but one.
func (k *Controller) broadcast(f *schema.Frame, except *gossiper.Link) {
	for l := range k.links {
		if l != except {
			l.Send(f)
		}
	}
}
