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

// mesh holds the flags by which a command finds the mesh.
type mesh struct {
	Nodes   []string      `help:"Admin addresses of nodes, IP:port; one that answers is enough." name:"node" default:"127.0.0.1:8083" sep:","`
	LogURL  string        `help:"Base URL of the platform's log service." default:"http://127.0.0.1:8090" name:"log-url"`
	Timeout time.Duration `help:"Longest time the command may take." default:"15s"`
}

// command returns an operator and the context of one command.
func (m mesh) command() (*operator.Operator, context.Context, context.CancelFunc, error) {
	engine, err := requester.NewEngine(nil)
	if err != nil {
		return nil, nil, nil, err
	}
	author := os.Getenv("USER")
	if author == "" {
		author = "operator"
	}
	o := operator.New(operator.Config{Nodes: m.Nodes, LogURL: m.LogURL, Requester: requester.New(engine), Author: author})
	ctx, cancel := context.WithTimeout(context.Background(), m.Timeout)
	return o, ctx, cancel, nil
}

// Check is the check command.
type Check struct {
	Paths []string `arg:"" help:"Files or folders of declarations." type:"path"`
}

// Run validates the declarations as one record on an empty configuration.
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
	mesh
	Paths   []string `arg:"" help:"Files or folders of declarations." type:"path"`
	Wait    bool     `help:"Return once every node that answers has the version in force."`
	BasedOn int64    `help:"Configuration version the declarations were made for; -1 stands for the one in force." default:"-1"`
}

// Run publishes the declarations and prints the version.
func (c *Publish) Run(w io.Writer) error {
	declarations, err := decoder.Decoder{Now: time.Now()}.DecodePaths(c.Paths)
	if err != nil {
		return err
	}
	o, ctx, cancel, err := c.command()
	if err != nil {
		return err
	}
	defer cancel()
	accepted, err := c.publish(ctx, o, declarations)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "accepted=true version=%d record=%s\n", accepted.Version, accepted.ID)
	if !c.Wait {
		return nil
	}
	nodes, missing, err := o.Wait(ctx, accepted.Version)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "in-force=true version=%d nodes=%d unreachable=%d\n", accepted.Version, nodes, len(missing))
	return nil
}

func (c *Publish) publish(ctx context.Context, o *operator.Operator, declarations []*schema.Declaration) (operator.Accepted, error) {
	if c.BasedOn < 0 {
		return o.Publish(ctx, declarations)
	}
	return o.PublishOn(ctx, uint64(c.BasedOn), declarations)
}

// Status is the status command.
type Status struct {
	mesh
}

// Run prints the status of all nodes.
func (c *Status) Run(w io.Writer) error {
	o, ctx, cancel, err := c.command()
	if err != nil {
		return err
	}
	defer cancel()
	statuses, missing, err := o.Statuses(ctx)
	if err != nil {
		return err
	}
	operator.WriteStatus(w, statuses, missing)
	return nil
}

// Rollouts is the rollouts command.
type Rollouts struct {
	mesh
}

// Run prints how the rollouts stand.
func (c *Rollouts) Run(w io.Writer) error {
	o, ctx, cancel, err := c.command()
	if err != nil {
		return err
	}
	defer cancel()
	statuses, _, err := o.Statuses(ctx)
	if err != nil {
		return err
	}
	operator.WriteRollouts(w, operator.MergeRollouts(statuses), time.Now())
	return nil
}

// Preset holds the preset commands.
type Preset struct {
	Show PresetShow `cmd:"" help:"Show the presets and the one in force." default:"1"`
	Use  PresetUse  `cmd:"" help:"Put a preset in force."`
}

// PresetShow is the preset show command.
type PresetShow struct {
	mesh
}

// Run prints the presets.
func (c *PresetShow) Run(w io.Writer) error {
	o, ctx, cancel, err := c.command()
	if err != nil {
		return err
	}
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
	mesh
	Name string `arg:"" help:"Preset to put in force."`
}

// Run puts a preset in force.
func (c *PresetUse) Run(w io.Writer) error {
	o, ctx, cancel, err := c.command()
	if err != nil {
		return err
	}
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
	mesh
	Target string `arg:"" help:"Name of the node whose upstream is drained."`
	Undo   bool   `help:"Take the upstream back into service."`
}

// Run drains a node's upstream.
func (c *Drain) Run(w io.Writer) error {
	o, ctx, cancel, err := c.command()
	if err != nil {
		return err
	}
	defer cancel()
	accepted, err := o.Drain(ctx, c.Target, !c.Undo)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "accepted=true version=%d drained=%s draining=%t\n", accepted.Version, c.Target, !c.Undo)
	return nil
}

// Timeline is the timeline command.
type Timeline struct {
	mesh
	OfNode    string        `help:"Only events of this node."`
	OfService string        `help:"Only events of this service."`
	OfRoute   string        `help:"Only events of this route."`
	OfRollout string        `help:"Only events of this rollout."`
	Last      time.Duration `help:"Only events of this last while; 0s stands for all." default:"0s"`
	JSON      bool          `help:"Print one JSON object for each event." name:"json"`
}

// Run prints the events of all nodes.
func (c *Timeline) Run(w io.Writer) error {
	o, ctx, cancel, err := c.command()
	if err != nil {
		return err
	}
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
