// Package requester sends short HTTP requests through nbhttp's client and gathers the answers.
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
	// clientTimeout bounds any request; contexts give shorter ones.
	clientTimeout = 15 * time.Second
	handlers      = 64
)

// Error reports a request without an answer. It may have taken effect.
type Error struct {
	Operation string
	Kind      string
	Cause     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Operation, e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Answer is a gathered answer.
type Answer struct {
	Status int
	Body   []byte
}

// Requester sends each request over a connection of its own: nbhttp's pooled client loses
// connections of its pool when peers restart. Its methods are safe for concurrent use.
type Requester struct {
	engine *nbhttp.Engine
}

// New returns a Requester on a started engine.
func New(engine *nbhttp.Engine) *Requester { return &Requester{engine: engine} }

// NewEngine starts an engine that serves a handler on the addresses that are not empty; clients can use it in any case.
func NewEngine(handler http.Handler, addresses ...string) (*nbhttp.Engine, error) {
	logging.SetLevel(logging.LevelNone)
	config := nbhttp.Config{Network: "tcp", NPoller: 1, Handler: handler, MessageHandlerPoolSize: handlers, ReadLimit: 32 << 20}
	config.Addrs = slices.DeleteFunc(addresses, func(a string) bool { return a == "" })
	engine := nbhttp.NewEngine(config)
	if err := engine.Start(); err != nil {
		return nil, &Error{Operation: "listen " + strings.Join(addresses, " "), Kind: "listen", Cause: err}
	}
	return engine, nil
}

type outcome struct {
	answer Answer
	err    error
}

// Do sends a request and waits for the whole answer or the end of the context.
func (r *Requester) Do(ctx context.Context, method, url string, body []byte) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, &Error{Operation: method + " " + url, Kind: "request", Cause: err}
	}
	request.Close = true
	done := make(chan outcome, 1)
	connection := &nbhttp.ClientConn{Engine: r.engine, Timeout: clientTimeout}
	defer closeLater(r.engine, connection)
	r.engine.ExecuteClient(func() {
		connection.Do(request, func(response *http.Response, _ net.Conn, err error) {
			done <- gather(response, err)
		})
	})
	select {
	case <-ctx.Done():
		return Answer{}, &Error{Operation: method + " " + url, Kind: "timeout", Cause: ctx.Err()}
	case o := <-done:
		if o.err != nil {
			return Answer{}, &Error{Operation: method + " " + url, Kind: "connection", Cause: o.err}
		}
		return o.answer, nil
	}
}

// closeLater ends a connection on another goroutine, since its lock may be held for a dial.
func closeLater(engine *nbhttp.Engine, c *nbhttp.ClientConn) {
	engine.ExecuteClient(c.Close)
}

func gather(response *http.Response, err error) outcome {
	if err != nil {
		return outcome{err: err}
	}
	if response.Body == nil {
		// nbhttp gives no body where a chunked one is empty.
		return outcome{answer: Answer{Status: response.StatusCode}}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return outcome{answer: Answer{Status: response.StatusCode, Body: body}, err: err}
}
