package balancer

import "time"

// Endpoint is one upstream with the node beside it. It is immutable but for Load.
type Endpoint struct {
	Node        string
	Incarnation uint64
	// Process is the identity of the node's process.
	Process uint64
	Zone    string
	Service string
	Version string
	// PeerAddress takes calls from other nodes, ControlAddress takes reports.
	PeerAddress    string
	ControlAddress string
	Slots          uint32
	// WarmAt is the end of the upstream's cold start.
	WarmAt time.Time
	// Suspect tells that a neighbour of the node misses its heartbeats.
	Suspect bool
	// Load is what this node sees of the endpoint. It outlives changes of the other fields.
	Load *Load
}
