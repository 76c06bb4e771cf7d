// Package logwriter writes log lines without blocking the goroutines that log them.
package logwriter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that are queued for the output.
	maxQueuedLines = 1024
	// reportInterval is the minimum interval between reports of dropped lines.
	reportInterval = time.Second
)

// Writer writes lines to an output on a goroutine of its own. When the queue is full, further lines are dropped and
// counted. Its methods are safe for concurrent use; Close may be called once.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

// New returns a Writer and starts its goroutine, which ends with Close.
func New(output io.Writer) *Writer {
	w := &Writer{output: output, lines: make(chan []byte, maxQueuedLines),
		stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close stops the Writer and waits up to timeout for the queued lines to be written.
func (w *Writer) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes queued lines until Close, and reports dropped ones.
func (w *Writer) run() {
	defer close(w.done)
	var reported uint64
	var reportedAt time.Time
	for {
		select {
		case line := <-w.lines:
			_, _ = w.output.Write(line)
		case <-w.stop:
			w.flush()
			return
		}
		if d := w.dropped.Load(); d != reported && time.Since(reportedAt) >= reportInterval {
			_, _ = fmt.Fprintf(w.output, "log-lines-dropped=%d total=%d\n", d-reported, d)
			reported, reportedAt = d, time.Now()
		}
	}
}

// flush writes the lines that are still queued.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.output.Write(line)
		default:
			return
		}
	}
}
