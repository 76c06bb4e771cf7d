package logwriter_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/logwriter"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	buffer  bytes.Buffer
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.release
	return o.buffer.Write(b)
}

// TestBlockedOutputDoesNotBlockCallers guards against a blocked output, such as a full pipe, blocking the goroutines
// that log: more lines than the queue holds are dropped and counted.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
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
	written := uint64(bytes.Count(output.buffer.Bytes(), []byte("line\n")))
	qt.Assert(t, written+w.Dropped(), qt.Equals, uint64(lines))
}
