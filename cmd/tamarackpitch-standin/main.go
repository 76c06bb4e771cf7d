// Command tamarackpitch-standin stands in for the platform, upstreams, callers and networks in tests.
package main

import (
	"os"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/standinapp"
)

func main() { os.Exit(standinapp.Run()) }
