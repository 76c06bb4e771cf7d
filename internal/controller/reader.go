package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

// maxReadBackoff is the longest pause after a failed read.
const maxReadBackoff = 2 * time.Second

// logReader long-polls the configuration log while it is active. Its goroutine runs as long as the node; the control
// goroutine switches it on and off.
type logReader struct {
	controller *Controller
	active     atomic.Bool
	// activated wakes the goroutine after the reader was made active.
	activated chan struct{}
	// lastReadFailed is true from a failed read to the next successful one.
	lastReadFailed atomic.Bool
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}
}

func newLogReader(k *Controller) *logReader {
	ctx, cancel := context.WithCancel(context.Background())
	return &logReader{controller: k, activated: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
		done: make(chan struct{})}
}

// setActive switches the reader on or off and reports whether that is a change.
func (r *logReader) setActive(active bool) bool {
	if r.active.Swap(active) == active {
		return false
	}
	if active {
		select {
		case r.activated <- struct{}{}:
		default:
		}
	}
	return true
}

// close stops the reader and waits for its goroutine.
func (r *logReader) close() {
	r.cancel()
	<-r.done
}

// run reads while the reader is active, with a growing pause after failed reads, until close.
func (r *logReader) run() {
	defer close(r.done)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 100 * time.Millisecond
	pause.MaxInterval = maxReadBackoff
	for r.ctx.Err() == nil {
		if !r.active.Load() {
			r.awaitActivation()
			continue
		}
		if err := r.readOnce(); err != nil {
			r.sleep(pause.NextBackOff())
			continue
		}
		pause.Reset()
	}
}

func (r *logReader) awaitActivation() {
	select {
	case <-r.ctx.Done():
	case <-r.activated:
	}
}

func (r *logReader) sleep(d time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-time.After(d):
	}
}

// readOnce reads the records from the node's position on and applies them.
func (r *logReader) readOnce() error {
	k := r.controller
	var inForce *reducer.State
	if !k.do(func() { inForce = k.state }) {
		return errClosed("read")
	}
	position := inForce.Position
	page, err := k.config.Log.Read(r.ctx, position, readWait)
	if err == nil && page.Era.Stated && page.Era.Number < position.Era() {
		err = earlierEra(page.Era, position)
	}
	r.recordReadResult(err)
	if err != nil {
		return err
	}
	k.eraWatch.observe(page.Era)
	switch {
	case page.Expired || page.Era.Stated && page.Era.Number > position.Era():
		return r.recover(page, inForce)
	}
	k.do(func() {
		if k.state.Position.Era() != position.Era() {
			return
		}
		k.start.observeLog(page.Next)
		k.applyRecords(page.Records, nil)
		// A page may end before the log does, and then a neighbour must not take this position for the newest.
		if k.state.Position >= page.Next {
			k.observeLogRead(time.Now())
		}
	})
	return nil
}

// recordReadResult sets lastReadFailed and logs when it changes. A read cut short by close is not a failure.
func (r *logReader) recordReadResult(err error) {
	failed := err != nil && r.ctx.Err() == nil
	if failed == r.lastReadFailed.Swap(failed) {
		return
	}
	if failed {
		r.controller.common.Logger.Warn("cannot read from the log", "reason", err)
		return
	}
	r.controller.common.Logger.Info("reading from the log again")
}

// recover installs the newest state that the log holds, after the records from the position on have expired, or the log
// has begun a new era. The records that follow it are read next.
func (r *logReader) recover(page LogPage, inForce *reducer.State) error {
	k := r.controller
	position := inForce.Position
	k.common.Logger.Warn("the log does not hold the records at the position",
		"position", position, "first", page.First, "era", page.Era)
	state, err := k.config.Log.Recover(r.ctx, inForce, page)
	if err != nil {
		k.common.Logger.Error("cannot recover a state from the log",
			"position", position, "first", page.First, "era", page.Era, "reason", err)
		return err
	}
	k.do(func() {
		k.installState(state, time.Now())
		if k.state.Position <= position {
			err = &Error{Operation: "recover", Kind: KindOutdated,
				Detail: fmt.Sprintf("the log holds a state at %v, but the one in force is at %v", state.Position, position)}
		}
		k.common.Logger.Info("newest state read from the log", "position-before", position, "position", k.state.Position,
			"read-position", state.Position, "read-label", state.Label, "label", k.state.Label)
	})
	return err
}

// earlierEra returns the error for a response of an earlier era than that of the state in force, which changes nothing.
func earlierEra(era LogEra, position reducer.Position) error {
	return &Error{Operation: "read", Kind: KindOutdated, Detail: fmt.Sprintf("response of era %v, but the position is %v", era, position)}
}
