package roller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Summary describes the evidence in one line, for logs: for each route the calls and failures of the new version, the
// decayed calls and failures of the old one, and the metric with the highest score.
func (a *Analysis) Summary() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(a.routes)) {
		r := a.routes[name]
		metric, score := r.worstMetric()
		parts = append(parts, fmt.Sprintf("%s: new %d/%d old %.0f/%.0f %s %.1f", name, r.newCalls, r.newFailures,
			r.baseline.longTerm.calls, r.baseline.longTerm.failures, metric, score))
	}
	return strings.Join(parts, ", ")
}
