// Package checker asserts invariants while the program runs.
//
// A violation is counted and logged; in tests it also ends the process.
package checker

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// Invariant names a promise of the program.
type Invariant string

// Invariants.
const (
	VersionMonotonic Invariant = "version-monotonic"
	RouteResolved    Invariant = "route-resolved"
	AppliedWhole     Invariant = "applied-whole"
	AtMostOnce       Invariant = "at-most-once"
	NotRunTrue       Invariant = "not-run-true"
	OneAnswer        Invariant = "one-answer"
	NoWorkToLeaving  Invariant = "no-work-to-leaving"
)

// FatalEnvironment names the environment variable that makes a violation end the process.
const FatalEnvironment = "TAMARACKPITCH_FATAL_INVARIANTS"

// fatalExitCode tells a violated invariant from other exits.
const fatalExitCode = 86

// Config builds a Checker.
type Config struct {
	Logger hclog.Logger
	// OnViolation is called for each violation, and may be nil.
	OnViolation func(Invariant, string)
}

// Checker counts violations. Its methods are safe for concurrent use.
type Checker struct {
	config     Config
	fatal      bool
	violations atomic.Uint64
	mu         sync.Mutex
	last       string
}

// New returns a Checker.
func New(c Config) *Checker {
	return &Checker{config: c, fatal: os.Getenv(FatalEnvironment) != ""}
}

// Assert reports a violation unless the condition holds.
func (c *Checker) Assert(holds bool, invariant Invariant, format string, arguments ...any) {
	if holds {
		return
	}
	detail := fmt.Sprintf(format, arguments...)
	c.violations.Add(1)
	c.mu.Lock()
	c.last = string(invariant) + ": " + detail
	c.mu.Unlock()
	c.config.Logger.Error("invariant violated", "invariant", string(invariant), "detail", detail)
	if c.config.OnViolation != nil {
		c.config.OnViolation(invariant, detail)
	}
	if c.fatal {
		os.Exit(fatalExitCode)
	}
}

// Violations returns the count and the last violation.
func (c *Checker) Violations() (uint64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations.Load(), c.last
}
