package registrar_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/tamarackpitch/tamarackpitch/internal/registrar"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

var start = time.Unix(1000, 0)

func member(node string, sequence uint64, status schema.MemberStatus) *schema.Member {
	return &schema.Member{Node: node, Incarnation: 1, Sequence: sequence, Status: status}
}

func table(node string) *registrar.Table {
	return registrar.New(registrar.Config{Self: member(node, 0, 0), DeadAfter: 2 * time.Second}, start)
}

func TestSubjectRefutesSuspicion(t *testing.T) {
	a, b := table("a"), table("b")
	a.Merge(b.Self(), start)
	suspicion := a.Suspect("b", start)
	qt.Assert(t, suspicion, qt.Not(qt.IsNil))
	refutation := b.Merge(suspicion, start)
	qt.Assert(t, refutation, qt.Not(qt.IsNil))
	a.Merge(refutation, start)
	qt.Assert(t, a.Tick(start.Add(time.Hour)), qt.HasLen, 0)
	qt.Assert(t, a.Get("b").Status, qt.Equals, schema.MemberStatus_MEMBER_STATUS_ALIVE)
}

func TestUnrefutedSuspectDies(t *testing.T) {
	a := table("a")
	a.Merge(member("b", 0, 0), start)
	a.Suspect("b", start)
	qt.Assert(t, a.Tick(start.Add(time.Second)), qt.HasLen, 0)
	qt.Assert(t, a.Tick(start.Add(2*time.Second)), qt.HasLen, 1)
	qt.Assert(t, a.Usable(), qt.HasLen, 1)
	// A restarted process has a later incarnation and is taken in again.
	back := member("b", 0, 0)
	back.Incarnation = 2
	qt.Assert(t, a.Merge(back, start), qt.Not(qt.IsNil))
	qt.Assert(t, a.Usable(), qt.HasLen, 2)
}

// TestMergeOrder merges random facts in two random orders: both tables end equal, and equal digests say so.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var facts []*schema.Member
		for range rapid.IntRange(1, 30).Draw(t, "facts") {
			node := fmt.Sprintf("n%d", rapid.IntRange(0, 5).Draw(t, "node"))
			f := member(node, uint64(rapid.IntRange(0, 4).Draw(t, "sequence")), schema.MemberStatus(rapid.IntRange(0, 1).Draw(t, "status")))
			f.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			facts = append(facts, f)
		}
		// Facts of one incarnation and sequence differ in status only, as a node publishes them.
		a, b := table("x"), table("x")
		for _, f := range facts {
			a.Merge(f, start)
		}
		for _, f := range rapid.Permutation(facts).Draw(t, "order") {
			b.Merge(f, start)
		}
		if a.Digest() != b.Digest() || len(a.Differing(b.BucketDigests())) != 0 {
			t.Fatalf("tables differ after the same facts")
		}
		b.Merge(member("late", 9, 0), start)
		if a.Digest() == b.Digest() || len(b.Differing(a.BucketDigests())) == 0 {
			t.Fatalf("a difference does not show in the digests")
		}
	})
}

func TestTombstoneDoesNotComeBack(t *testing.T) {
	a, b := table("a"), table("b")
	for _, x := range []*registrar.Table{a, b} {
		x.Merge(member("c", 0, 0), start)
		x.Merge(member("c", 0, schema.MemberStatus_MEMBER_STATUS_DEAD), start)
	}
	a.Tick(start.Add(3 * time.Hour))
	qt.Assert(t, a.Get("c"), qt.IsNil)
	qt.Assert(t, a.Merge(b.Get("c"), start.Add(3*time.Hour)), qt.IsNil)
}

// TestAbsentMembers lets one member leave and one die: the one that left is expected back for a while.
func TestAbsentMembers(t *testing.T) {
	now := time.Now()
	table := registrar.New(registrar.Config{Self: &schema.Member{Node: "self"}, DeadAfter: time.Second}, now)
	for _, m := range []*schema.Member{{Node: "leaves", Incarnation: 1}, {Node: "dies", Incarnation: 1}, {Node: "stays", Incarnation: 1}} {
		table.Merge(m, now)
	}
	table.Merge(&schema.Member{Node: "leaves", Incarnation: 1, Sequence: 1, Status: schema.MemberStatus_MEMBER_STATUS_LEFT}, now)
	table.Suspect("dies", now)
	later := now.Add(2 * time.Second)
	table.Tick(later)
	names := func(at time.Time) (all []string) {
		for _, m := range table.Absent(at, 10*time.Second) {
			all = append(all, m.Node)
		}
		return all
	}
	qt.Assert(t, names(later), qt.DeepEquals, []string{"dies", "leaves"})
	qt.Assert(t, names(now.Add(time.Minute)), qt.DeepEquals, []string{"dies"})
	qt.Assert(t, len(table.Dead()), qt.Equals, 1)
}
