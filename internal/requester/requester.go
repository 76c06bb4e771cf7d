// Package requester sends short HTTP requests through nbhttp's client and reads the whole response.
package requester

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// clientTimeout bounds every request. The context of a request may set a shorter timeout.
	clientTimeout   = 15 * time.Second
	handlerPoolSize = 64
)

// Error reports a request without a complete response. The request may have taken effect.
type Error struct {
	Operation string
	Kind      string
	Cause     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Operation, e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is a response with its whole body.
type Response struct {
	Status int
	Body   []byte
}

// Requester sends each request over a new connection, because nbhttp's pooled client loses connections
// from its pool when peers restart. Its methods are safe for concurrent use.
type Requester struct {
	engine *nbhttp.Engine
}

// New returns a Requester on a started engine.
func New(engine *nbhttp.Engine) *Requester { return &Requester{engine: engine} }

// NewEngine starts an engine that serves a handler on each non-empty address. Without any address the engine serves
// nothing and can still be used by a Requester.
func NewEngine(handler http.Handler, addresses ...string) (*nbhttp.Engine, error) {
	logging.SetLevel(logging.LevelNone)
	config := nbhttp.Config{Network: "tcp", NPoller: 1, Handler: handler, MessageHandlerPoolSize: handlerPoolSize,
		ReadLimit: 32 << 20}
	config.Addrs = slices.DeleteFunc(addresses, func(a string) bool { return a == "" })
	engine := nbhttp.NewEngine(config)
	if err := engine.Start(); err != nil {
		return nil, &Error{Operation: "listen " + strings.Join(addresses, " "), Kind: "listen", Cause: err}
	}
	return engine, nil
}

// result is what Do receives from the engine's goroutine.
type result struct {
	response Response
	err      error
}

// Do sends a request and waits for the whole response or the end of the context. Errors are of type *Error.
func (r *Requester) Do(ctx context.Context, method, url string, body []byte) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, &Error{Operation: method + " " + url, Kind: "request", Cause: err}
	}
	request.Close = true
	done := make(chan result, 1)
	connection := &nbhttp.ClientConn{Engine: r.engine, Timeout: clientTimeout}
	defer closeAsync(r.engine, connection)
	r.engine.ExecuteClient(func() {
		connection.Do(request, func(response *http.Response, _ net.Conn, err error) {
			done <- readResponse(response, err)
		})
	})
	select {
	case <-ctx.Done():
		return Response{}, &Error{Operation: method + " " + url, Kind: "timeout", Cause: ctx.Err()}
	case d := <-done:
		if d.err != nil {
			return Response{}, &Error{Operation: method + " " + url, Kind: "connection", Cause: d.err}
		}
		return d.response, nil
	}
}

// closeAsync closes a connection on another goroutine, because Close blocks while a dial holds the connection's lock.
func closeAsync(engine *nbhttp.Engine, c *nbhttp.ClientConn) {
	engine.ExecuteClient(c.Close)
}

// readResponse reads the whole body of a response.
func readResponse(response *http.Response, err error) result {
	if err != nil {
		return result{err: err}
	}
	if response.Body == nil {
		// nbhttp leaves Body nil for an empty chunked body.
		return result{response: Response{Status: response.StatusCode}}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{response: Response{Status: response.StatusCode, Body: body}, err: err}
}
