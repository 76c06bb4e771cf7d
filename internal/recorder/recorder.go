// Package recorder keeps a bounded timeline of events with timestamps of a hybrid logical clock.
package recorder

import (
	"sync"
	"time"
)

// Capacity is the maximum number of events that a Recorder keeps.
const Capacity = 4096

// Event is one entry of the timeline.
type Event struct {
	// Stamp orders the events of all processes consistently with causality. Record sets it.
	Stamp Stamp `json:"stamp"`
	// Node is the node that recorded the event. Record sets it.
	Node    string            `json:"node"`
	Name    string            `json:"event"`
	Service string            `json:"service,omitempty"`
	Route   string            `json:"route,omitempty"`
	Rollout string            `json:"rollout,omitempty"`
	Fields  map[string]string `json:"fields,omitempty"`
}

// Recorder is a ring buffer of events. Its methods are safe for concurrent use.
type Recorder struct {
	node  string
	clock *Clock

	mu sync.Mutex
	// ring holds the newest Capacity events. Once it is full, next is the index of the oldest, which the next event
	// overwrites.
	ring []Event
	next int
}

// New returns a Recorder for the process of a node. now is the wall clock.
func New(node string, now func() time.Time) *Recorder {
	return &Recorder{node: node, clock: &Clock{now: now}, ring: make([]Event, 0, 64)}
}

// Clock returns the clock that timestamps the events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record adds an event to the timeline, with its node and timestamp set. It overwrites the oldest event if Capacity is
// reached.
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

// Events returns a copy of the kept events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.ring))
	events = append(events, r.ring[r.next:]...)
	return append(events, r.ring[:r.next]...)
}
