// Package controller owns a node's control state: configuration, membership, overlay and rollouts.
//
// Only the control goroutine changes this state. The data plane reads the immutable routing snapshots (router.Snapshot)
// that it publishes. A state snapshot (schema.Snapshot) is the whole configuration state, as neighbours send it.
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
	// stateSnapshotsPerSecond limits the state snapshots that a node sends to neighbours.
	stateSnapshotsPerSecond = 16
	commandQueueSize        = 64
	// smallMeshMembers is the number of members up to which duties are performed at every tick, and absent members are
	// redialled with every heartbeat.
	smallMeshMembers = 64
	// ticksPerHeartbeat is how often the control goroutine checks its timers per heartbeat interval.
	ticksPerHeartbeat = 4
)

// EvidenceSource returns the outcomes of calls that were counted since the last call of TakeEvidence.
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
	// Publish is called with every new routing snapshot: first by New, then on the control goroutine.
	Publish func(*router.Snapshot)
	// GrantTokens answers another node's request for tokens of customers' quotas. It must be safe for concurrent use.
	GrantTokens func(*schema.TokenRequest) *schema.TokenResponse
}

// Controller is the control plane of a node. Its exported methods may be called from any goroutine but
// the control goroutine.
type Controller struct {
	config   Config
	common   *common.Common
	gossiper *gossiper.Gossiper
	commands chan func()
	stop     chan struct{}
	done     chan struct{}

	// The fields below, up to the atomic ones at the end, are owned by the control goroutine.

	// state is passed to other goroutines only after its digest was computed, which caches a part in it.
	state *reducer.State
	// digest is the digest of state, computed once per position.
	digest  uint64
	history history
	table   *registrar.Table
	links   map[*gossiper.Link]*linkState
	// lastDials holds when an address was last dialled.
	lastDials map[string]time.Time
	// refusedUntil holds, for nodes that refused a link, until when they are not selected as neighbours.
	refusedUntil map[string]time.Time
	linkLosses   linkLosses
	lease        lease
	leaveRecord  leaveRecord
	confirmation confirmation
	// progress holds the merged progress of open rollouts, by name.
	progress map[string]*schema.Progress
	// controlled holds the rollouts that this node controls, by name.
	controlled map[string]*controlledRollout
	// epochKnownAt holds when this node learnt of the newest controller of a rollout, by the rollout's name.
	epochKnownAt map[string]time.Time
	// firstSeen holds when this node first saw a rollout, by the configuration version that declared it.
	firstSeen          map[uint64]time.Time
	crashes            map[uint64]*crashRecord
	evacuations        evacuations
	start              startState
	duties             dutyState
	neighbourSelection neighbourSelection
	snapshotCache      snapshotCache
	random             *rand.Rand
	// leaving is set once the node is permanently unready, draining once its upstream accepts no new work, either.
	leaving  bool
	draining bool

	nextHeartbeat time.Time
	// nextMaintenance is when neighbours are next maintained and absent members redialled.
	nextMaintenance time.Time
	nextRedial      time.Time
	memberSearch    memberSearch
	// nextRefusalDial is when dialAlternative may dial again.
	nextRefusalDial      time.Time
	stateSnapshotLimiter *rate.Limiter
	// lastCheckpoint is the position from which the records up to the next checkpoint are counted.
	lastCheckpoint reducer.Position
	// heartbeatDue requests a heartbeat at the end of the current iteration of the loop.
	heartbeatDue bool
	// heldProgress holds progress of orders that are not in the state in force, but may be in a later one. There is at most
	// one for each target.
	heldProgress    map[orderTarget]*schema.Progress
	missingOutcomes missingOutcomes
	// readyCh is closed once the node is ready.
	readyCh chan struct{}

	reader   *logReader
	eraWatch eraWatch
	// lagTracker measures for how long this node has been behind its neighbours.
	lagTracker lagTracker
	// freshness is the newest known read of the log by any node. A read counts once this node has applied its
	// records.
	freshness  logFreshness
	readerRole readerRole
	// lagTolerance is how long neighbours may take to send what this node lacks before it reads the log itself.
	lagTolerance time.Duration
	// changes tracks at which position each part of the state last changed, for the deltas that answer pulls.
	changes     reducer.Changes
	pendingPull pendingPull
	appender    *appender
	reporter    *reporter

	// currentSnapshot is the routing snapshot in force.
	currentSnapshot atomic.Pointer[router.Snapshot]
	// hello is the message that is sent first on a new link.
	hello atomic.Pointer[schema.Hello]
}

