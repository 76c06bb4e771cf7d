package balancer

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one run of an upstream. An upstream may start again under the same instance name.
type Incarnation struct {
	Instance string
	// StartedUnixMs is when the run began, by the upstream's own clock in Unix milliseconds, or 0 if it is not known.
	StartedUnixMs int64
}

// Key returns a hash of the incarnation by which nodes refer to it.
func (i Incarnation) Key() uint64 {
	return xxhash.Sum64String(i.Instance + "\x00" + strconv.FormatInt(i.StartedUnixMs, 10))
}

// Endpoint is one upstream and the node that runs beside it. It is immutable except for Load.
type Endpoint struct {
	Node        string
	Incarnation uint64
	// Process is the random identity of the node's process.
	Process uint64
	Zone    string
	Service string
	Version string
	// PeerAddress accepts calls from other nodes, ControlAddress accepts their reports.
	PeerAddress    string
	ControlAddress string
	Slots          uint32
	// Upstream is the incarnation that the endpoint's node announces; it is the zero value if that is not known.
	Upstream Incarnation
	// WarmAt is the end of the upstream's cold start.
	WarmAt time.Time
	// Suspect means that a neighbour of the node has missed its heartbeats.
	Suspect bool
	// Load is this node's measurement of the endpoint. All Endpoints of the same node and incarnation share it, so that
	// it is kept when the other fields change.
	Load *Load
}
