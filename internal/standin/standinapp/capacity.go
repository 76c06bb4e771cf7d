package standinapp

import (
	"io"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/capacity"
)

type benchCapacity struct {
	Table bool `help:"Print the table of docs/CAPACITY.md from recorded measurements instead of measuring."`
}

// Run measures the costs that grow with the size of the mesh, or prints the table.
func (c *benchCapacity) Run(w io.Writer) error {
	if c.Table {
		return capacity.WriteTable(w, capacity.TwoYearsOut(), capacity.Measured())
	}
	return capacity.Measure(w)
}