// New starts the control goroutine and the overlay.
func New(c Config) (*Controller, error) {
	now := time.Now()
	k := &Controller{
		config:               c,
		common:               c.Common,
		commands:             make(chan func(), commandQueueSize),
		stop:                 make(chan struct{}),
		done:                 make(chan struct{}),
		state:                reducer.NewState(),
		table:                registrar.New(registrar.Config{Self: c.Self, DeadAfter: c.Common.Settings.DeadAfter}, now),
		links:                map[*gossiper.Link]*linkState{},
		lastDials:            map[string]time.Time{},
		refusedUntil:         map[string]time.Time{},
		progress:             map[string]*schema.Progress{},
		heldProgress:         map[orderTarget]*schema.Progress{},
		controlled:           map[string]*controlledRollout{},
		epochKnownAt:         map[string]time.Time{},
		firstSeen:            map[uint64]time.Time{},
		crashes:              map[uint64]*crashRecord{},
		evacuations:          evacuations{},
		random:               rand.New(rand.NewPCG(c.Self.Incarnation, 1)),
		stateSnapshotLimiter: rate.NewLimiter(stateSnapshotsPerSecond, stateSnapshotsPerSecond),
		memberSearch: memberSearch{interval: c.Common.Settings.RejoinInterval,
			next: now.Add(c.Common.Settings.RejoinInterval / 2)},
		readyCh:      make(chan struct{}),
		lagTolerance: pullGrace + randomUpTo(pullGrace),
		confirmation: newConfirmation(c.Common.Settings, now),
	}
	k.eraWatch.logger = c.Common.Logger
	k.digest = k.state.Digest()
	k.start = newStartState(now)
	k.publishHello()
	g, err := gossiper.New(gossiper.Config{
		Listen: c.Common.Settings.ControlListen, Logger: c.Common.Logger, Clock: c.Common.Recorder.Clock(), Hello: k.hello.Load,
		GrantTokens: c.GrantTokens})
	if err != nil {
		return nil, err
	}
	k.gossiper = g
	k.reader = newLogReader(k)
	k.appender = newAppender(k)
	k.reporter = newReporter(k)
	k.snapshotCache.dirtyAll = true
	k.publishSnapshot(now)
	go k.loop()
	go k.reader.run()
	go k.appender.run()
	go k.reporter.run()
	go (&joiner{controller: k}).run()
	time.AfterFunc(provisionalTime, k.endProvisionalLease)
	return k, nil
}

// Snapshot returns the routing snapshot in force.
func (k *Controller) Snapshot() *router.Snapshot { return k.currentSnapshot.Load() }

// Meter returns the overlay's byte counters.
func (k *Controller) Meter() *gossiper.Meter { return k.gossiper.Meter() }

// loop is the control goroutine. It ends when stop is closed.
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
		k.handleQueued()
		if k.heartbeatDue {
			k.sendHeartbeats(time.Now())
		}
		k.publishSnapshot(time.Now())
	}
}

// handleQueued handles a bounded number of waiting events and commands, so that a burst of changes results in a single
// routing snapshot.
func (k *Controller) handleQueued() {
	const maxBatch = 256
	for range maxBatch {
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

// do runs a command on the control goroutine and waits for it. It returns false if the goroutine has ended.
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

// tick runs the periodic work: heartbeats, leases, links, duties, rollouts and readiness.
func (k *Controller) tick(now time.Time) {
	k.broadcastMembers(nil, k.table.Tick(now)...)
	k.expireLease(now)
	k.checkLinks(now)
	if k.table.Len() <= smallMeshMembers {
		k.performDuties(now)
	}
	if !now.Before(k.nextHeartbeat) {
		k.sendHeartbeats(now)
	}
	if !now.Before(k.nextMaintenance) {
		k.nextMaintenance = now.Add(k.common.Settings.Heartbeat)
		k.maintainNeighbours(now)
		k.redialAbsent(now)
		k.performDuties(now)
		k.writeLeave()
	}
	k.pullIfBehind(now)
	k.updateLogReader(now)
	k.evaluateRollouts(now)
	k.expireCrashes(now)
	k.updateReadiness(now)
	k.snapshotCache.dirtyStatus = true
}

// Leave makes the node permanently unready, so that callers choose other nodes. It still serves calls.
func (k *Controller) Leave() {
	k.do(func() {
		k.leaving = true
		k.snapshotCache.dirtyStatus = true
	})
}

// Drain tells the mesh to send no more calls to the local upstream. It is called after Leave.
func (k *Controller) Drain() {
	k.do(func() {
		k.draining = true
		k.updateSelfFromLease()
		k.recordEvent("node-draining", nil)
	})
}

// Close tells the mesh that the node has left, and stops the control goroutine, the log reader and writer, the reporter
// and the overlay. It must be called only once.
func (k *Controller) Close() {
	const leavePropagation = 200 * time.Millisecond
	k.do(func() {
		k.updateSelf(func(m *schema.Member) { m.Status = schema.MemberStatus_MEMBER_STATUS_LEFT })
	})
	time.Sleep(leavePropagation)
	close(k.stop)
	<-k.done
	k.reader.close()
	k.appender.close()
	k.reporter.close()
	k.gossiper.Close()
}

// Done is closed when the control goroutine has ended.
func (k *Controller) Done() <-chan struct{} { return k.done }

// updateSelf changes this node's own member and broadcasts it if it differs.
func (k *Controller) updateSelf(change func(*schema.Member)) {
	if m := k.table.SetSelf(change, time.Now()); m != nil {
		k.publishHello()
		k.broadcastMembers(nil, m)
	}
}

// publishHello updates the Hello message that is sent on new links.
func (k *Controller) publishHello() {
	k.hello.Store(&schema.Hello{
		Protocol: gossiper.Protocol, Member: proto.CloneOf(k.table.Self()), Position: uint64(k.state.Position),
		Inherited: k.state.Inherited.Encode(), Revision: k.state.Revision, TakesEras: true})
}

// recordEvent adds an event to the node's timeline.
func (k *Controller) recordEvent(name string, fields map[string]string) {
	k.common.Recorder.Record(recorder.Event{Name: name, Fields: fields})
}

// frame returns an empty frame stamped by this node's clock.
func (k *Controller) frame() *schema.Frame {
	s := k.common.Recorder.Clock().Tick()
	return &schema.Frame{Stamp: &schema.Stamp{UnixMs: s.UnixMs, Counter: s.Counter}}
}

// broadcast sends a frame to every neighbour except one, which may be nil.
func (k *Controller) broadcast(f *schema.Frame, except *gossiper.Link) {
	for l := range k.links {
		if l != except {
			l.Send(f)
		}
	}
}

// RequestTokens asks the node at a control address for tokens of customers' quotas.
func (k *Controller) RequestTokens(address string, r *schema.TokenRequest) (*schema.TokenResponse, error) {
	return k.gossiper.AskTokens(address, r)
}
