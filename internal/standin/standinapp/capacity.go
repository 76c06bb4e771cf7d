package standinapp

import (
	"io"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/capacity"
)

type benchCapacity struct {
	Table bool `help:"Print the table of docs/CAPACITY.md from the measured slopes instead of measuring."`
}

// Run measures the slopes or prints the table.
func (c *benchCapacity) Run(w io.Writer) error {
	if c.Table {
		return capacity.WriteTable(w, capacity.TwoYearsOut(), capacity.Measured())
	}
	return capacity.Measure(w)
}
