package controller

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	rolloutNodes = 4
	// rollbackBound is the time within which a bad version must be rolled back and the outcome saved.
	rollbackBound = 8 * time.Second
)

// versionEvidence reports calls to one version in each interval, of which a number fail.
type versionEvidence struct {
	version         string
	calls, failures uint64
	// disturbed, if not nil, makes half of the calls fail while it is set.
	disturbed *atomic.Bool
}

func (e versionEvidence) TakeEvidence() []*schema.Report {
	failures := e.failures
	if e.disturbed != nil && e.disturbed.Load() {
		failures = e.calls / 2
	}
	return []*schema.Report{{Rollout: "s", DeclaredVersion: 1, Evidence: []*schema.Evidence{
		{Route: "r", Version: e.version, Calls: e.calls, Failures: failures}}}}
}

// rolloutMesh is a mesh in which half of the nodes' upstreams run the new version of a rollout.
type rolloutMesh struct {
	*testMesh
	// disturbed makes half of the calls to both versions fail.
	disturbed *atomic.Bool
}

// startRolloutMesh starts a mesh whose rollout to v2 is ordered as soon as all nodes know each other. prepare, if not nil,
// is called before that.
func startRolloutMesh(t *testing.T, duration time.Duration, failures uint64, prepare func(*testMesh)) *rolloutMesh {
	t.Helper()
	m := &rolloutMesh{testMesh: &testMesh{store: &fakeStore{seeds: map[string]*schema.Member{}}}, disturbed: &atomic.Bool{}}
	for i := range rolloutNodes {
		e := versionEvidence{version: "v1", calls: 20, disturbed: m.disturbed}
		if i%2 == 1 {
			e = versionEvidence{version: "v2", calls: 5, failures: failures, disturbed: m.disturbed}
		}
		n := startMeshNodeWith(t, m.store, fmt.Sprintf("n%d", i), "a", e)
		_, err := n.Announce(Announcement{Service: "s", Version: e.version, Address: "127.0.0.1:1", Slots: 4})
		qt.Assert(t, err, qt.IsNil)
		m.nodes = append(m.nodes, n)
	}
	await(t, 10*time.Second, "all nodes know each other", func() bool {
		return !slices.ContainsFunc(m.nodes, func(n *meshNode) bool { return n.Status().Members < rolloutNodes })
	})
	if prepare != nil {
		prepare(m.testMesh)
	}
	preset := reducer.DefaultPreset([]string{"0"})
	m.store.publish(&schema.State{Services: []*schema.Service{{Name: "s", OpenVersions: true}}, Presets: []*schema.Preset{preset},
		ActivePreset: preset.Name, Rollouts: []*schema.Rollout{{Name: "s", Service: "s", From: "v1", To: "v2", DeclaredVersion: 1,
			DurationMs: uint32(duration.Milliseconds()), Phase: schema.RolloutPhase_ROLLOUT_PHASE_OPEN}}})
	await(t, 10*time.Second, "all nodes know the rollout", func() bool {
		return !slices.ContainsFunc(m.nodes, func(n *meshNode) bool {
			s := n.Snapshot().Services["s"]
			return s == nil || s.Rollout == nil
		})
	})
	return m
}

func (m *rolloutMesh) awaitRollback(t *testing.T) {
	t.Helper()
	await(t, rollbackBound, "the rollback is saved", func() bool { return m.store.lastProgress().GetRolledBack() })
}

// share returns the highest share of the new version on any node.
func (m *rolloutMesh) share() float64 {
	highest := 0.0
	for _, n := range m.nodes {
		if s := n.Snapshot().Services["s"]; s != nil && s.Rollout != nil {
			highest = max(highest, s.Rollout.Share)
		}
	}
	return highest
}

// TestFencedControllerTakesControlAgain lets the log refuse the controller, since another node, now gone, has taken control
// with a higher epoch: the fenced node still gets all reports, and must take control again and roll the bad version back.
func TestFencedControllerTakesControlAgain(t *testing.T) {
	const newer = 3*epochRange + 7
	saved := &schema.Progress{Rollout: "s", DeclaredVersion: 1, Epoch: newer, Controller: "gone"}
	for name, progress := range map[string][]*schema.Progress{"progress saved": {saved}, "progress not saved": nil} {
		t.Run(name, func(t *testing.T) {
			m := startRolloutMesh(t, time.Minute, 4, func(m *testMesh) { m.store.epoch, m.store.progress = newer, progress })
			m.awaitRollback(t)
			qt.Assert(t, m.store.lastProgress().Epoch > newer, qt.IsTrue)
		})
	}
}

// TestReportsFollowNewestController lets a node that is no preferred controller take control: all nodes must report to it,
// and the earlier controller must decide nothing more.
func TestReportsFollowNewestController(t *testing.T) {
	m := startRolloutMesh(t, time.Minute, 0, nil)
	await(t, 10*time.Second, "the rollout has a controller", func() bool { return m.store.lastProgress() != nil })
	first := m.store.lastProgress().Controller
	i := slices.IndexFunc(m.nodes, func(n *meshNode) bool { return n.common.Settings.Name != first })
	next := m.nodes[i]
	next.do(func() { next.takeControl(next.state.Rollouts["s"], 0, time.Now()) })
	await(t, 3*time.Second, "all nodes report to the newest controller", func() bool {
		heard := 0
		next.do(func() { heard = len(next.controlled["s"].heardAt) })
		return heard == rolloutNodes
	})
	for _, n := range m.nodes {
		active := false
		n.do(func() { active = n.isActive(n.controlled["s"], n.state.Rollouts["s"]) })
		qt.Assert(t, active, qt.Equals, n == next, qt.Commentf("node %s", n.common.Settings.Name))
	}
}

