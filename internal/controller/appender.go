package controller

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	appendQueueSize = 64
	// maxAppendAttempts bounds the tries of one job; its owner queues it again while it is still needed.
	maxAppendAttempts = 5
	// maxAppendBackoff bounds the pause between two tries, so that a store that is back is used at once.
	maxAppendBackoff = time.Second
)

// appendJob is one write on its way to the log.
type appendJob struct {
	// what names the job in the logs; it is the id of a configuration record.
	what  string
	write func(context.Context) error
	// written is called on the control goroutine with the outcome, if it is not nil.
	written func(error)
}

// appender writes to the log, one job after the other. A job is tried again until the log answers:
// a repeated record changes nothing.
type appender struct {
	controller *Controller
	jobs       chan appendJob
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}
}

func newAppender(k *Controller) *appender {
	ctx, cancel := context.WithCancel(context.Background())
	return &appender{controller: k, jobs: make(chan appendJob, appendQueueSize), ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

func (a *appender) close() {
	a.cancel()
	<-a.done
}

// queueRecord queues a configuration record.
func (a *appender) queueRecord(what string, r *schema.Record) {
	log := a.controller.config.Log
	a.queue(appendJob{what: what, write: func(ctx context.Context) error { return log.Append(ctx, r) }})
}

// queue queues a job. One that finds the queue full is dropped and logged; its owner queues it again.
func (a *appender) queue(j appendJob) {
	select {
	case a.jobs <- j:
	default:
		a.controller.common.Logger.Warn("write dropped", "record", j.what, "reason", "too many writes wait for the log")
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
			err := a.append(j)
			if j.written != nil {
				a.controller.do(func() { j.written(err) })
			}
		}
	}
}

// hasVerdict tells whether a record has come back from the log although its append gave no answer.
func (a *appender) hasVerdict(id string) bool {
	found := false
	a.controller.do(func() { found = a.controller.state.FindVerdict(id) != nil })
	return found
}

func (a *appender) append(j appendJob) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 100 * time.Millisecond
	pause.MaxInterval = maxAppendBackoff
	var err error
	for range maxAppendAttempts {
		err = j.write(a.ctx)
		if err == nil || errors.Is(err, ErrFenced) {
			return err
		}
		a.controller.common.Logger.Warn("append failed", "record", j.what, "reason", err)
		if a.hasVerdict(j.what) {
			return nil
		}
		select {
		case <-a.ctx.Done():
			return err
		case <-time.After(pause.NextBackOff()):
		}
	}
	return err
}
