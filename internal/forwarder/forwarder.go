// Package forwarder carries calls: from a caller to the node beside the chosen upstream, to the upstream and back.
//
// The poller's loop runs all connections; timers and the control goroutine join it
// under one lock. HTTP is parsed by nbhttp's parser, and long bodies stream.
package forwarder

import (
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
)

const (
	readBufferBytes = 64 << 10
	// peerConnections bounds the connections to one other node.
	peerConnections = 256
	// defaultQueueLength serves where the preset gives none.
	defaultQueueLength = 64
	sweepInterval      = time.Second
	// leaveMargin is the time between the last answers of a node that leaves and its end.
	leaveMargin     = 200 * time.Millisecond
	bytesPerMegabit = 1e6 / 8
	// payloadShare is the part of a link's bandwidth that is left beside packet headers and acknowledgements.
	payloadShare = 0.92
)

// Config builds a Forwarder.
type Config struct {
	Common *common.Common
	// ReportCrash is told the fingerprints of the requests during which the local upstream crashed.
	ReportCrash func([]uint64)
	// Dialect names the headers of the deployment.
	Dialect Dialect
	// Service is the service on whose VM this node runs, if it is known beforehand.
	Service string
	// Process is the random identity of this process, by which other nodes recognise it.
	Process uint64
}

// Forwarder carries the calls of one node.
type Forwarder struct {
	config Config
	common *common.Common
	poller *poller.Poller
	stop   chan struct{}
	done   chan struct{}
	// acceptors take the connections of callers and of other nodes.
	acceptors [2]*acceptor
	view      atomic.Pointer[router.Snapshot]
	stats     Stats

	// mu guards everything below and every connection and call.
	mu       sync.Mutex
	buffer   []byte
	random   *rand.Rand
	balancer balancer.Balancer
	callers  map[*serverConn]struct{}
	pools    map[string]*pool
	local    localState
	admitter admitter.Admitter[*exchange]
	link     admitter.Link
	egress   egress
	calls    map[*exchange]struct{}
	ids      *ledger
	keys     *ledger
	budgets  map[budgetKey]*budgeter.Budget
	samplers map[string]*sampler
	evidence map[evidenceKey]*evidenceCount
	crashes  crashWatch
	transit  transitClock
	callLog  callLog
	// answerBytes holds the mean length of answers by route.
	answerBytes map[string]float64
	nextID      uint64
	// sender names this process to other nodes.
	sender   string
	draining bool
	// leaveBy is when calls have to be answered since this node leaves; zero if it stays.
	leaveBy time.Time
	// starvedAt is when a call that entered here was last turned away.
	starvedAt time.Time
}

// New listens and starts the poller.
func New(c Config) (*Forwarder, error) {
	if c.Dialect == (Dialect{}) {
		c.Dialect = OwnDialect()
	}
	f := &Forwarder{
		config:      c,
		common:      c.Common,
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
		buffer:      make([]byte, readBufferBytes),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		callers:     map[*serverConn]struct{}{},
		pools:       map[string]*pool{},
		calls:       map[*exchange]struct{}{},
		ids:         newLedger(maxIDs),
		keys:        newLedger(maxKeys),
		budgets:     map[budgetKey]*budgeter.Budget{},
		samplers:    map[string]*sampler{},
		evidence:    map[evidenceKey]*evidenceCount{},
		callLog:     newCallLog(),
		answerBytes: map[string]float64{},
		transit:     transitClock{fastest: map[string]time.Duration{}},
	}
	f.link.BytesPerSecond = c.Common.Settings.LinkMbps * bytesPerMegabit * payloadShare
	f.egress = egress{forwarder: f, link: &f.link}
	f.balancer = balancer.Balancer{Zone: c.Common.Settings.Zone, Random: f.random}
	f.nextID = f.random.Uint64()
	f.sender = c.Common.Settings.Name + "/" + strconv.FormatUint(f.random.Uint64(), 36)
	f.view.Store(&router.Snapshot{Reason: "starting"})
	if err := f.listen(); err != nil {
		f.closeListeners()
		return nil, err
	}
	go f.run()
	return f, nil
}

// listen starts the poller and accepts on both call addresses.
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
	for _, a := range f.acceptors {
		go a.run()
	}
	return nil
}

// Addresses returns the addresses listened on for callers and for other nodes.
func (f *Forwarder) Addresses() (callers, peers string) {
	return f.acceptors[0].listener.Addr().String(), f.acceptors[1].listener.Addr().String()
}

// closeListeners refuses new connections.
func (f *Forwarder) closeListeners() {
	for _, a := range f.acceptors {
		if a != nil {
			_ = a.listener.Close()
		}
	}
}

// onClose is called by the poller on a goroutine of its own.
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

// Publish puts a new view in force for calls that begin after it.
func (f *Forwarder) Publish(view *router.Snapshot) {
	f.view.Store(view)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateLocal(view)
	if view.Leaving && f.leaveBy.IsZero() {
		s := f.common.Settings
		f.leaveBy = time.Now().Add(s.LeaveDelay + s.DrainTimeout - leaveMargin)
	}
	for _, b := range f.budgets {
		b.Resize(view.Members)
	}
}

// run sweeps idle connections and old entries until Close.
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
	for s := range f.callers {
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
}

// newID returns an identity that no other call has: a random start, then a counter.
func (f *Forwarder) newID() uint64 {
	f.nextID++
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], f.nextID)
	return binary.BigEndian.Uint64(b[:])
}

// Drain ends the listeners and waits until no call is left, at most until the timeout.
// Callers are told to close their connections with their next answers. It reports whether all calls ended.
func (f *Forwarder) Drain(timeout time.Duration) bool {
	const pollInterval = 20 * time.Millisecond
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.closeListeners()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if f.closeIdle(time.Now()) {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// closeIdle ends the connections that have been idle for a while, and reports whether all have ended.
func (f *Forwarder) closeIdle(now time.Time) bool {
	const minIdle = 300 * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.callers {
		if s.idle() && now.Sub(s.lastUse()) >= minIdle {
			s.conn.closeWhenSent()
		}
	}
	return len(f.callers) == 0 && len(f.calls) == 0
}

// Close ends all parts at once.
func (f *Forwarder) Close() {
	f.closeListeners()
	close(f.stop)
	<-f.done
	for _, a := range f.acceptors {
		<-a.done
	}
	go (&pollerStopper{poller: f.poller}).run()
}

// pollerStopper ends a poller beside its owner, since the poller waits for every connection's last callback.
type pollerStopper struct {
	poller *poller.Poller
}

func (s *pollerStopper) run() { s.poller.Stop() }
