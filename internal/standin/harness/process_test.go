package harness

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestProcessThatDoesNotStart guards against a stand-in that ends a program that has never run, which would hide why it didn't start.
func TestProcessThatDoesNotStart(t *testing.T) {
	p, err := StartProcess(t.TempDir(), "missing", "./no-such-program")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, p.Running(), qt.IsFalse)
}
