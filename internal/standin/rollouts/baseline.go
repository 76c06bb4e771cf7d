package rollouts

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Baseline is a simpler judge to compare with: it moves by the clock alone and rolls back
// when the whole version's failure rate since the step began is above a fixed threshold.
type Baseline struct {
	config   roller.Config
	step     int
	since    time.Time
	calls    uint64
	failures uint64
}

// Thresholds of the baseline.
const (
	baselineFailureRate = 0.05
	baselineMinCalls    = 20
)

// NewBaseline returns a Baseline.
func NewBaseline(c roller.Config) Judge {
	return &Baseline{config: c, step: c.Step, since: c.Now}
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
		b.step, b.since, b.calls, b.failures = step, now, 0, 0
	}
	d := roller.Decision{Step: step}
	if b.calls >= baselineMinCalls && float64(b.failures) > baselineFailureRate*float64(b.calls) {
		d.RolledBack = true
		return d
	}
	interval := time.Duration(b.config.Preset.StepIntervalMs) * time.Millisecond
	last := step >= roller.LastStep(b.config.Preset)
	switch {
	case last && now.Sub(b.since) >= time.Duration(b.config.Preset.WatchMs)*time.Millisecond:
		d.Completed = true
	case !last && now.Sub(b.since) >= interval:
		b.step, b.since, b.calls, b.failures = step+1, now, 0, 0
		d.Step = step + 1
	}
	return d
}
