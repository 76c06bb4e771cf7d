// Package requester sends short HTTP requests and reads the whole response. It also starts the engines that serve such
// requests.
package requester

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// clientTimeout bounds every request. The context of a request may set a shorter timeout.
	clientTimeout = 15 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 32 << 20
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
	Header http.Header
	Body   []byte
}

// Requester sends each request over a new connection, so that none is sent to a process that has ended in the meantime. It
// refuses malformed responses and follows no redirects. Its methods are safe for concurrent use.
//
// It does not use nbhttp's client, whose loop looks up connections by file descriptor: while a request's connection is
// closed, an event of it that the loop has already fetched would end a new connection that got its descriptor.
type Requester struct {
	client *http.Client
}

// New returns a Requester.
func New() *Requester {
	return &Requester{client: &http.Client{
		Transport:     &http.Transport{DialContext: dialChecked, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Timeout:       clientTimeout,
	}}
}

// Do sends a request and waits for the whole response or the end of the context. Errors are of type *Error.
func (r *Requester) Do(ctx context.Context, method, url string, body []byte) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, &Error{Operation: method + " " + url, Kind: "request", Cause: err}
	}
	response, err := r.do(request)
	switch {
	case err == nil:
		return response, nil
	case ctx.Err() != nil:
		return Response{}, &Error{Operation: method + " " + url, Kind: "timeout", Cause: ctx.Err()}
	}
	return Response{}, &Error{Operation: method + " " + url, Kind: "connection", Cause: err}
}

// do sends a request and reads the whole body of its response.
func (r *Requester) do(request *http.Request) (Response, error) {
	response, err := r.client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, err
	}
	if len(body) > maxResponseBytes {
		return Response{}, fmt.Errorf("response larger than %d bytes", maxResponseBytes)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
