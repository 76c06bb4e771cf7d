// Package logclient is a client of the platform's append-only log over HTTP.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/requester"
)

// Streams of the log.
const (
	// ConfigStream holds the configuration records.
	ConfigStream = "config"
	// JoinStream holds the control addresses through which starting nodes join the mesh.
	JoinStream = "join"
)

// maxPageRecords bounds the records that one read returns.
const maxPageRecords = 256

// Config configures a Client.
type Config struct {
	URL       string
	Requester *requester.Requester
	// Timeout bounds one request. A read may additionally wait for records.
	Timeout time.Duration
}

// Client appends to and reads from streams. Its methods are safe for concurrent use.
type Client struct {
	config Config
}

// New returns a Client.
func New(c Config) *Client { return &Client{config: c} }

// Append appends a record and returns its offset. After an error of KindUnavailable the record may or may not have
// been appended, or may still be. An append with the id of a retained record has no effect and returns that record's
// offset, so that an append can be repeated; with an empty id each append adds a record.
func (c *Client) Append(ctx context.Context, stream, id string, body []byte) (uint64, error) {
	path := fmt.Sprintf("%s/streams/%s/records?id=%s", c.config.URL, stream, url.QueryEscape(id))
	var appended AppendResponse
	err := c.do(ctx, "append", http.MethodPost, path, body, c.config.Timeout, &appended)
	return appended.Offset, err
}

// Read returns records from an offset on. If there are none yet, it waits up to wait for the first one. With an error
// of KindExpired the page holds the bounds of the retained records, if the response told them.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	path := fmt.Sprintf("%s/streams/%s/records?from=%d&max=%d&wait-ms=%d",
		c.config.URL, stream, from, maxPageRecords, wait.Milliseconds())
	var page Page
	err := c.do(ctx, "read", http.MethodGet, path, nil, c.config.Timeout+wait, &page)
	return page, err
}

// Bounds returns the offset of the first retained record of a stream, and that of the next record to be appended.
func (c *Client) Bounds(ctx context.Context, stream string) (first, next uint64, err error) {
	var page Page
	path := fmt.Sprintf("%s/streams/%s", c.config.URL, stream)
	err = c.do(ctx, "bounds", http.MethodGet, path, nil, c.config.Timeout, &page)
	return page.First, page.Next, err
}

// do sends a request and decodes the response into a value.
func (c *Client) do(ctx context.Context, operation, method, address string, body []byte, timeout time.Duration,
	into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.config.Requester.Do(ctx, method, address, body)
	if err != nil {
		return &Error{Operation: operation, Kind: KindUnavailable, Cause: err}
	}
	return decode(operation, response, into)
}

// decode unmarshals a response into a value and maps error statuses to kinds.
func decode(operation string, r requester.Response, into any) error {
	cause := fmt.Errorf("status %d: %s", r.Status, bytes.TrimSpace(r.Body))
	switch r.Status {
	case http.StatusOK:
		if err := json.Unmarshal(r.Body, into); err != nil {
			return &Error{Operation: operation, Kind: KindUnavailable, Cause: err}
		}
		return nil
	case http.StatusGone:
		// The response carries the bounds of the retained records, from which the reader recovers.
		_ = json.Unmarshal(r.Body, into)
		return &Error{Operation: operation, Kind: KindExpired, Cause: cause}
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge:
		return &Error{Operation: operation, Kind: KindRefused, Cause: cause}
	}
	return &Error{Operation: operation, Kind: KindUnavailable, Cause: cause}
}
