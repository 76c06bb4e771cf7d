package returner

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/internal/settings"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
	"github.com/tamarackpitch/tamarackpitch/platform"
	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// storeTimeout bounds a call to the store, beside the time that a read waits for records.
const storeTimeout = time.Second

// node is a controller with its own connection to the store.
type node struct {
	*controller.Controller
	name  string
	zone  string
	store *standin.Meter
}

// nodeConfig builds a node.
type nodeConfig struct {
	name     string
	zone     string
	address  string
	storeURL string
	store    *standin.Meter
	logger   hclog.Logger
	// onViolation is called for each violated invariant.
	onViolation func(checker.Invariant, string)
}

// newNode starts a node with the settings that it has on the users' platform.
func newNode(c nodeConfig) (*node, error) {
	logger := c.logger.Named(c.name)
	client := platform.NewStore(platform.StoreConfig{URL: c.storeURL, Requester: requester.New(), Timeout: storeTimeout, Logger: logger})
	k, err := controller.New(controller.Config{
		Common: &common.Common{Logger: logger, Recorder: recorder.New(c.name, time.Now), Settings: nodeSettings(c),
			Checker: checker.New(checker.Config{Logger: logger, OnViolation: c.onViolation})},
		Log:      platform.NewConfigLog(platform.ConfigLogConfig{Store: client, Logger: logger}),
		Reduce:   platform.Reduce,
		Evidence: noReports{},
		Publish:  func(*router.Snapshot) {},
		Self: &schema.Member{Node: c.name, Incarnation: uint64(time.Now().UnixMilli()), Zone: c.zone,
			ControlAddress: c.address},
	})
	if err != nil {
		return nil, err
	}
	return &node{Controller: k, name: c.name, zone: c.zone, store: c.store}, nil
}

// nodeSettings returns the settings that deploy/node.yaml names, and the defaults of the others that a controller reads.
func nodeSettings(c nodeConfig) settings.Node {
	return settings.Node{Name: c.name, Zone: c.zone, ControlListen: c.address, Readers: 1, Heartbeat: time.Second,
		SuspectAfter: 3 * time.Second, DeadAfter: 2 * time.Second, RejoinInterval: 10 * time.Second,
		ReportInterval: 200 * time.Millisecond, Lease: 5 * time.Second, JoinSpread: time.Second}
}

// inForce returns the position that declared the configuration in force, and its revision.
func (n *node) inForce() (reducer.Position, uint64) {
	s := n.Snapshot()
	return reducer.Position(s.Version), s.Revision
}

// position returns the position of the node's state.
func (n *node) position() reducer.Position { return reducer.Position(n.Status().Position) }

// overlayBytes returns the bytes of the node's links so far, both ways.
func (n *node) overlayBytes() uint64 {
	sent, received := n.Meter().Totals()
	return sent + received
}

// noReports is the evidence of a node without calls.
type noReports struct{}

func (noReports) TakeEvidence() []*schema.Report { return nil }
