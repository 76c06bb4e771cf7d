// Package forwarder is the HTTP data plane. The node that a caller connects to forwards the call to the node beside the
// chosen upstream, and that node to the upstream. The response takes the same path back.
//
// The poller's loop drives all connections. Its read and close callbacks, timers and the control goroutine run under
// Forwarder.mu. nbhttp's parser parses HTTP; long bodies are streamed.
package forwarder

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/budgeter"
	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/poller"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/internal/throttler"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	readBufferBytes = 64 << 10
	// peerConnections bounds the connections to one other node.
	peerConnections = 256
	// defaultQueueLength applies if the preset sets no queue length.
	defaultQueueLength = 64
	sweepInterval      = time.Second
	// leaveMargin is how long before a leaving node exits its last responses are due.
	leaveMargin = 200 * time.Millisecond
	// upstreamMargin is how much sooner the deadline is that the upstream of a leaving node gets with a call that ends with the
	// node: calls that the upstream makes meanwhile expire with it, and must not outlast the node by their transit.
	upstreamMargin  = 100 * time.Millisecond
	bytesPerMegabit = 1e6 / 8
	// payloadShare is the share of the link's bandwidth left for payload after packet headers and acknowledgements.
	payloadShare = 0.92
)

// Config holds the parameters of New.
type Config struct {
	Common *common.Common
	// ReportCrash is called after the local upstream has crashed, with the fingerprints of the requests that may have
	// caused it.
	ReportCrash func([]uint64)
	// ReportDraining is called after the local upstream has stated that it is draining. It may be nil.
	ReportDraining func(balancer.Incarnation)
	// RequestTokens asks the node at a control address for tokens of customers' quotas. It is only called where the
	// configuration has quotas.
	RequestTokens func(address string, r *schema.TokenRequest) (*schema.TokenResponse, error)
	// Dialect names the deployment's headers. Without TimeLeft, it stands for OwnDialect.
	Dialect Dialect
	// Service is the service on whose VM this node runs, or empty if it is not known.
	Service string
	// Process is a random ID of this process, by which other nodes tell it from earlier processes of the node.
	Process uint64
}

// Forwarder forwards the calls of one node. Its methods are safe for concurrent use.
type Forwarder struct {
	config Config
	common *common.Common
	poller *poller.Poller
	stop   chan struct{}
	done   chan struct{}
	// acceptors accept the connections of callers (index 0) and of other nodes (index 1).
	acceptors [2]*acceptor
	// place is this node's own place, as other nodes know it.
	place place
	// snapshot is the routing snapshot for calls that start now. A call keeps the one it started with.
	snapshot atomic.Pointer[router.Snapshot]
	stats    Stats
	// unregistered counts the accepted connections that the poller has not registered yet.
	unregistered atomic.Int64

	// mu guards the fields below and the state of all connections and calls.
	mu sync.Mutex
	// readBuffer receives the input of all connections, one read at a time.
	readBuffer []byte
	random     *rand.Rand
	balancer   balancer.Balancer
	// serverConns holds all accepted connections, those of other nodes included.
	serverConns map[*serverConn]struct{}
	// pools holds the outgoing connections by address.
	pools    map[string]*pool
	local    localState
	admitter admitter.Admitter[*exchange]
	link     admitter.Link
	// peerConditions holds the conditions of upstreams beside other nodes that limit their use, by node name.
	peerConditions map[string]*peerCondition
	egress         egress
	quotas         quotas
	// calls holds the calls that have started and not ended.
	calls map[*exchange]struct{}
	// ids remembers the calls sent here by other nodes, and keys those with an idempotency key.
	ids      *dedupTable
	keys     *dedupTable
	budgets  map[budgetKey]*budgeter.Budget
	samplers map[string]*sampler
	evidence map[evidenceKey]*evidenceCount
	// throttler refuses calls that enter the mesh here, and occupancies tells which services are full.
	throttler   throttler.Throttler
	occupancies map[occupancyKey]throttler.Occupancy
	// lag is how late the event loop handles events.
	lag throttler.Lag
	// patience holds the time limits that callers begin with, by route.
	patience  map[string]*throttler.Patience
	lagProber *lagProber
	crashes   crashDetector
	transit   transitEstimator
	callLog   callLog
	// responseBytes holds the mean length of responses, in bytes, by route.
	responseBytes map[string]float64
	// callWeights holds the service time of calls by route, as a multiple of the mean of their service.
	callWeights weights
	// overflows holds how often other zones had room for calls, by service. Services that routes no longer name stay in it.
	overflows map[string]*balancer.Overflow
	nextID    uint64
	// sender identifies this process in headerSender and headerOwner: the node's name and a random suffix.
	sender   string
	draining bool
	// leaveDeadline is when the calls of a leaving node must have been answered; zero if the node is not leaving.
	leaveDeadline time.Time
	// starvedAt is when a call that entered the mesh here was last refused; see recordStarved.
	starvedAt time.Time
}

