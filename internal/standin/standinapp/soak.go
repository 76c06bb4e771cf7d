package standinapp

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/soak"
)

type soakCommand struct {
	programs
	Examples string        `help:"Folder of the example declarations." default:"examples"`
	Seed     uint64        `help:"Seed of load, failures and operators." default:"1"`
	Duration time.Duration `help:"Time to disturb for." default:"45s"`
	Rate     float64       `help:"Calls a second." default:"150"`
	Copies   int           `help:"Multiple of the 12 VMs." default:"1"`
	Only     []string      `help:"Words; only actions whose names hold one of them are done."`
}

// Run runs the soak.
func (c *soakCommand) Run(w io.Writer) error {
	standin, err := os.Executable()
	if err != nil {
		return err
	}
	ok, err := soak.Run(soak.Config{Product: c.Product, Standin: standin, Examples: c.Examples, Output: w,
		Seed: c.Seed, Duration: c.Duration, Rate: c.Rate, Copies: c.Copies, Only: c.Only})
	if err == nil && !ok {
		err = errors.New("violations were found")
	}
	return err
}
