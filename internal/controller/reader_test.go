package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReadOfClosedNodeIsAnError guards against a panic of a node that shuts down while its reader is about to read the log.
func TestReadOfClosedNodeIsAnError(t *testing.T) {
	k := &Controller{commands: make(chan func()), done: make(chan struct{})}
	close(k.done)
	qt.Assert(t, newLogReader(k).readOnce(), qt.ErrorMatches, "read: .*")
}
