package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// readWait is how long a read of the log waits for new records.
	readWait = 5 * time.Second
	// idleCheck is how often a node that is no reader looks whether it has become one.
	idleCheck = 200 * time.Millisecond
	// maxReadBackoff bounds the pause after failed reads.
	maxReadBackoff = 2 * time.Second
)

// logReader follows the configuration stream while the node holds the duty of a reader.
type logReader struct {
	controller *Controller
	active     atomic.Bool
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}
}

func newLogReader(k *Controller) *logReader {
	ctx, cancel := context.WithCancel(context.Background())
	return &logReader{controller: k, ctx: ctx, cancel: cancel, done: make(chan struct{})}
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
			r.sleep(idleCheck)
			continue
		}
		if err := r.readOnce(); err != nil {
			r.sleep(pause.NextBackOff())
			continue
		}
		pause.Reset()
	}
}

func (r *logReader) sleep(d time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-time.After(d):
	}
}

func (r *logReader) readOnce() error {
	var position uint64
	r.controller.do(func() { position = r.controller.state.Position })
	page, err := r.controller.config.Log.Read(r.ctx, logclient.ConfigStream, position, readWait)
	var logError *logclient.Error
	if errors.As(err, &logError) && logError.Kind == logclient.KindExpired {
		return r.recover(page, position)
	}
	if err != nil {
		r.controller.common.Logger.Debug("log read failed", "reason", err)
		return err
	}
	records := toRecords(page.Records)
	r.controller.do(func() {
		r.controller.start.hearLog(page.Next)
		r.controller.applyRecords(records, nil)
	})
	return nil
}

func toRecords(records []logclient.Record) []*schema.LogRecord {
	converted := make([]*schema.LogRecord, len(records))
	for i, r := range records {
		converted[i] = &schema.LogRecord{Offset: r.Offset, Body: r.Body}
	}
	return converted
}

// recover looks for the newest checkpoint among the retained records, after the ones from position on have expired.
func (r *logReader) recover(bounds logclient.Page, position uint64) error {
	var found *schema.State
	for at := bounds.First; at < bounds.Next; {
		page, err := r.controller.config.Log.Read(r.ctx, logclient.ConfigStream, at, 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			break
		}
		for _, record := range page.Records {
			at = record.Offset + 1
			if s := checkpointState(record.Body); s != nil && s.Position > position && s.Position >= bounds.First {
				found = s
			}
		}
	}
	if found == nil {
		r.controller.common.Logger.Error("records expired and no checkpoint retained", "position", position, "first", bounds.First)
		return &logclient.Error{Operation: "recover", Kind: logclient.KindExpired, Cause: errors.New("no checkpoint retained")}
	}
	r.controller.do(func() { r.controller.adoptSnapshot(&schema.Snapshot{State: found}, time.Now()) })
	return nil
}

func checkpointState(body []byte) *schema.State {
	record := &schema.Record{}
	if proto.Unmarshal(body, record) != nil {
		return nil
	}
	return record.GetCheckpoint().GetState()
}
