package scenarios_test

import (
	"bytes"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/stutterer"
)

// TestStutter runs a mesh on the users' platform, beside upstreams that respond twice, late, in part or malformed and make calls of
// their own, under a little load and a few disruptions. `make stutter` runs it longer.
func TestStutter(t *testing.T) {
	product, err := exec.LookPath("tamarackpitch")
	qt.Assert(t, err, qt.IsNil)
	var output bytes.Buffer
	found, err := stutterer.Run(stutterer.Config{Product: product, Template: "../deploy/node.yaml", Output: &output, Seed: 1,
		Duration: 15 * time.Second, VMs: 6, Callers: 4, Disrupt: true, Chances: stutterer.DefaultChances()})
	t.Log(output.String())
	qt.Assert(t, err, qt.IsNil)
	// Reported on its own: a request that ran twice at one upstream.
	qt.Check(t, found[stutterer.RuleRepeatedAtUpstream], qt.Equals, 0)
	delete(found, stutterer.RuleRepeatedAtUpstream)
	qt.Check(t, found, qt.HasLen, 0)
}
