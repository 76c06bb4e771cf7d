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
	// maxAppendAttempts bounds the attempts of one job; its owner enqueues it again while it is still needed.
	maxAppendAttempts = 5
	// maxAppendBackoff is the longest pause between two attempts. It is short, so that writes resume soon after an outage.
	maxAppendBackoff = time.Second
)

// appendJob is one queued write to the log.
type appendJob struct {
	// name identifies the job in log lines; for a configuration record it is the record's id.
	name  string
	write func(context.Context) error
	// onResult, if not nil, is called on the control goroutine with the result of the last attempt.
	onResult func(error)
}

// appender runs queued writes to the log one after the other. A failed write is repeated, up to maxAppendAttempts: a
// record that is written twice has no further effect.
type appender struct {
	controller *Controller
	jobs       chan appendJob
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}
}

func newAppender(k *Controller) *appender {
	ctx, cancel := context.WithCancel(context.Background())
	return &appender{controller: k, jobs: make(chan appendJob, appendQueueSize), ctx: ctx, cancel: cancel,
		done: make(chan struct{})}
}

// close drops the queued jobs and waits for the goroutine.
func (a *appender) close() {
	a.cancel()
	<-a.done
}

// enqueueRecord queues the append of a configuration record.
func (a *appender) enqueueRecord(name string, r *schema.Record) {
	log := a.controller.config.Log
	a.enqueue(appendJob{name: name, write: func(ctx context.Context) error { return log.Append(ctx, r) }})
}

// enqueue queues a job without blocking. If the queue is full, the job is dropped and logged, and false is returned; its
// owner enqueues it again.
func (a *appender) enqueue(j appendJob) bool {
	select {
	case a.jobs <- j:
		return true
	default:
		a.controller.common.Logger.Warn("log write dropped", "record", j.name, "reason", "the queue of log writes is full")
		return false
	}
}

// run runs queued jobs until close.
func (a *appender) run() {
	defer close(a.done)
	for {
		select {
		case <-a.ctx.Done():
			return
		case j := <-a.jobs:
			err := a.append(j)
			if j.onResult != nil {
				a.controller.do(func() { j.onResult(err) })
			}
		}
	}
}

// hasVerdict reports whether a record has been read back from the log, although its append returned an error.
func (a *appender) hasVerdict(id string) bool {
	found := false
	a.controller.do(func() { found = a.controller.state.FindVerdict(id) != nil })
	return found
}

// append runs one job. It gives up early when the job is fenced or the appender is closed.
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
		a.controller.common.Logger.Warn("log write failed", "record", j.name, "reason", err)
		if a.hasVerdict(j.name) {
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
