// Package app implements the command line of tamarackpitch: the node and the operators' commands.
package app

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/tamarackpitch/tamarackpitch/internal/settings"
)

// commandLine defines the commands. kong fills it from arguments, environment variables and the settings file.
type commandLine struct {
	Node      Node      `cmd:"" help:"Run the node beside an upstream."`
	Check     Check     `cmd:"" help:"Validate declarations without network access."`
	Config    Config    `cmd:"" help:"Check configurations."`
	Publish   Publish   `cmd:"" help:"Publish declarations as one configuration record."`
	Status    Status    `cmd:"" help:"Show the configuration version in force on each node."`
	Rollouts  Rollouts  `cmd:"" help:"Show the state of the rollouts."`
	Customers Customers `cmd:"" help:"Show the customers and their limits."`
	Preset    Preset    `cmd:"" help:"Show the presets or activate one."`
	Drain     Drain     `cmd:"" help:"Drain a node's upstream, or put it back into service."`
	Evacuate  Evacuate  `cmd:"" help:"Evacuate an availability zone, or put it back into service."`
	Timeline  Timeline  `cmd:"" help:"Show the events of all nodes in causal order."`
}

// exitUsage is the exit code for an invalid command line or settings file.
const exitUsage = 2

// Sources of flag values besides the command line, used at the start and for reloads.
var (
	settingsFromEnvironment = kong.DefaultEnvars("TAMARACKPITCH")
	settingsFromFile        = kong.Configuration(settings.Loader)
)

// Main parses the arguments, runs the command and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	line := &commandLine{}
	// exitCode is set if kong ends the command itself, as --help does.
	exitCode := -1
	parser, err := kong.New(line,
		kong.Name("tamarackpitch"),
		kong.Description("Distributes the configuration of a service mesh and forwards its calls."),
		settingsFromEnvironment,
		settingsFromFile,
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exitCode = code }),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	context, err := parser.Parse(arguments)
	if exitCode >= 0 {
		return exitCode
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

// Run calls Main with the arguments and standard streams of the process.
func Run() int { return Main(os.Args[1:], os.Stdout, os.Stderr) }
