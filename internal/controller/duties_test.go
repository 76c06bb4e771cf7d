package controller

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// TestSuspectedReadersAreReplaced suspects all other members of a node's zone, as after a kill: the node has to read the log at once and not
// once they count as dead, which is later than a change has to be in force (rule CONFIG, review/10). A member that refutes reads again.
func TestSuspectedReadersAreReplaced(t *testing.T) {
	t.Parallel()
	const others = 20
	n := startMeshNode(t, &fakeStore{seeds: map[string]*schema.Member{}}, "n", "a")
	var among, alone, again dutyState
	n.do(func() {
		now := time.Now()
		var members []*schema.Member
		for i := range others {
			members = append(members, &schema.Member{Node: fmt.Sprint("o", i), Incarnation: 1, Zone: "a", ControlAddress: fmt.Sprintf("o%d:1", i)})
			n.table.Merge(members[i], now)
		}
		among = n.assignedDuties()
		for _, m := range members {
			n.table.Suspect(m.Node, now)
		}
		alone = n.assignedDuties()
		for _, m := range members {
			refuted := proto.CloneOf(m)
			refuted.Sequence++
			n.table.Merge(refuted, now)
		}
		again = n.assignedDuties()
	})
	qt.Assert(t, among.designatedReader, qt.IsFalse)
	qt.Assert(t, alone.designatedReader, qt.IsTrue)
	qt.Assert(t, alone.standbyRank, qt.Equals, 0)
	qt.Assert(t, again.designatedReader, qt.IsFalse)
}
