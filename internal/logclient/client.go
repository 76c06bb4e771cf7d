// Package logclient talks to the platform's append-only log over HTTP.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/requester"
)

// Streams of the log.
const (
	// ConfigStream holds the configuration records.
	ConfigStream = "config"
	// JoinStream holds control addresses of nodes that new nodes may join.
	JoinStream = "join"
)

// maxPageRecords bounds the records of one read.
const maxPageRecords = 256

// Config builds a Client.
type Config struct {
	URL       string
	Requester *requester.Requester
	// Timeout bounds one request, beyond the time a read waits for records.
	Timeout time.Duration
}

// Client appends to and reads from streams. Its methods are safe for concurrent use.
type Client struct {
	config Config
}

// New returns a Client.
func New(c Config) *Client { return &Client{config: c} }

// Append adds a record and returns its offset. After KindUnavailable the record may or may not be there.
func (c *Client) Append(ctx context.Context, stream string, body []byte) (uint64, error) {
	path := fmt.Sprintf("%s/streams/%s/records", c.config.URL, stream)
	var appended Appended
	err := c.do(ctx, "append", http.MethodPost, path, body, c.config.Timeout, &appended)
	return appended.Offset, err
}

// Read returns records from an offset on. It waits up to wait for the first one.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	path := fmt.Sprintf("%s/streams/%s/records?from=%d&max=%d&wait-ms=%d",
		c.config.URL, stream, from, maxPageRecords, wait.Milliseconds())
	var page Page
	err := c.do(ctx, "read", http.MethodGet, path, nil, c.config.Timeout+wait, &page)
	return page, err
}

// Bounds returns the first retained and the next offset of a stream.
func (c *Client) Bounds(ctx context.Context, stream string) (first, next uint64, err error) {
	var page Page
	path := fmt.Sprintf("%s/streams/%s", c.config.URL, stream)
	err = c.do(ctx, "bounds", http.MethodGet, path, nil, c.config.Timeout, &page)
	return page.First, page.Next, err
}

func (c *Client) do(ctx context.Context, operation, method, url string, body []byte, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.config.Requester.Do(ctx, method, url, body)
	if err != nil {
		return &Error{Operation: operation, Kind: KindUnavailable, Cause: err}
	}
	return decode(operation, answer, into)
}

func decode(operation string, a requester.Answer, into any) error {
	cause := fmt.Errorf("status %d: %s", a.Status, bytes.TrimSpace(a.Body))
	switch a.Status {
	case http.StatusOK:
		if err := json.Unmarshal(a.Body, into); err != nil {
			return &Error{Operation: operation, Kind: KindUnavailable, Cause: err}
		}
		return nil
	case http.StatusGone:
		// The answer carries the bounds, so that the reader knows where to go on.
		_ = json.Unmarshal(a.Body, into)
		return &Error{Operation: operation, Kind: KindExpired, Cause: cause}
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge:
		return &Error{Operation: operation, Kind: KindRefused, Cause: cause}
	}
	return &Error{Operation: operation, Kind: KindUnavailable, Cause: cause}
}
