package controller

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// recoveryTime is RecoveryS of the users' pages. Nodes have to know each other within half of it.
const recoveryTime = 15 * time.Second

// TestMemberSearch checks when a node searches, at a random value of 0.5, which is the mean delay.
func TestMemberSearch(t *testing.T) {
	type step struct {
		at               time.Duration
		linked, assigned bool
		due              bool
	}
	const ms, interval = time.Millisecond, 2 * time.Second
	tests := []struct {
		name  string
		steps []step
	}{
		{"with links only the node with the duty searches, once in an interval", []step{{0, true, false, false}, {0, true, true, true},
			{interval - 1, true, true, false}, {interval, true, true, true}}},
		{"without links also without the duty, less and less often", []step{{0, false, false, false}, {399 * ms, false, false, false},
			{400 * ms, false, false, true}, {1199 * ms, false, false, false}, {1200 * ms, false, false, true}, {2800 * ms, false, false, true},
			{4799 * ms, false, false, false}, {4800 * ms, false, false, true}, {6800 * ms, false, true, true}}},
		{"soon again after another loss of all links", []step{{0, false, false, false}, {400 * ms, false, false, true},
			{1200 * ms, false, false, true}, {1300 * ms, true, false, false}, {1400 * ms, false, false, false}, {1800 * ms, false, false, true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			s := memberSearch{interval: interval, next: start}
			for i, step := range test.steps {
				qt.Assert(t, s.isDue(step.linked, step.assigned, 0.5, start.Add(step.at)), qt.Equals, step.due, qt.Commentf("step %d", i))
			}
		})
	}
}

// TestMeshFormsThoughSeedsAreSavedLate starts a mesh with an empty log that takes 1 s for each write of a seed, so that all nodes get ready
// without a link. They have to find each other without the periodic search, which is further away than the bound.
func TestMeshFormsThoughSeedsAreSavedLate(t *testing.T) {
	t.Parallel()
	const nodes = 6
	m := &testMesh{store: &fakeStore{seeds: map[string]*schema.Member{}, seedDelay: time.Second}}
	for i := range nodes {
		n := startMeshNode(t, m.store, fmt.Sprint("late", i), string(rune('a'+i%testZones)))
		n.do(func() { n.memberSearch.next = time.Now().Add(time.Hour) })
		m.nodes = append(m.nodes, n)
	}
	await(t, recoveryTime/2, "all nodes know each other", func() bool {
		for _, n := range m.nodes {
			if n.Status().Members < nodes {
				return false
			}
		}
		return true
	})
}
