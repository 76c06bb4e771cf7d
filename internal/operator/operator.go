// Package operator holds the logic of the operators' commands: it asks nodes and writes to the log.
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
	nodeTimeout = 3 * time.Second
	logTimeout  = 3 * time.Second
	// parallelRequests bounds the nodes asked at one time.
	parallelRequests = 32
)

// Config builds an Operator.
type Config struct {
	// Nodes are admin addresses, IP:port. One that answers is enough to find the others.
	Nodes     []string
	LogURL    string
	Requester *requester.Requester
	// Author is written into records.
	Author string
}

// Operator runs commands against a mesh.
type Operator struct {
	config Config
	log    *logclient.Client
}

// New returns an Operator.
func New(c Config) *Operator {
	log := logclient.New(logclient.Config{URL: c.LogURL, Requester: c.Requester, Timeout: logTimeout})
	return &Operator{config: c, log: log}
}

func (o *Operator) get(ctx context.Context, node, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	answer, err := o.config.Requester.Do(ctx, http.MethodGet, "http://"+node+path, nil)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, &Error{Operation: "ask " + node, Kind: KindUnreachable, Detail: string(answer.Body)}
	}
	return answer.Body, nil
}

// anyNode returns the first answer of the configured nodes.
func (o *Operator) anyNode(ctx context.Context, path string) ([]byte, error) {
	last := error(&Error{Operation: "ask", Kind: KindUnreachable, Detail: "no node given; use --node"})
	for _, n := range o.config.Nodes {
		body, err := o.get(ctx, n, path)
		if err == nil {
			return body, nil
		}
		last = &Error{Operation: "ask " + n, Kind: KindUnreachable, Detail: err.Error()}
	}
	return nil, last
}

// State returns the newest configuration state among the configured nodes.
func (o *Operator) State(ctx context.Context) (*reducer.State, error) {
	var newest *reducer.State
	last := error(&Error{Operation: "state", Kind: KindUnreachable, Detail: "no node given; use --node"})
	for _, n := range o.config.Nodes {
		s, err := o.stateOf(ctx, n)
		if err != nil {
			last = &Error{Operation: "state of " + n, Kind: KindUnreachable, Detail: err.Error()}
			continue
		}
		if newest == nil || s.Position > newest.Position {
			newest = s
		}
	}
	if newest == nil {
		return nil, last
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

// Members returns the members that a node knows.
func (o *Operator) Members(ctx context.Context) ([]controller.MemberStatus, error) {
	body, err := o.anyNode(ctx, "/members")
	if err != nil {
		return nil, err
	}
	var members []controller.MemberStatus
	return members, json.Unmarshal(body, &members)
}

// Statuses asks every member for its status. Members that do not answer are named in missing.
func (o *Operator) Statuses(ctx context.Context) (statuses []controller.Status, missing []string, err error) {
	members, err := o.Members(ctx)
	if err != nil {
		return nil, nil, err
	}
	results := make([]*controller.Status, len(members))
	o.each(ctx, members, "/status", func(i int, body []byte) {
		s := &controller.Status{}
		if json.Unmarshal(body, s) == nil {
			results[i] = s
		}
	})
	for i, s := range results {
		if s == nil {
			missing = append(missing, members[i].Node)
			continue
		}
		statuses = append(statuses, *s)
	}
	return statuses, missing, nil
}

// Timeline gathers the events of all members that answer.
func (o *Operator) Timeline(ctx context.Context) ([]recorder.Event, error) {
	members, err := o.Members(ctx)
	if err != nil {
		return nil, err
	}
	results := make([][]recorder.Event, len(members))
	o.each(ctx, members, "/timeline", func(i int, body []byte) {
		_ = json.Unmarshal(body, &results[i])
	})
	return recorder.Merge(results), nil
}

// fetch asks one member and hands over the answer.
type fetch struct {
	operator *Operator
	ctx      context.Context
	node     string
	path     string
	take     func([]byte)
	slots    chan struct{}
	group    *sync.WaitGroup
}

func (f *fetch) run() {
	defer f.group.Done()
	f.slots <- struct{}{}
	defer func() { <-f.slots }()
	if body, err := f.operator.get(f.ctx, f.node, f.path); err == nil {
		f.take(body)
	}
}

func (o *Operator) each(ctx context.Context, members []controller.MemberStatus, path string, take func(int, []byte)) {
	slots := make(chan struct{}, parallelRequests)
	var group sync.WaitGroup
	for i, m := range members {
		group.Add(1)
		f := &fetch{operator: o, ctx: ctx, node: m.Admin, path: path, slots: slots, group: &group,
			take: func(body []byte) { take(i, body) }}
		go f.run()
	}
	group.Wait()
}
