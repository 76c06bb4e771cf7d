package standinapp

import (
	"io"
	"os"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/latency"
)

type benchLatency struct {
	programFlags
	Examples string        `help:"Folder of the example declarations." default:"examples"`
	Rates    []float64     `help:"Calls per second to one node; as many go directly to the upstreams." name:"rate" default:"280,2800"`
	Duration time.Duration `help:"Time to measure at each rate." default:"10s"`
}

// Run measures the added latency at each rate.
func (c *benchLatency) Run(w io.Writer) error {
	standin, err := os.Executable()
	if err != nil {
		return err
	}
	return latency.Run(latency.Config{Product: c.Product, Standin: standin, Examples: c.Examples, Output: w,
		Rates: c.Rates, Duration: c.Duration})
}