// New listens on the addresses of the settings and starts to serve. Until Publish is called, calls are refused.
func New(c Config) (*Forwarder, error) {
	if c.Dialect.TimeLeft == "" {
		c.Dialect = OwnDialect()
	}
	f := &Forwarder{
		config:         c,
		common:         c.Common,
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
		readBuffer:     make([]byte, readBufferBytes),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		serverConns:    map[*serverConn]struct{}{},
		pools:          map[string]*pool{},
		peerConditions: map[string]*peerCondition{},
		calls:          map[*exchange]struct{}{},
		ids:            newDedupTable(maxTrackedIDs),
		keys:           newDedupTable(maxTrackedKeys),
		budgets:        map[budgetKey]*budgeter.Budget{},
		samplers:       map[string]*sampler{},
		evidence:       map[evidenceKey]*evidenceCount{},
		occupancies:    map[occupancyKey]throttler.Occupancy{},
		patience:       map[string]*throttler.Patience{},
		callLog:        newCallLog(),
		responseBytes:  map[string]float64{},
		overflows:      map[string]*balancer.Overflow{},
		transit:        transitEstimator{fastest: map[string]time.Duration{}},
	}
	f.link.BytesPerSecond = c.Common.Settings.LinkMbps * bytesPerMegabit * payloadShare
	f.egress = egress{forwarder: f, link: &f.link}
	f.quotas = newQuotas(f)
	f.balancer = balancer.Balancer{Zone: c.Common.Settings.Zone, Random: f.random}
	f.nextID = f.random.Uint64()
	f.sender = c.Common.Settings.Name + "/" + strconv.FormatUint(f.random.Uint64(), 36)
	f.snapshot.Store(&router.Snapshot{Reason: "starting"})
	if err := f.listen(); err != nil {
		f.closeListeners()
		return nil, err
	}
	f.lagProber = &lagProber{forwarder: f, done: make(chan struct{})}
	go f.run()
	go f.lagProber.run()
	return f, nil
}

// listen starts the poller and the acceptors of both call addresses.
func (f *Forwarder) listen() error {
	var err error
	f.poller, err = poller.New(poller.Config{OnClose: f.onClose, OnRead: f.onRead, OnWritten: onWritten})
	if err != nil {
		return &Error{Operation: "listen", Kind: KindListen, Detail: err.Error()}
	}
	for i, address := range []string{f.common.Settings.Listen, f.common.Settings.PeerListen} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return &Error{Operation: "listen", Kind: KindListen, Detail: err.Error()}
		}
		f.acceptors[i] = &acceptor{forwarder: f, listener: l, fromPeers: i == 1, done: make(chan struct{})}
	}
	_, peers := f.Addresses()
	f.place = place(cmp.Or(f.common.Settings.PeerAdvertise, peers))
	for _, a := range f.acceptors {
		go a.run()
	}
	return nil
}

// Addresses returns the listening addresses for callers and for other nodes.
func (f *Forwarder) Addresses() (callers, peers string) {
	return f.acceptors[0].listener.Addr().String(), f.acceptors[1].listener.Addr().String()
}

// closeListeners stops accepting connections.
func (f *Forwarder) closeListeners() {
	for _, a := range f.acceptors {
		if a != nil {
			_ = a.listener.Close()
		}
	}
}

// closeCallerListener stops accepting connections of callers.
func (f *Forwarder) closeCallerListener() { f.acceptors[0].close() }

// onClose is called by the poller on a separate goroutine.
func (f *Forwarder) onClose(c *nbio.Conn, err error) {
	if n, ok := c.Session().(*conn); ok {
		f.mu.Lock()
		defer f.mu.Unlock()
		n.closeWith(err)
	}
}

func (f *Forwarder) onRead(c *nbio.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := c.Session().(*conn); ok {
		n.read()
	}
}

func onWritten(c *nbio.Conn, count int) {
	if n, ok := c.Session().(*conn); ok {
		n.written(count)
	}
}

// Publish installs a routing snapshot, which applies to calls that start afterwards.
func (f *Forwarder) Publish(snapshot *router.Snapshot) {
	f.snapshot.Store(snapshot)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateLocal(snapshot)
	f.quotas.update(snapshot, time.Now())
	if snapshot.Leaving && f.leaveDeadline.IsZero() {
		f.leave()
	}
	for _, b := range f.budgets {
		b.Resize(snapshot.MemberCount)
	}
}

// run closes idle connections and removes expired entries at intervals until Close.
func (f *Forwarder) run() {
	defer close(f.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case now := <-ticker.C:
			f.sweep(now)
		}
	}
}

func (f *Forwarder) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.serverConns {
		s.sweep(now)
	}
	for address, p := range f.pools {
		p.sweep(now)
		if p.unused() {
			delete(f.pools, address)
		}
	}
	f.ids.sweep(now)
	f.keys.sweep(now)
	f.crashes.sweep(now)
	f.sweepPeerConditions(now)
}

// newID returns an ID that no other attempt has. IDs are a counter from a random start, with its bytes reversed.
func (f *Forwarder) newID() uint64 {
	f.nextID++
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], f.nextID)
	return binary.BigEndian.Uint64(b[:])
}

// Close stops the forwarder without waiting for calls. It waits for its own goroutines, but not for the poller.
func (f *Forwarder) Close() {
	f.closeListeners()
	close(f.stop)
	<-f.done
	f.quotas.close()
	<-f.lagProber.done
	for _, a := range f.acceptors {
		<-a.done
	}
	go (&pollerStopper{poller: f.poller}).run()
}

// pollerStopper stops a poller on a separate goroutine, since Stop blocks until every connection's last callback.
type pollerStopper struct {
	poller *poller.Poller
}

func (s *pollerStopper) run() { s.poller.Stop() }
