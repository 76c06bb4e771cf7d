package requester

import (
	"net"
	"net/http"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	handlerPoolSize = 64
	// maxRequestBytes bounds what an engine buffers of a request.
	maxRequestBytes = 32 << 20
)

// NewEngine starts an engine that serves a handler on each non-empty address. If one is in use, it returns an *Error and listens on none.
func NewEngine(handler http.Handler, addresses ...string) (*nbhttp.Engine, error) {
	logging.SetLevel(logging.LevelNone)
	listeners, err := listen(addresses)
	if err != nil {
		return nil, err
	}
	config := nbhttp.Config{Network: "tcp", NPoller: 1, Handler: handler, MessageHandlerPoolSize: handlerPoolSize,
		ReadLimit: maxRequestBytes, Listen: func(_, address string) (net.Listener, error) { return listeners[address], nil }}
	for address := range listeners {
		config.Addrs = append(config.Addrs, address)
	}
	engine := nbhttp.NewEngine(config)
	if err := engine.Start(); err != nil {
		closeAll(listeners)
		return nil, &Error{Operation: "start engine", Kind: "listen", Cause: err}
	}
	return engine, nil
}

// listen listens on each non-empty address, or on none. An engine that opens its listeners itself does not return if that fails.
func listen(addresses []string) (map[string]net.Listener, error) {
	listeners := map[string]net.Listener{}
	for _, address := range addresses {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			closeAll(listeners)
			return nil, &Error{Operation: "listen " + address, Kind: "listen", Cause: err}
		}
		listeners[l.Addr().String()] = l
	}
	return listeners, nil
}

func closeAll(listeners map[string]net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}
