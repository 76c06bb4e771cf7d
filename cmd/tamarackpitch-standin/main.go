// Command tamarackpitch-standin simulates the log, upstreams, callers and networks, and runs demo, soak test and
// benchmarks.
package main

import (
	"os"

	"github.com/tamarackpitch/tamarackpitch/internal/standin/standinapp"
)

func main() { os.Exit(standinapp.Run()) }
