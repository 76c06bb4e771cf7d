package standinapp

import (
	"fmt"
	"io"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/stutterer"
)

type stutterCommand struct {
	programFlags
	Template string        `help:"Template of a node's settings." default:"deploy/node.yaml"`
	Seed     uint64        `help:"Seed of the requests, of the upstreams' responses and of the disruptions." default:"1"`
	Duration time.Duration `help:"Time for which requests are sent." default:"2m"`
	VMs      int           `help:"Number of VMs." name:"vms" default:"9"`
	Callers  int           `help:"Number of callers on each VM." default:"4"`
	Returns  bool          `help:"Have the store return from older copies." default:"true" negatable:""`
	Disrupt  bool          `help:"Disrupt nodes, upstreams and connections." default:"true" negatable:""`
}

// Run runs the soak and returns an error if it finds violations.
func (c *stutterCommand) Run(w io.Writer) error {
	found, err := stutterer.Run(stutterer.Config{Product: c.Product, Template: c.Template, Output: w, Seed: c.Seed, Duration: c.Duration,
		VMs: c.VMs, Callers: c.Callers, Disrupt: c.Disrupt, ReturnStore: c.Returns, Chances: stutterer.DefaultChances()})
	if err == nil && len(found.Violations) > 0 {
		err = fmt.Errorf("the soak found violations: %v", found.Violations)
	}
	return err
}
