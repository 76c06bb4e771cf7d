// Command tamarackpitch is the node beside an upstream and the operators' tool.
package main

import (
	"os"

	"github.com/tamarackpitch/tamarackpitch/internal/app"
)

func main() { os.Exit(app.Run()) }
