package app

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// newLogger returns a logger that writes each message as one line with key=value pairs.
func newLogger(w io.Writer, level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "tamarackpitch", Level: hclog.LevelFromString(level), Output: w, TimeFormat: "2006-01-02T15:04:05.000Z07:00"})
}
