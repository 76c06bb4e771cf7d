package standinapp

import (
	"errors"
	"io"
	"os"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/demo"
)

// programs holds the flags by which the program finds the processes it starts.
type programs struct {
	Product string `help:"Path of the tamarackpitch program." default:"bin/tamarackpitch"`
}

type demoCommand struct {
	programs
	Examples string `help:"Folder of the example declarations." default:"examples"`
}

// Run runs the demo.
func (c *demoCommand) Run(w io.Writer) error {
	standin, err := os.Executable()
	if err != nil {
		return err
	}
	ok, err := demo.Run(demo.Config{Product: c.Product, Standin: standin, Examples: c.Examples, Output: w})
	if err == nil && !ok {
		err = errors.New("the demo's claims do not all hold")
	}
	return err
}
