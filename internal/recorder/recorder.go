// Package recorder keeps a bounded time line of events, stamped by a hybrid logical clock.
package recorder

import (
	"sync"
	"time"
)

// Capacity bounds the remembered events of one process.
const Capacity = 4096

// Event is one entry of the time line.
type Event struct {
	// Stamp orders events of all processes causally.
	Stamp   Stamp             `json:"stamp"`
	Node    string            `json:"node"`
	Name    string            `json:"event"`
	Service string            `json:"service,omitempty"`
	Route   string            `json:"route,omitempty"`
	Rollout string            `json:"rollout,omitempty"`
	Fields  map[string]string `json:"fields,omitempty"`
}

// Recorder is a ring of events. Its methods are safe for concurrent use.
type Recorder struct {
	node  string
	clock *Clock

	mu sync.Mutex
	// ring holds the newest Capacity events; next is the slot to overwrite.
	ring []Event
	next int
}

// New returns a Recorder for one process.
func New(node string, now func() time.Time) *Recorder {
	return &Recorder{node: node, clock: &Clock{now: now}, ring: make([]Event, 0, 64)}
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record stamps and keeps an event.
func (r *Recorder) Record(e Event) {
	e.Node = r.node
	e.Stamp = r.clock.Tick()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < Capacity {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % Capacity
}

// Events returns the kept events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.ring))
	events = append(events, r.ring[r.next:]...)
	return append(events, r.ring[:r.next]...)
}