// TestStepTakesEffectOnceSaved lets the log refuse writes: no step may move traffic, since a newer controller could have
// fenced this one. Once the log takes writes, the rollout continues.
func TestStepTakesEffectOnceSaved(t *testing.T) {
	refuse := func(refused bool) func(*testMesh) {
		return func(m *testMesh) {
			for _, n := range m.nodes {
				n.log.refusesProgress.Store(refused)
			}
		}
	}
	m := startRolloutMesh(t, 6*time.Second, 0, refuse(true))
	first := m.share()
	time.Sleep(5 * time.Second)
	qt.Assert(t, m.share(), qt.Equals, first)
	refuse(false)(m.testMesh)
	await(t, 10*time.Second, "the rollout advances", func() bool { return m.share() > first })
	qt.Assert(t, m.store.lastProgress().Step > 0, qt.IsTrue)
}

// TestControllerHearsNewVersion checks which reports a controller needs before it gives the new version more traffic.
func TestControllerHearsNewVersion(t *testing.T) {
	m := startRolloutMesh(t, time.Minute, 0, nil)
	n := m.nodes[0]
	await(t, 10*time.Second, "both nodes of the new version are known", func() bool {
		s := n.Snapshot().Services["s"]
		return s != nil && s.Rollout != nil && len(s.Canary) == 2
	})
	now := time.Now()
	tests := []struct {
		name    string
		heardAt map[string]time.Time
		want    bool
	}{
		{"no report", nil, false},
		{"only nodes of the old version", map[string]time.Time{"n0": now, "n2": now}, false},
		{"one of two nodes", map[string]time.Time{"n1": now}, true},
		{"a report from long ago", map[string]time.Time{"n1": now.Add(-time.Minute)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got bool
			n.do(func() {
				c := n.takeControl(n.state.Rollouts["s"], 0, now)
				c.heardAt = test.heardAt
				got = n.hearsNewVersion(c, now)
				c.heardAt = map[string]time.Time{}
			})
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestCompletionOfUnknownResultIsRepeated reports failures after the completion was written without a known result: the
// operator may have stopped the old upstreams, so the rollout must be completed and not rolled back.
func TestCompletionOfUnknownResultIsRepeated(t *testing.T) {
	m := startRolloutMesh(t, time.Minute, 0, nil)
	n := m.nodes[0]
	n.do(func() {
		c := n.takeControl(n.state.Rollouts["s"], n.progress["s"].GetEpoch(), time.Now())
		c.completionReason = "all traffic moved"
		for range 20 {
			c.analysis.Observe(versionEvidence{version: "v2", calls: 20, failures: 20}.TakeEvidence()[0].Evidence,
				time.Now().Add(-time.Second))
		}
		n.handleSaveResult(c, &schema.Progress{Rollout: "s", Epoch: c.epoch, Completed: true}, errUnreachable, nil)
	})
	await(t, rollbackBound, "the outcome is saved", func() bool { return isDecided(m.store.lastProgress()) })
	qt.Assert(t, m.store.lastProgress().Completed, qt.IsTrue)
}

// TestNewRolloutIgnoresProgressOfEarlierOne orders a rollout of a service whose earlier rollout was rolled back long ago: a
// node that takes control at once must count the duration from the new order, and start on the first step.
func TestNewRolloutIgnoresProgressOfEarlierOne(t *testing.T) {
	const rolloutDuration = 15 * time.Second
	m := startRolloutMesh(t, rolloutDuration, 0, nil)
	n := m.nodes[0]
	first := m.share()
	var timeLeft time.Duration
	var share float64
	n.do(func() {
		now := time.Now()
		r := n.state.Rollouts["s"]
		n.progress["s"] = &schema.Progress{Rollout: "s", DeclaredVersion: r.DeclaredVersion, Step: 2, RolledBack: true,
			Reported: true, HeardUnixMs: now.Add(-time.Minute).UnixMilli()}
		encoded := n.state.Encode()
		encoded.Position++
		encoded.Version++
		encoded.Rollouts[0].DeclaredVersion++
		next, err := reducer.DecodeState(encoded)
		qt.Check(t, err, qt.IsNil)
		n.setState(next)
		share = n.share(next.Rollouts["s"])
		timeLeft = n.takeControl(next.Rollouts["s"], 0, now).analysis.Deadline().Sub(now)
	})
	qt.Check(t, share, qt.Equals, first)
	qt.Check(t, timeLeft > rolloutDuration-time.Second, qt.IsTrue, qt.Commentf("time left %v", timeLeft))
}

// TestPausedRolloutMovesNoTraffic lets both versions fail half of their calls: the new version gets no more calls from any
// node, also while the store is away, and gets them again once the old version has recovered and the resumption is saved.
func TestPausedRolloutMovesNoTraffic(t *testing.T) {
	m := startRolloutMesh(t, time.Minute, 0, nil)
	first := m.share()
	refuse := func(refused bool) {
		for _, n := range m.nodes {
			n.log.refusesProgress.Store(refused)
		}
	}
	refuse(true)
	m.disturbed.Store(true)
	await(t, 10*time.Second, "the rollout is paused", func() bool { return m.share() == 0 })
	m.disturbed.Store(false)
	time.Sleep(6 * time.Second)
	qt.Assert(t, m.share(), qt.Equals, 0.0)
	refuse(false)
	await(t, 10*time.Second, "the rollout is resumed", func() bool { return m.share() == first })
	qt.Assert(t, m.store.lastProgress().Pauses, qt.Equals, uint32(2))
	qt.Assert(t, m.store.lastProgress().RolledBack, qt.IsFalse)
}
