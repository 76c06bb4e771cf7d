// Command tamarackpitch runs the node beside an upstream, and provides the operators' commands.
package main

import (
	"os"

	"github.com/tamarackpitch/tamarackpitch/internal/app"
)

func main() { os.Exit(app.Run()) }
