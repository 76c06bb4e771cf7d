package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

// WriteCustomers writes a table of the customers of a configuration. Of their keys it tells only how many there are. A
// rate of 0 stands for no limit.
func WriteCustomers(w io.Writer, state *reducer.State) {
	if len(state.Customers) == 0 {
		_, _ = fmt.Fprintln(w, "no customers declared; callers need no API key")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CUSTOMER\tKEYS\tRATE-PER-SECOND\tBURST\tPRIORITY")
	for _, name := range slices.Sorted(maps.Keys(state.Customers)) {
		c := state.Customers[name]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%g\t%g\t%d\n", name, len(c.KeyHashes), c.RatePerSecond, c.Burst, c.Priority)
	}
	_ = table.Flush()
}
