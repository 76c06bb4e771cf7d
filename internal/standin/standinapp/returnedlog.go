package standinapp

import (
	"io"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/returner"
)

type benchReturnedLog struct {
	Sizes    []int           `help:"Numbers of nodes." name:"nodes" default:"30,100,300"`
	Away     []time.Duration `help:"Times for which the store refuses all calls before it returns." default:"0s,2s"`
	Phase    time.Duration   `help:"Time over which the costs of each phase are counted." default:"10s"`
	LogLevel string          `help:"Lowest level of the nodes' log lines to write to standard error." default:"off" enum:"off,debug,info,warn,error"`
}

// Run measures each number of nodes with each time away.
func (c *benchReturnedLog) Run(w io.Writer) error {
	logger := hclog.New(&hclog.LoggerOptions{Name: "bench", Output: os.Stderr, Level: hclog.LevelFromString(c.LogLevel)})
	for _, n := range c.Sizes {
		for _, away := range c.Away {
			err := returner.Run(returner.Config{Output: w, Nodes: n, Away: away, Phase: c.Phase, Logger: logger})
			if err != nil {
				return err
			}
		}
	}
	return nil
}
