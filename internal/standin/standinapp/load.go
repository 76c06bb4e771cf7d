package standinapp

import (
	"io"
	"os"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/load"
)

type benchLoad struct {
	programFlags
	Multiples []float64     `help:"Loads, as multiples of the service's capacity." name:"multiple" default:"0.5,1,2,4"`
	Duration  time.Duration `help:"Time to measure at each load." default:"6s"`
}

// Run measures with priority classes and with the baseline.
func (c *benchLoad) Run(w io.Writer) error {
	standin, err := os.Executable()
	if err != nil {
		return err
	}
	for _, unlimited := range []bool{false, true} {
		err := load.Run(load.Config{Product: c.Product, Standin: standin, Output: w,
			Multiples: c.Multiples, Duration: c.Duration, Unlimited: unlimited})
		if err != nil {
			return err
		}
	}
	return nil
}
