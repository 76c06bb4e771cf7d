// Package operator implements the operators' commands: it queries nodes and appends records to the log.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// nodeTimeout and logTimeout bound one request.
	nodeTimeout = 3 * time.Second
	logTimeout  = 3 * time.Second
	// maxParallelRequests bounds the requests to nodes in flight.
	maxParallelRequests = 32
)

// Config configures an Operator.
type Config struct {
	// Nodes are admin addresses, IP:port. One reachable node is enough to find the others.
	Nodes     []string
	LogURL    string
	Requester *requester.Requester
	// Author is stored in published records.
	Author string
}

// Operator runs commands against a mesh. Its methods are safe for concurrent use.
type Operator struct {
	config Config
	log    *logclient.Client
}

// New returns an Operator.
func New(c Config) *Operator {
	log := logclient.New(logclient.Config{URL: c.LogURL, Requester: c.Requester, Timeout: logTimeout})
	return &Operator{config: c, log: log}
}

// get returns the body of a node's response to an admin request.
func (o *Operator) get(ctx context.Context, node, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	response, err := o.config.Requester.Do(ctx, http.MethodGet, "http://"+node+path, nil)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, &Error{Operation: "ask " + node, Kind: KindUnreachable, Detail: string(response.Body)}
	}
	return response.Body, nil
}

// getFromAny returns the response of the first configured node that gives one.
func (o *Operator) getFromAny(ctx context.Context, path string) ([]byte, error) {
	lastErr := error(&Error{Operation: "ask", Kind: KindUnreachable, Detail: "no node given; use --node"})
	for _, n := range o.config.Nodes {
		body, err := o.get(ctx, n, path)
		if err == nil {
			return body, nil
		}
		lastErr = &Error{Operation: "ask " + n, Kind: KindUnreachable, Detail: err.Error()}
	}
	return nil, lastErr
}

// State returns the newest configuration state held by the configured nodes.
func (o *Operator) State(ctx context.Context) (*reducer.State, error) {
	var newest *reducer.State
	lastErr := error(&Error{Operation: "state", Kind: KindUnreachable, Detail: "no node given; use --node"})
	for _, n := range o.config.Nodes {
		s, err := o.stateOf(ctx, n)
		if err != nil {
			lastErr = &Error{Operation: "state of " + n, Kind: KindUnreachable, Detail: err.Error()}
			continue
		}
		if newest == nil || s.Position > newest.Position {
			newest = s
		}
	}
	if newest == nil {
		return nil, lastErr
	}
	return newest, nil
}

func (o *Operator) stateOf(ctx context.Context, node string) (*reducer.State, error) {
	body, err := o.get(ctx, node, "/state")
	if err != nil {
		return nil, err
	}
	message := &schema.State{}
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, err
	}
	return reducer.DecodeState(message)
}

// Members returns the membership table of the first configured node that responds.
func (o *Operator) Members(ctx context.Context) ([]controller.MemberStatus, error) {
	body, err := o.getFromAny(ctx, "/members")
	if err != nil {
		return nil, err
	}
	var members []controller.MemberStatus
	return members, json.Unmarshal(body, &members)
}

// Statuses returns the status of every member, and the names of the members that did not respond.
func (o *Operator) Statuses(ctx context.Context) (statuses []controller.Status, unreachable []string, err error) {
	members, err := o.Members(ctx)
	if err != nil {
		return nil, nil, err
	}
	results := make([]*controller.Status, len(members))
	o.fetchAll(ctx, members, "/status", func(i int, body []byte) {
		s := &controller.Status{}
		if json.Unmarshal(body, s) == nil {
			results[i] = s
		}
	})
	for i, s := range results {
		if s == nil {
			unreachable = append(unreachable, members[i].Node)
			continue
		}
		statuses = append(statuses, *s)
	}
	return statuses, unreachable, nil
}

// Timeline returns the events of all members that respond, in causal order.
func (o *Operator) Timeline(ctx context.Context) ([]recorder.Event, error) {
	members, err := o.Members(ctx)
	if err != nil {
		return nil, err
	}
	results := make([][]recorder.Event, len(members))
	o.fetchAll(ctx, members, "/timeline", func(i int, body []byte) {
		_ = json.Unmarshal(body, &results[i])
	})
	return recorder.Merge(results), nil
}

// fetcher requests a path from one member and passes the response to handle. A failed request is dropped.
type fetcher struct {
	operator *Operator
	ctx      context.Context
	node     string
	path     string
	handle   func([]byte)
	// slots limits the requests in flight.
	slots chan struct{}
	group *sync.WaitGroup
}

func (f *fetcher) run() {
	defer f.group.Done()
	f.slots <- struct{}{}
	defer func() { <-f.slots }()
	if body, err := f.operator.get(f.ctx, f.node, f.path); err == nil {
		f.handle(body)
	}
}

// fetchAll requests a path from all members and waits for them. It calls handle with a member's index and response,
// concurrently for different members.
func (o *Operator) fetchAll(ctx context.Context, members []controller.MemberStatus, path string,
	handle func(int, []byte)) {
	slots := make(chan struct{}, maxParallelRequests)
	var group sync.WaitGroup
	for i, m := range members {
		group.Add(1)
		f := &fetcher{operator: o, ctx: ctx, node: m.Admin, path: path, slots: slots, group: &group,
			handle: func(body []byte) { handle(i, body) }}
		go f.run()
	}
	group.Wait()
}
