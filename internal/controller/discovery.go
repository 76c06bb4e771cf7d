package controller

import (
	"cmp"
	"slices"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// maxSavedCandidates is how many of the members that nodes have saved of themselves are candidates: most may be gone for good.
const maxSavedCandidates = 16

// Discovery is what the nodes of the mesh have saved in the log for starting nodes.
type Discovery struct {
	// Seeds are the members that SaveSeed has saved and DeleteSeed can delete, for starting nodes to dial. Only the control address is
	// always set.
	Seeds []*schema.Member
	// Saved are the members that nodes have passed to SaveMember. They stay when the nodes are gone.
	Saved []*schema.Member
	// Progress is the rollout progress that the rollouts' controllers have saved.
	Progress []*schema.Progress
}

// candidates returns the members that a node without links may dial: the seeds, and the newest of the members that nodes have saved of
// themselves. So the chance to meet a member that lives does not shrink with the number of those that are gone.
func (d Discovery) candidates() []*schema.Member {
	found := slices.Clone(d.Seeds)
	newest := slices.SortedFunc(slices.Values(d.Saved), func(a, b *schema.Member) int {
		return cmp.Or(cmp.Compare(b.Incarnation, a.Incarnation), cmp.Compare(a.Node, b.Node))
	})
	for _, m := range newest[:min(len(newest), maxSavedCandidates)] {
		if !containsAddress(found, m) {
			found = append(found, m)
		}
	}
	return found
}
