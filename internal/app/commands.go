package app

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/operator"
	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/pkg/decoder"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// meshFlags holds the flags of all commands that access the mesh.
type meshFlags struct {
	Nodes   []string      `help:"Admin addresses of nodes, IP:port; one reachable node is enough." name:"node" default:"127.0.0.1:8083" sep:","`
	LogURL  string        `help:"Base URL of the platform's log service." default:"http://127.0.0.1:8090" name:"log-url"`
	Timeout time.Duration `help:"Time limit of the command." default:"15s"`
}

// newOperator returns an operator and a context that ends at the command's time limit. The caller must cancel it.
func (m meshFlags) newOperator() (*operator.Operator, context.Context, context.CancelFunc) {
	author := os.Getenv("USER")
	if author == "" {
		author = "operator"
	}
	o := operator.New(operator.Config{Nodes: m.Nodes, LogURL: m.LogURL, Requester: requester.New(), Author: author})
	ctx, cancel := context.WithTimeout(context.Background(), m.Timeout)
	return o, ctx, cancel
}

// Check is the check command.
type Check struct {
	Paths []string `arg:"" help:"Files or folders of declarations." type:"path"`
}

// Run validates the declarations as if they were published together on an empty configuration.
func (c *Check) Run(w io.Writer) error {
	now := time.Now()
	declarations, err := decoder.Decoder{Now: now}.DecodePaths(c.Paths)
	if err != nil {
		return err
	}
	if err := reducer.Check(declarations, now.UnixMilli()); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "declarations=%d valid=true\n", len(declarations))
	return nil
}

// Publish is the publish command.
type Publish struct {
	meshFlags
	Paths   []string `arg:"" help:"Files or folders of declarations." type:"path"`
	Wait    bool     `help:"Wait until the version is in force on every reachable node."`
	BasedOn int64    `help:"Configuration version that the declarations were made for; -1 stands for the one in force." default:"-1"`
}

// Run publishes the declarations and prints the resulting version.
func (c *Publish) Run(w io.Writer) error {
	declarations, err := decoder.Decoder{Now: time.Now()}.DecodePaths(c.Paths)
	if err != nil {
		return err
	}
	o, ctx, cancel := c.newOperator()
	defer cancel()
	accepted, err := c.publish(ctx, o, declarations)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "accepted=true version=%d record=%s\n", accepted.Version, accepted.ID)
	if !c.Wait {
		return nil
	}
	nodes, unreachable, err := o.Wait(ctx, accepted.Version)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "in-force=true version=%d nodes=%d unreachable=%d\n", accepted.Version, nodes, len(unreachable))
	return nil
}

func (c *Publish) publish(ctx context.Context, o *operator.Operator,
	declarations []*schema.Declaration) (operator.PublishResult, error) {
	if c.BasedOn < 0 {
		return o.Publish(ctx, declarations)
	}
	return o.PublishBasedOn(ctx, uint64(c.BasedOn), declarations)
}

// Status is the status command.
type Status struct {
	meshFlags
}

// Run prints the status of all reachable nodes and names the others.
func (c *Status) Run(w io.Writer) error {
	o, ctx, cancel := c.newOperator()
	defer cancel()
	statuses, unreachable, err := o.Statuses(ctx)
	if err != nil {
		return err
	}
	operator.WriteStatus(w, statuses, unreachable)
	return nil
}

// Rollouts is the rollouts command.
type Rollouts struct {
	meshFlags
}

// Run prints the state of the rollouts.
func (c *Rollouts) Run(w io.Writer) error {
	o, ctx, cancel := c.newOperator()
	defer cancel()
	statuses, _, err := o.Statuses(ctx)
	if err != nil {
		return err
	}
	operator.WriteRollouts(w, operator.MergeRollouts(statuses), time.Now())
	return nil
}

// Customers is the customers command.
type Customers struct {
	meshFlags
}

