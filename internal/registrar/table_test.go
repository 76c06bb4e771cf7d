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

func TestSuspectedMemberRefutes(t *testing.T) {
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

func TestUnrefutedSuspectIsDeclaredDead(t *testing.T) {
	a := table("a")
	a.Merge(member("b", 0, 0), start)
	a.Suspect("b", start)
	qt.Assert(t, a.Tick(start.Add(time.Second)), qt.HasLen, 0)
	qt.Assert(t, a.Tick(start.Add(2*time.Second)), qt.HasLen, 1)
	qt.Assert(t, a.Usable(), qt.HasLen, 1)
	// A restarted process has a higher incarnation and becomes a member again.
	back := member("b", 0, 0)
	back.Incarnation = 2
	qt.Assert(t, a.Merge(back, start), qt.Not(qt.IsNil))
	qt.Assert(t, a.Usable(), qt.HasLen, 2)
}

// TestMergeOrderDoesNotMatter merges random updates into two tables in different orders: their digests must be equal,
// and must differ once one table has a further member.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []*schema.Member
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			node := fmt.Sprintf("n%d", rapid.IntRange(0, 5).Draw(t, "node"))
			m := member(node, uint64(rapid.IntRange(0, 4).Draw(t, "sequence")), schema.MemberStatus(rapid.IntRange(0, 1).Draw(t, "status")))
			m.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			updates = append(updates, m)
		}
		// Updates of one incarnation and sequence differ in status only, as they do in a mesh.
		a, b := table("x"), table("x")
		for _, m := range updates {
			a.Merge(m, start)
		}
		for _, m := range rapid.Permutation(updates).Draw(t, "order") {
			b.Merge(m, start)
		}
		if a.Digest() != b.Digest() || len(a.Differing(b.BucketDigests())) != 0 {
			t.Fatalf("tables differ after the same updates")
		}
		b.Merge(member("late", 9, 0), start)
		if a.Digest() == b.Digest() || len(b.Differing(a.BucketDigests())) == 0 {
			t.Fatalf("digests are equal although one table has a further member")
		}
	})
}

// TestExpiredTombstoneIsNotAddedAgain lets one of two tables remove a tombstone: merging the other table's must not
// bring it back.
func TestExpiredTombstoneIsNotAddedAgain(t *testing.T) {
	a, b := table("a"), table("b")
	for _, x := range []*registrar.Table{a, b} {
		x.Merge(member("c", 0, 0), start)
		x.Merge(member("c", 0, schema.MemberStatus_MEMBER_STATUS_DEAD), start)
	}
	a.Tick(start.Add(3 * time.Hour))
	qt.Assert(t, a.Get("c"), qt.IsNil)
	qt.Assert(t, a.Merge(b.Get("c"), start.Add(3*time.Hour)), qt.IsNil)
}

// TestAbsentMembers lets one member leave and one die: the one that left counts as absent for the restart time only.
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
