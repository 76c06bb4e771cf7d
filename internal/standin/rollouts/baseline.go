package rollouts

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Baseline is a simple Judge for comparison. It advances by time alone and rolls back when the new version's failure
// rate over all routes since the step began exceeds a fixed threshold.
type Baseline struct {
	config    roller.Config
	step      int
	stepSince time.Time
	calls     uint64
	failures  uint64
}

// Thresholds of the baseline.
const (
	baselineFailureRate = 0.05
	baselineMinCalls    = 20
)

// NewBaseline returns a Baseline.
func NewBaseline(c roller.Config) Judge {
	return &Baseline{config: c, step: c.Step, stepSince: c.Now}
}

// Observe implements Judge.
func (b *Baseline) Observe(evidence []*schema.Evidence, _ time.Time) {
	for _, e := range evidence {
		if e.Version == b.config.Rollout.To {
			b.calls += e.Calls
			b.failures += e.Failures
		}
	}
}

// Decide implements Judge.
func (b *Baseline) Decide(now time.Time, step int) roller.Decision {
	if step != b.step {
		b.step, b.stepSince, b.calls, b.failures = step, now, 0, 0
	}
	d := roller.Decision{Step: step}
	if b.calls >= baselineMinCalls && float64(b.failures) > baselineFailureRate*float64(b.calls) {
		d.RolledBack = true
		return d
	}
	interval := time.Duration(b.config.Preset.StepIntervalMs) * time.Millisecond
	last := step >= roller.LastStep(b.config.Preset)
	switch {
	case last && now.Sub(b.stepSince) >= time.Duration(b.config.Preset.WatchMs)*time.Millisecond:
		d.Completed = true
	case !last && now.Sub(b.stepSince) >= interval:
		b.step, b.stepSince, b.calls, b.failures = step+1, now, 0, 0
		d.Step = step + 1
	}
	return d
}

// SetPauses implements Judge. The baseline never pauses a rollout.
func (b *Baseline) SetPauses(uint32, time.Time) {}
