// Package seeder fixes the seeds of randomised tests, so that their verdict is the same every run.
package seeder

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with rapid's seed fixed. The flag -rapid.seed still chooses another one.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
