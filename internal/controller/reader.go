package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// maxReadBackoff bounds the pause after failed reads.
const maxReadBackoff = 2 * time.Second

// logReader follows the configuration stream while the node reads the log.
type logReader struct {
	controller *Controller
	active     atomic.Bool
	// activated holds a token after the reader was made active.
	activated chan struct{}
	// lastReadFailed tells that the last read failed.
	lastReadFailed atomic.Bool
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}
}

func newLogReader(k *Controller) *logReader {
	ctx, cancel := context.WithCancel(context.Background())
	return &logReader{controller: k, activated: make(chan struct{}, 1), ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// setActive tells the reader whether to read. It reports whether that is new.
func (r *logReader) setActive(reads bool) bool {
	if r.active.Swap(reads) == reads {
		return false
	}
	if reads {
		select {
		case r.activated <- struct{}{}:
		default:
		}
	}
	return true
}

func (r *logReader) close() {
	r.cancel()
	<-r.done
}

// run reads until close.
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

func (r *logReader) readOnce() error {
	k := r.controller
	var position uint64
	k.do(func() { position = k.state.Position })
	page, err := k.config.Log.Read(r.ctx, position, readWait)
	if err != nil {
		r.recordReadResult(err)
		return err
	}
	r.recordReadResult(nil)
	if page.Expired {
		return r.recover(page, position)
	}
	k.do(func() {
		k.start.hearLog(page.Next)
		k.applyRecords(page.Records, nil)
		k.observeLogRead(time.Now())
	})
	return nil
}

// recordReadResult logs when the log is lost and when it is back.
func (r *logReader) recordReadResult(err error) {
	failed := err != nil && r.ctx.Err() == nil
	if failed == r.lastReadFailed.Swap(failed) {
		return
	}
	if failed {
		r.controller.common.Logger.Warn("log lost", "reason", err)
		return
	}
	r.controller.common.Logger.Info("log back")
}

// recover goes on from the newest retained state, after the records from position on have expired.
func (r *logReader) recover(page LogPage, position uint64) error {
	k := r.controller
	state, err := k.config.Log.Recover(r.ctx, position, page)
	if err != nil {
		k.common.Logger.Error("records expired and no state retained", "position", position, "first", page.First, "reason", err)
		return err
	}
	k.do(func() {
		k.installSnapshot(&schema.Snapshot{State: state}, time.Now())
		k.observeLogRead(time.Now())
	})
	return nil
}
