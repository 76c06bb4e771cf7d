// Package app wires the product's commands together.
package app

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/tamarackpitch/tamarackpitch/internal/settings"
)

// commandLine is the whole command line of tamarackpitch.
type commandLine struct {
	Node     Node     `cmd:"" help:"Run the node that stands beside an upstream."`
	Check    Check    `cmd:"" help:"Validate declarations without any network."`
	Publish  Publish  `cmd:"" help:"Publish declarations as one record."`
	Status   Status   `cmd:"" help:"Show which version is in force on which nodes."`
	Rollouts Rollouts `cmd:"" help:"Show how the rollouts stand."`
	Preset   Preset   `cmd:"" help:"Show the presets or put one in force."`
	Drain    Drain    `cmd:"" help:"Drain a node's upstream, or take it back into service."`
	Timeline Timeline `cmd:"" help:"Show the events of all nodes in causal order."`
}

// exitUsage is the exit code of a command line that can't be used.
const exitUsage = 2

// Where flags get their values besides the command line, for the commands and for reloads alike.
var (
	settingsFromEnvironment = kong.DefaultEnvars("TAMARACKPITCH")
	settingsFromFile        = kong.Configuration(settings.Loader)
)

// Main parses the arguments, runs the command and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	line := &commandLine{}
	exit := -1
	parser, err := kong.New(line,
		kong.Name("tamarackpitch"),
		kong.Description("Distributes the configuration of a service mesh and carries its calls."),
		settingsFromEnvironment,
		settingsFromFile,
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	context, err := parser.Parse(arguments)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "tamarackpitch: %v\n", err)
		return exitUsage
	}
	if err := context.Run(); err != nil {
		_, _ = fmt.Fprintf(stderr, "tamarackpitch: %v\n", err)
		return 1
	}
	return 0
}

// Run is Main with the process's own arguments and outputs.
func Run() int { return Main(os.Args[1:], os.Stdout, os.Stderr) }
