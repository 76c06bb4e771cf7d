// Package checker asserts invariants at run time.
//
// A violation is counted and logged. If FatalEnvVar is set, as in tests, it also ends the process.
package checker

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// Invariant names a property of the node that must always hold.
type Invariant string

// Invariants.
const (
	// VersionMonotonic: the configuration version in force never decreases, and each record advances the position.
	VersionMonotonic Invariant = "version-monotonic"
	// RouteResolved: every route in force names existing services.
	RouteResolved Invariant = "route-resolved"
	// AtomicApply: a record that is rejected does not change the configuration version.
	AtomicApply Invariant = "applied-whole"
	// AtMostOnce: a call that is not idempotent is not sent again while it may have run.
	AtMostOnce Invariant = "at-most-once"
	// NotRunAccurate: a call is reported to its caller as not run only if it did not run, or is idempotent.
	NotRunAccurate Invariant = "not-run-true"
	// SingleResponse: a call gets at most one answer.
	SingleResponse Invariant = "one-answer"
	// ResponseComplete: a response gets a length of its own only once its whole body has been read.
	ResponseComplete Invariant = "response-complete"
	// NoCallToDraining: no call is sent to an upstream that is draining.
	NoCallToDraining Invariant = "no-work-to-leaving"
	// RateLimitKept: an upstream that states a rate limit does not get far more calls than that.
	RateLimitKept Invariant = "rate-limit-kept"
)

// FatalEnvVar is the name of the environment variable that, if not empty, makes a violation end the process.
const FatalEnvVar = "TAMARACKPITCH_FATAL_INVARIANTS"

// fatalExitCode distinguishes a violated invariant from other causes of an exit.
const fatalExitCode = 86

// Config configures a Checker.
type Config struct {
	Logger hclog.Logger
	// OnViolation, unless nil, is called for each violation with its detail.
	OnViolation func(Invariant, string)
}

// Checker counts and reports violations. Its methods are safe for concurrent use.
type Checker struct {
	config     Config
	fatal      bool
	violations atomic.Uint64
	mu         sync.Mutex
	// last describes the last violation.
	last string
}

// New returns a Checker.
func New(c Config) *Checker {
	return &Checker{config: c, fatal: os.Getenv(FatalEnvVar) != ""}
}

// Assert reports a violation of an invariant unless holds is true. The format describes the violation.
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

// Violations returns the number of violations and a description of the last one.
func (c *Checker) Violations() (uint64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations.Load(), c.last
}
