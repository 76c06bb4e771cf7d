// Package common holds what every part of a process shares.
package common

import (
	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/settings"
)

// Common carries the logger, the settings, the invariant checker and the time line into constructors.
type Common struct {
	Logger   hclog.Logger
	Settings settings.Node
	Checker  *checker.Checker
	Recorder *recorder.Recorder
}
