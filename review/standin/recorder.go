package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: one line an event, with the seconds since the start of the case.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f}, nil
}

func (r *recorder) log(who, format string, arguments ...any) {
	r.logAt(time.Now(), who, format, arguments...)
}

func (r *recorder) logAt(at time.Time, who, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f %-14s %s\n", at.Sub(r.start).Seconds(), who, fmt.Sprintf(format, arguments...))
}

func shorten(text string, n int) string {
	if len(text) > n {
		return text[:n] + ".."
	}
	return text
}
