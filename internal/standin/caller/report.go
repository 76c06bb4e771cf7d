package caller

import (
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
)

// SizeOf returns the body size that a path asks a stand-in upstream for, or 0.
func SizeOf(path string) int {
	u, err := url.Parse(path)
	if err != nil {
		return 0
	}
	size, _ := strconv.Atoi(u.Query().Get("size"))
	return size
}

// WriteReport writes the counts by outcome and reason and the latency percentiles as key=value lines.
func (c *Caller) WriteReport(w io.Writer) {
	counts := map[string]int{}
	for _, r := range c.Records() {
		key := string(r.Outcome)
		if r.Refusal != "" {
			key += " reason=" + strconv.Quote(r.Refusal)
		}
		counts[key]++
	}
	_, _ = fmt.Fprintf(w, "calls=%d\n", len(c.Records()))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, "count=%d outcome=%s\n", counts[k], k)
	}
	for _, q := range []float64{50, 99, 99.9} {
		_, _ = fmt.Fprintf(w, "latency-p%g=%s\n", q, c.Percentile(q))
	}
}
