package standinapp

import (
	"io"
	"slices"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/rollouts"
)

type benchCommand struct {
	Load        benchLoad        `cmd:"" help:"Goodput by class at multiples of capacity, against no limits."`
	Rollouts    benchRollouts    `cmd:"" help:"Rollout decisions in virtual time, against a fixed threshold."`
	Latency     benchLatency     `cmd:"" help:"Latency that the mesh adds to a call, paired with direct calls."`
	Capacity    benchCapacity    `cmd:"" help:"What control costs at the target size."`
	Convergence benchConvergence `cmd:"" help:"Time from accepted to in force, and what control costs a node."`
}

type benchRollouts struct {
	Seeds     int      `help:"Runs of each case." default:"300"`
	Cases     []string `help:"Cases to run; all if none is given." name:"case"`
	Threshold float64  `help:"Rollback threshold." default:"8"`
}

// Run runs every case under both judges.
func (c *benchRollouts) Run(w io.Writer) error {
	preset := rollouts.Preset()
	preset.RollbackThreshold = c.Threshold
	for _, s := range rollouts.Scenarios() {
		if len(c.Cases) > 0 && !slices.Contains(c.Cases, s.Name) {
			continue
		}
		rollouts.WriteRow(w, "trial", rollouts.Sum(s, preset, rollouts.Trial, c.Seeds))
		rollouts.WriteRow(w, "baseline", rollouts.Sum(s, preset, rollouts.NewBaseline, c.Seeds))
	}
	return nil
}
