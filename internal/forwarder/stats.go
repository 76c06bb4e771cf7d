package forwarder

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Stats counts what happened to calls on this node.
type Stats struct {
	Entered      atomic.Uint64
	Relayed      atomic.Uint64
	Answered     atomic.Uint64
	Retries      atomic.Uint64
	Claims       atomic.Uint64
	KeyRepeats   atomic.Uint64
	Crashes      atomic.Uint64
	CrashRefused atomic.Uint64
	Cancelled    atomic.Uint64
	Cut          atomic.Uint64
	Malformed    atomic.Uint64
	// UpstreamRefused counts calls that the local upstream refused without running them.
	UpstreamRefused atomic.Uint64

	mu       sync.Mutex
	refusals map[string]uint64
}

func (s *Stats) refused(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusals == nil {
		s.refusals = map[string]uint64{}
	}
	s.refusals[reason]++
}

// Refusals returns the refused calls by reason.
func (s *Stats) Refusals() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.refusals)
}

// Stats returns the counters of the node's calls.
func (f *Forwarder) Stats() *Stats { return &f.stats }
