// Package seeder fixes the seed of property-based tests, so that every run has the same result.
package seeder

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with a fixed seed for rapid. The flag -rapid.seed overrides it.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
