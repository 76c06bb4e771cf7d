package standinapp

import (
	"io"
	"os"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/load"
)

type benchLoad struct {
	programs
	Multiples []float64     `help:"Multiples of the service's capacity." name:"multiple" default:"0.5,1,2,4"`
	Duration  time.Duration `help:"Time at each multiple." default:"6s"`
}

// Run measures the product's policy and the baseline.
func (c *benchLoad) Run(w io.Writer) error {
	standin, err := os.Executable()
	if err != nil {
		return err
	}
	for _, unlimited := range []bool{false, true} {
		err := load.Run(load.Config{Product: c.Product, Standin: standin, Output: w, Multiples: c.Multiples, Duration: c.Duration, Unlimited: unlimited})
		if err != nil {
			return err
		}
	}
	return nil
}
