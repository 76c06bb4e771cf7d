package rollouts_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/rollouts"
)

// seedsPerCase keeps the test short; the bench runs hundreds of seeds.
const seedsPerCase = 6

func TestEveryScenarioEndsRight(t *testing.T) {
	for _, s := range rollouts.Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			row := rollouts.Sum(s, rollouts.Preset(), rollouts.Product, seedsPerCase)
			qt.Assert(t, row.Correct, qt.Equals, seedsPerCase)
		})
	}
}

// TestBadVersionStaysSmall checks that versions which are bad from the start on a main route get at most 1% of the
// calls until they are rolled back.
func TestBadVersionStaysSmall(t *testing.T) {
	atOnce := map[string]bool{"fails-at-once": true, "fails-all": true, "slow-at-once": true, "slow-threefold": true,
		"fails-on-one-route": true, "fails-in-one-zone": true}
	for _, s := range rollouts.Scenarios() {
		if !atOnce[s.Name] {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			row := rollouts.Sum(s, rollouts.Preset(), rollouts.Product, seedsPerCase)
			qt.Assert(t, row.WorstShare <= 0.01, qt.IsTrue, qt.Commentf("share %v", row.WorstShare))
		})
	}
}
