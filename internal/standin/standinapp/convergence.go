package standinapp

import (
	"io"
	"os"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/convergence"
)

type benchConvergence struct {
	programs
	Sizes   []int         `help:"Numbers of nodes." name:"nodes" default:"10,30,100"`
	Modes   []string      `help:"Ways to spread configuration." name:"mode" default:"overlay,every-node-polls,one-reader"`
	Changes int           `help:"Changes to publish." default:"20"`
	Idle    time.Duration `help:"Time to stay idle." default:"10s"`
}

// Run measures every size and mode.
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
