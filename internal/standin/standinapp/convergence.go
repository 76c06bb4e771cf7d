package standinapp

import (
	"io"
	"os"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/convergence"
)

type benchConvergence struct {
	programFlags
	Sizes   []int         `help:"Numbers of nodes." name:"nodes" default:"10,30,100"`
	Modes   []string      `help:"Ways to distribute configuration." name:"mode" default:"overlay,every-node-polls,one-reader"`
	Changes int           `help:"Number of changes to publish." default:"20"`
	Idle    time.Duration `help:"Time for which the cost of an idle mesh is measured." default:"10s"`
}

// Run measures each number of nodes with each mode.
func (c *benchConvergence) Run(w io.Writer) error {
	standin, err := os.Executable()
	if err != nil {
		return err
	}
	for _, n := range c.Sizes {
		for _, m := range c.Modes {
			err := convergence.Run(convergence.Config{Product: c.Product, Standin: standin, Output: w, Nodes: n,
				Mode: convergence.Mode(m), Changes: c.Changes, Idle: c.Idle})
			if err != nil {
				return err
			}
		}
	}
	return nil
}
