package controller

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// TestCandidatesDoNotGrowWithGoneMembers guards against a mesh that does not find itself since the log names many members that are gone.
func TestCandidatesDoNotGrowWithGoneMembers(t *testing.T) {
	d := Discovery{Seeds: []*schema.Member{{ControlAddress: "seed:1"}, {ControlAddress: "saved-99:1"}}}
	for i := range 100 {
		d.Saved = append(d.Saved, &schema.Member{Node: fmt.Sprint(i), Incarnation: uint64(i), ControlAddress: fmt.Sprintf("saved-%d:1", i)})
	}
	found := d.candidates()
	qt.Assert(t, found, qt.HasLen, 2+maxSavedCandidates-1)
	qt.Assert(t, containsAddress(found, &schema.Member{ControlAddress: "seed:1"}), qt.IsTrue)
	qt.Assert(t, containsAddress(found, d.Saved[98]), qt.IsTrue)
	qt.Assert(t, containsAddress(found, d.Saved[0]), qt.IsFalse)
}
