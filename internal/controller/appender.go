package controller

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	appendQueue = 64
	// appendTries bounds the tries of one record; its owner queues it again while it is still needed.
	appendTries = 5
)

// appendJob is one record on its way to the log.
type appendJob struct {
	stream string
	body   []byte
	// what names the record in the logs; it is the id of a configuration record.
	what string
}

// appender writes records to the log, one after the other. A record is sent again with the
// same id until the log answers, since a repeated record changes nothing.
type appender struct {
	controller *Controller
	jobs       chan appendJob
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}
}

func newAppender(k *Controller) *appender {
	ctx, cancel := context.WithCancel(context.Background())
	return &appender{controller: k, jobs: make(chan appendJob, appendQueue), ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

func (a *appender) close() {
	a.cancel()
	<-a.done
}

// queueRecord encodes and queues a configuration record. It reports false if the queue is full.
func (a *appender) queueRecord(what string, r *schema.Record) bool {
	body, err := proto.Marshal(r)
	if err != nil {
		return false
	}
	return a.queue(appendJob{stream: logclient.ConfigStream, body: body, what: what})
}

func (a *appender) queue(j appendJob) bool {
	select {
	case a.jobs <- j:
		return true
	default:
		return false
	}
}

// run appends until close.
func (a *appender) run() {
	defer close(a.done)
	for {
		select {
		case <-a.ctx.Done():
			return
		case j := <-a.jobs:
			a.append(j)
		}
	}
}

// seen tells whether a record has come back from the log although its append gave no answer.
func (a *appender) seen(id string) bool {
	seen := false
	a.controller.do(func() { seen = a.controller.state.FindVerdict(id) != nil })
	return seen
}

func (a *appender) append(j appendJob) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 100 * time.Millisecond
	for range appendTries {
		_, err := a.controller.config.Log.Append(a.ctx, j.stream, j.body)
		if err == nil {
			a.controller.common.Logger.Debug("appended", "record", j.what)
			return
		}
		a.controller.common.Logger.Warn("append failed", "record", j.what, "reason", err)
		if a.seen(j.what) {
			return
		}
		select {
		case <-a.ctx.Done():
			return
		case <-time.After(pause.NextBackOff()):
		}
	}
}
