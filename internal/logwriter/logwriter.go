// Package logwriter writes log lines without ever holding up who logs them.
package logwriter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait for the output.
	queueLines = 1024
	// reportInterval paces the lines that tell how many others were dropped.
	reportInterval = time.Second
)

// Writer hands lines to an output on a goroutine of its own. Lines that find the queue full are dropped and counted.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

// New returns a Writer and starts it.
func New(output io.Writer) *Writer {
	w := &Writer{output: output, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
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

// Close writes what is queued, waiting at most for the timeout.
func (w *Writer) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes until Close.
func (w *Writer) run() {
	defer close(w.done)
	var told uint64
	var toldAt time.Time
	for {
		select {
		case line := <-w.lines:
			_, _ = w.output.Write(line)
		case <-w.stop:
			w.flush()
			return
		}
		if d := w.dropped.Load(); d != told && time.Since(toldAt) >= reportInterval {
			_, _ = fmt.Fprintf(w.output, "log-lines-dropped=%d total=%d\n", d-told, d)
			told, toldAt = d, time.Now()
		}
	}
}

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