// Run prints the customers of the configuration, without their keys.
func (c *Customers) Run(w io.Writer) error {
	o, ctx, cancel := c.newOperator()
	defer cancel()
	state, err := o.State(ctx)
	if err != nil {
		return err
	}
	operator.WriteCustomers(w, state)
	return nil
}

// Preset holds the preset commands.
type Preset struct {
	Show PresetShow `cmd:"" help:"Show the presets and which one is active." default:"1"`
	Use  PresetUse  `cmd:"" help:"Activate a preset."`
}

// PresetShow is the preset show command.
type PresetShow struct {
	meshFlags
}

// Run prints the presets.
func (c *PresetShow) Run(w io.Writer) error {
	o, ctx, cancel := c.newOperator()
	defer cancel()
	state, err := o.State(ctx)
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(state.Presets)) {
		p := state.Presets[name]
		_, _ = fmt.Fprintf(w, "preset=%s in-force=%t classes=%s step-interval=%dms watch=%dms min-calls=%d first-share=%g retry-budget=%g queue-length=%d rollback-threshold=%g\n",
			name, name == state.ActivePreset, strings.Join(p.Classes, ","), p.StepIntervalMs, p.WatchMs, p.MinCalls, p.FirstShare,
			p.RetryBudget, p.QueueLength, p.RollbackThreshold)
	}
	return nil
}

// PresetUse is the preset use command.
type PresetUse struct {
	meshFlags
	Name string `arg:"" help:"Preset to activate."`
}

// Run activates a preset.
func (c *PresetUse) Run(w io.Writer) error {
	o, ctx, cancel := c.newOperator()
	defer cancel()
	accepted, err := o.Publish(ctx, []*schema.Declaration{{Item: &schema.Declaration_ActivePreset{ActivePreset: c.Name}}})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "accepted=true version=%d preset=%s\n", accepted.Version, c.Name)
	return nil
}

// Drain is the drain command.
type Drain struct {
	meshFlags
	Target string `arg:"" help:"Name of the node whose upstream to drain."`
	Undo   bool   `help:"Put the upstream back into service."`
}

// Run drains a node's upstream or puts it back into service.
func (c *Drain) Run(w io.Writer) error {
	o, ctx, cancel := c.newOperator()
	defer cancel()
	accepted, err := o.Drain(ctx, c.Target, !c.Undo)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "accepted=true version=%d drained=%s draining=%t\n", accepted.Version, c.Target, !c.Undo)
	return nil
}

// Evacuate is the evacuate command.
type Evacuate struct {
	meshFlags
	Zone string `arg:"" help:"Availability zone whose upstreams get no new calls."`
	Undo bool   `help:"Put the zone's upstreams back into service."`
}

// Run evacuates an availability zone or puts its upstreams back into service.
func (c *Evacuate) Run(w io.Writer) error {
	o, ctx, cancel := c.newOperator()
	defer cancel()
	accepted, err := o.Evacuate(ctx, c.Zone, !c.Undo)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "accepted=true version=%d zone=%s evacuated=%t\n", accepted.Version, c.Zone, !c.Undo)
	return nil
}

// Timeline is the timeline command.
type Timeline struct {
	meshFlags
	OfNode    string        `help:"Only events of this node."`
	OfService string        `help:"Only events of this service."`
	OfRoute   string        `help:"Only events of this route."`
	OfRollout string        `help:"Only events of this rollout."`
	Last      time.Duration `help:"Only events that are not older than this; 0s stands for all." default:"0s"`
	JSON      bool          `help:"Print one JSON object for each event." name:"json"`
}

// Run prints the events of all reachable nodes that match the flags.
func (c *Timeline) Run(w io.Writer) error {
	o, ctx, cancel := c.newOperator()
	defer cancel()
	events, err := o.Timeline(ctx)
	if err != nil {
		return err
	}
	f := operator.Filter{Node: c.OfNode, Service: c.OfService, Route: c.OfRoute, Rollout: c.OfRollout}
	if c.Last > 0 {
		f.Since = time.Now().Add(-c.Last)
	}
	return operator.WriteTimeline(w, events, f, c.JSON)
}
