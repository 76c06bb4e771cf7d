package controller

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/registrar"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// LoadModel runs the work of the control goroutine without links or a log, so that its cost can be measured for a mesh
// that is too large for one machine.
type LoadModel struct {
	controller *Controller
}

// NewLoadModel returns a model with a configuration state and a membership table.
func NewLoadModel(state *reducer.State, table *registrar.Table) *LoadModel {
	logger := hclog.NewNullLogger()
	k := &Controller{state: state, table: table, progress: map[string]*schema.Progress{},
		controlled: map[string]*controlledRollout{}, epochKnownAt: map[string]time.Time{}, crashes: map[uint64]*crashRecord{}, start: newStartState(time.Now())}
	k.start.ready = true
	k.refusedUntil = map[string]time.Time{}
	k.common = &common.Common{Logger: logger, Checker: checker.New(checker.Config{Logger: logger}),
		Recorder: recorder.New("model", time.Now)}
	k.config.Publish = func(*router.Snapshot) {}
	k.config.Reduce = reducer.Apply
	k.digest = state.Digest()
	return &LoadModel{controller: k}
}

// AddMembers adds the members to the cache from which routing snapshots are built.
func (m *LoadModel) AddMembers(members []*schema.Member) {
	for _, x := range members {
		m.controller.snapshotCache.updateMember(x)
	}
}

// BuildAll builds a complete routing snapshot.
func (m *LoadModel) BuildAll() {
	m.controller.snapshotCache.dirtyAll = true
	m.controller.publishSnapshot(time.Now())
}

// Change applies a record that adds a route, as every node does for every change.
func (m *LoadModel) Change(name string) {
	k := m.controller
	route := &schema.Route{Name: name, Service: "service-0000", PathPrefix: "/" + name, Methods: []string{"GET"}}
	body, err := proto.Marshal(&schema.Record{Id: name, Body: &schema.Record_Publish{Publish: &schema.Publish{
		BasedOn: k.state.Version, Declarations: []*schema.Declaration{{Item: &schema.Declaration_Route{Route: route}}}}}})
	if err != nil {
		panic(err)
	}
	k.applyRecords([]*schema.LogRecord{{Offset: uint64(k.state.Position), Body: body}}, nil)
	k.publishSnapshot(time.Now())
}

// MemberChange merges a newer update of a member, assigns the duties and selects the neighbours again.
func (m *LoadModel) MemberChange(x *schema.Member) {
	k := m.controller
	newer := proto.CloneOf(k.table.Get(x.Node))
	newer.Sequence++
	k.mergeMembers(nil, []*schema.Member{newer}, time.Now())
	k.publishSnapshot(time.Now())
	k.assignedDuties()
	selectNeighbours(k.table.Self(), k.neighbourCandidates(time.Now()))
}

// Tick does the work of one heartbeat interval in which nothing changes.
func (m *LoadModel) Tick() {
	for range ticksPerHeartbeat {
		m.controller.table.Tick(time.Now())
		m.controller.snapshotCache.dirtyStatus = true
		m.controller.publishSnapshot(time.Now())
	}
}
