package logwriter_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/logwriter"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	taken   bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.taken.Write(b)
}

// TestStuckOutputHoldsNobodyUp logs far more than the queue takes while the output is stuck.
func TestStuckOutputHoldsNobodyUp(t *testing.T) {
	output := &stuck{release: make(chan struct{})}
	w := logwriter.New(output)
	began := time.Now()
	const lines = 10_000
	for range lines {
		_, err := w.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	qt.Assert(t, w.Dropped() > 0, qt.IsTrue)
	close(output.release)
	w.Close(10 * time.Second)
	written := uint64(bytes.Count(output.taken.Bytes(), []byte("line\n")))
	qt.Assert(t, written+w.Dropped(), qt.Equals, uint64(lines))
}
