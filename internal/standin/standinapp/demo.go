package standinapp

import (
	"errors"
	"io"
	"os"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/demo"
)

// programFlags holds the flag for the path of the program under test, which the command starts.
type programFlags struct {
	Product string `help:"Path of the tamarackpitch program." default:"bin/tamarackpitch"`
}

type demoCommand struct {
	programFlags
	Examples string `help:"Folder of the example declarations." default:"examples"`
}

// Run runs the demo and returns an error unless everything that it checks holds.
func (c *demoCommand) Run(w io.Writer) error {
	standin, err := os.Executable()
	if err != nil {
		return err
	}
	ok, err := demo.Run(demo.Config{Product: c.Product, Standin: standin, Examples: c.Examples, Output: w})
	if err == nil && !ok {
		err = errors.New("some checks of the demo failed")
	}
	return err
}
