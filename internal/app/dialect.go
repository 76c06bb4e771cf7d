package app

import (
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/forwarder"
	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/platform"
)

// logTimeout bounds one call to the log, beyond the time a read waits for records.
const logTimeout = 2 * time.Second

// dialectPlatform selects the interface of the users' platform.
const dialectPlatform = "platform"

// dialect is everything in which deployments differ: what callers, upstreams and the log speak.
type dialect struct {
	headers forwarder.Dialect
	reduce  controller.ReduceFunc
	// handler serves the platform's calls to the node, or is nil.
	handler http.Handler
	newLog  func(*requester.Requester) controller.ConfigLog
}

func newDialect(c *common.Common, k func() *controller.Controller) dialect {
	url := c.Settings.LogURL
	if c.Settings.Dialect == dialectPlatform {
		return dialect{headers: platform.Dialect(), reduce: platform.Reduce,
			handler: platform.NewHandler(platform.HandlerConfig{Logger: c.Logger, Controller: k}),
			newLog: func(r *requester.Requester) controller.ConfigLog {
				store := platform.NewStore(platform.StoreConfig{URL: url, Requester: r, Timeout: logTimeout})
				return platform.NewConfigLog(platform.ConfigLogConfig{Store: store, Logger: c.Logger})
			}}
	}
	return dialect{headers: forwarder.OwnDialect(), reduce: reducer.Apply,
		newLog: func(r *requester.Requester) controller.ConfigLog {
			return logclient.NewConfigLog(logclient.New(logclient.Config{URL: url, Requester: r, Timeout: logTimeout}))
		}}
}
