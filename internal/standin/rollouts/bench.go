package rollouts

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Row summarises the runs of one scenario.
type Row struct {
	Scenario Scenario
	Runs     int
	// Correct counts runs with the expected end: bad versions rolled back, good ones completed on time.
	Correct    int
	OnTime     int
	RolledBack int
	// MedianDuration is the median time until the end.
	MedianDuration time.Duration
	// MedianShare and WorstShare are those of the new version's share of calls until the end.
	MedianShare float64
	WorstShare  float64
}

// Sum runs a scenario with the seeds 1 to seeds and summarises the results.
func Sum(s Scenario, p *schema.Preset, judge NewJudge, seeds int) Row {
	row := Row{Scenario: s, Runs: seeds}
	var durations []time.Duration
	var shares []float64
	for seed := range seeds {
		r := Run(s, p, judge, uint64(seed)+1)
		durations = append(durations, r.Duration)
		shares = append(shares, r.NewShare)
		if r.RolledBack {
			row.RolledBack++
		}
		if r.OnTime && r.Completed {
			row.OnTime++
		}
		if s.Bad && r.RolledBack || !s.Bad && r.Completed && r.OnTime {
			row.Correct++
		}
	}
	slices.Sort(durations)
	slices.Sort(shares)
	row.MedianDuration = durations[len(durations)/2]
	row.MedianShare = shares[len(shares)/2]
	row.WorstShare = shares[len(shares)-1]
	return row
}

// WriteRow writes a row as key=value pairs.
func WriteRow(w io.Writer, judge string, r Row) {
	_, _ = fmt.Fprintf(w, "bench=rollouts judge=%s case=%s bad=%t runs=%d right=%d rolled-back=%d on-time=%d median-end=%s median-new-share=%.4f worst-new-share=%.4f\n",
		judge, r.Scenario.Name, r.Scenario.Bad, r.Runs, r.Correct, r.RolledBack, r.OnTime, r.MedianDuration.Round(100*time.Millisecond), r.MedianShare, r.WorstShare)
}

// Preset returns the preset of the bench: the examples' ordinary one.
func Preset() *schema.Preset {
	return &schema.Preset{Name: "ordinary", StepIntervalMs: 60_000, WatchMs: 180_000, MinCalls: 100, FirstShare: 0.01, RollbackThreshold: 8}
}
