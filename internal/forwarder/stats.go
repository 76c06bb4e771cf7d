package forwarder

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Stats holds the counters of the calls on this node. It is safe for concurrent use.
type Stats struct {
	// Entered counts calls that entered the mesh at this node.
	Entered atomic.Uint64
	// Relayed counts calls received from other nodes, those with an idempotency key for its owner included.
	Relayed atomic.Uint64
	// Answered counts complete responses of the local upstream.
	Answered atomic.Uint64
	// Retries counts repeated attempts that were charged to a retry budget.
	Retries atomic.Uint64
	// Claims counts requests for the outcome of an attempt.
	Claims atomic.Uint64
	// KeyRepeats counts calls, at the owner of their idempotency key, that repeat the key of an earlier call.
	KeyRepeats atomic.Uint64
	// Crashes counts crashes of the local upstream.
	Crashes atomic.Uint64
	// CrashRefused counts calls from callers that were refused because similar ones crashed upstreams.
	CrashRefused atomic.Uint64
	// Cancelled counts calls that were cancelled because their caller had left.
	Cancelled atomic.Uint64
	// Cut counts responses that were aborted because they could not be completed.
	Cut atomic.Uint64
	// Malformed counts connections closed because of a request that was malformed or too large.
	Malformed atomic.Uint64
	// UpstreamRefused counts calls that the local upstream refused without running them.
	UpstreamRefused atomic.Uint64
	// UpstreamMalformed counts connections to the local upstream that were closed because of input that was no response to
	// their call.
	UpstreamMalformed atomic.Uint64
	// UpstreamStale counts discarded responses of the local upstream to another call.
	UpstreamStale atomic.Uint64
	// Sent counts calls sent to the local upstream, repeated ones included.
	Sent atomic.Uint64
	// TokenRequestsSent, TokenRequestsFailed and TokenRequestsServed count requests for tokens of customers' quotas: those sent
	// to other nodes, those of them without an answer, and those answered for this node and others.
	TokenRequestsSent   atomic.Uint64
	TokenRequestsFailed atomic.Uint64
	TokenRequestsServed atomic.Uint64
	// QuotaGroupsAlone is the number of groups of customers whose quotas this node enforces by its own share, because no
	// granter can be reached.
	QuotaGroupsAlone atomic.Int64
	// SentInZone and SentAcross count calls sent to the nodes of this availability zone and of others, for whatever they
	// respond.
	SentInZone atomic.Uint64
	SentAcross atomic.Uint64
	// WindowClosed counts how often the pace of the local upstream closed its window by a call or more.
	WindowClosed atomic.Uint64
	// window is the number of calls that the local upstream may run at once.
	window atomic.Int64
	// rateLimit holds the bits of the local upstream's rate limit, a float64.
	rateLimit atomic.Uint64
	// lag holds how late the event loop handles events, in nanoseconds.
	lag atomic.Int64

	mu sync.Mutex
	// refusals counts refused calls by reason.
	refusals map[string]uint64
}

// recordSent counts a call that is sent to another node.
func (s *Stats) recordSent(inZone bool) {
	if inZone {
		s.SentInZone.Add(1)
	} else {
		s.SentAcross.Add(1)
	}
}

func (s *Stats) recordRefusal(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusals == nil {
		s.refusals = map[string]uint64{}
	}
	s.refusals[reason]++
}

// setRateLimit records the rate limit that the local upstream states, in calls per second; 0 if it states none.
func (s *Stats) setRateLimit(perSecond float64) { s.rateLimit.Store(math.Float64bits(perSecond)) }

// RateLimit returns the rate limit that the local upstream states, in calls per second, or 0 if it states none.
func (s *Stats) RateLimit() float64 { return math.Float64frombits(s.rateLimit.Load()) }

func (s *Stats) setLag(lag time.Duration) { s.lag.Store(int64(lag)) }

// Lag returns how late the event loop handles events.
func (s *Stats) Lag() time.Duration { return time.Duration(s.lag.Load()) }

// Window returns the number of calls that the local upstream may run at once.
func (s *Stats) Window() int64 { return s.window.Load() }

// Refusals returns the number of refused calls by reason.
func (s *Stats) Refusals() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.refusals)
}

// Stats returns the counters, which remain in use by the forwarder.
func (f *Forwarder) Stats() *Stats { return &f.stats }
