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

// logTimeout bounds one request to the log, in addition to the time for which a read waits for records.
const logTimeout = 2 * time.Second

// dialectPlatform is the value of --dialect that selects the protocol of the users' platform.
const dialectPlatform = "platform"

// dialect holds the parts that depend on --dialect: the protocol of callers, upstreams and the log.
type dialect struct {
	headers forwarder.Dialect
	reduce  controller.ReduceFunc
	// handler serves the platform's requests to the node; nil for tamarackpitch's own protocol.
	handler *platform.Handler
	newLog  func(*requester.Requester) controller.ConfigLog
}

// newDialect returns the dialect of the settings. getController returns nil until the controller has started.
func newDialect(c *common.Common, getController func() *controller.Controller) dialect {
	url := c.Settings.LogURL
	if c.Settings.Dialect == dialectPlatform {
		return dialect{headers: platform.Dialect(), reduce: platform.Reduce,
			handler: platform.NewHandler(platform.HandlerConfig{Logger: c.Logger, Controller: getController, Address: c.Settings.UpstreamListen}),
			newLog: func(r *requester.Requester) controller.ConfigLog {
				store := platform.NewStore(platform.StoreConfig{URL: url, Requester: r, Timeout: logTimeout, Logger: c.Logger})
				return platform.NewConfigLog(platform.ConfigLogConfig{Store: store, Logger: c.Logger})
			}}
	}
	return dialect{headers: forwarder.OwnDialect(), reduce: reducer.Apply,
		newLog: func(r *requester.Requester) controller.ConfigLog {
			return logclient.NewConfigLog(logclient.New(logclient.Config{URL: url, Requester: r, Timeout: logTimeout}))
		}}
}

// platformHandler returns the handler of the platform's requests, or nil.
func (d dialect) platformHandler() http.Handler {
	if d.handler == nil {
		return nil
	}
	return d.handler
}
