package standinapp

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/soak"
)

type soakCommand struct {
	programFlags
	Examples string        `help:"Folder of the example declarations." default:"examples"`
	Seed     uint64        `help:"Seed of the random load, failures and operator actions." default:"1"`
	Duration time.Duration `help:"Time for which load and failures last." default:"45s"`
	Rate     float64       `help:"Calls per second." default:"150"`
	Copies   int           `help:"Number of copies of the 12 VMs." default:"1"`
	Only     []string      `help:"Words; only actions whose names contain one of them are run."`
}

// Run runs the soak and returns an error if it finds violations.
func (c *soakCommand) Run(w io.Writer) error {
	standin, err := os.Executable()
	if err != nil {
		return err
	}
	ok, err := soak.Run(soak.Config{Product: c.Product, Standin: standin, Examples: c.Examples, Output: w,
		Seed: c.Seed, Duration: c.Duration, Rate: c.Rate, Copies: c.Copies, Only: c.Only})
	if err == nil && !ok {
		err = errors.New("the soak found violations")
	}
	return err
}
