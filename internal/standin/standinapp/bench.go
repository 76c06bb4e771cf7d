package standinapp

import (
	"io"
	"slices"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/rollouts"
)

type benchCommand struct {
	Load        benchLoad        `cmd:"" help:"Measure goodput by class under load, against one class with long queues."`
	Rollouts    benchRollouts    `cmd:"" help:"Simulate rollout decisions in virtual time, against a fixed threshold."`
	Latency     benchLatency     `cmd:"" help:"Measure the latency that the mesh adds, against concurrent direct calls."`
	Capacity    benchCapacity    `cmd:"" help:"Measure what the control plane costs at the target size."`
	Convergence benchConvergence `cmd:"" help:"Measure how fast changes come into force, and at what cost to a node."`
	ReturnedLog benchReturnedLog `cmd:"" help:"Measure what it costs when the store of the users' platform returns from an older copy."`
}

type benchRollouts struct {
	Seeds     int      `help:"Number of runs of each case, each with its own seed." default:"300"`
	Cases     []string `help:"Cases to run; all by default." name:"case"`
	Threshold float64  `help:"Rollback threshold of the preset." default:"8"`
}

// Run runs the cases with the product's rollout decisions and with the baseline's.
func (c *benchRollouts) Run(w io.Writer) error {
	preset := rollouts.Preset()
	preset.RollbackThreshold = c.Threshold
	for _, s := range rollouts.Scenarios() {
		if len(c.Cases) > 0 && !slices.Contains(c.Cases, s.Name) {
			continue
		}
		rollouts.WriteRow(w, "trial", rollouts.Sum(s, preset, rollouts.Product, c.Seeds))
		rollouts.WriteRow(w, "baseline", rollouts.Sum(s, preset, rollouts.NewBaseline, c.Seeds))
	}
	return nil
}
