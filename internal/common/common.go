// Package common holds the dependencies that all components of a node share.
package common

import (
	"github.com/hashicorp/go-hclog"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/settings"
)

// Common passes the logger, the settings, the invariant checker and the timeline of a node to constructors.
type Common struct {
	Logger   hclog.Logger
	Settings settings.Node
	Checker  *checker.Checker
	Recorder *recorder.Recorder
}
