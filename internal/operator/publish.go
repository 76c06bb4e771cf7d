package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// MaxPublishBytes bounds one published record.
	MaxPublishBytes = 512 << 10
	appendPause     = 300 * time.Millisecond
	waitPause       = 100 * time.Millisecond
)

// Accepted tells where a record took effect.
type Accepted struct {
	ID      string
	Version uint64
}

// Publish appends declarations as one record and reads back what became of it.
func (o *Operator) Publish(ctx context.Context, declarations []*schema.Declaration) (Accepted, error) {
	state, err := o.State(ctx)
	if err != nil {
		return Accepted{}, err
	}
	return o.publish(ctx, state, state.Version, declarations)
}

// PublishOn is Publish with declarations that were made for a known version.
func (o *Operator) PublishOn(ctx context.Context, version uint64, declarations []*schema.Declaration) (Accepted, error) {
	state, err := o.State(ctx)
	if err != nil {
		return Accepted{}, err
	}
	return o.publish(ctx, state, version, declarations)
}

func (o *Operator) publish(ctx context.Context, state *reducer.State, basedOn uint64, declarations []*schema.Declaration) (Accepted, error) {
	return o.commit(ctx, state, &schema.Record{
		Body: &schema.Record_Publish{Publish: &schema.Publish{BasedOn: basedOn, Declarations: declarations}}})
}

// Drain asks a node's upstream to take no new work, or ends that.
func (o *Operator) Drain(ctx context.Context, node string, draining bool) (Accepted, error) {
	state, err := o.State(ctx)
	if err != nil {
		return Accepted{}, err
	}
	return o.commit(ctx, state, &schema.Record{Body: &schema.Record_Drain{Drain: &schema.Drain{Node: node, Draining: draining}}})
}

// commit appends a record until it is found in the log. A repeated append with the same id changes nothing,
// so that a lost answer is never guessed at.
func (o *Operator) commit(ctx context.Context, state *reducer.State, r *schema.Record) (Accepted, error) {
	r.Id = newRecordID()
	r.Author = o.config.Author
	r.AppendedUnixMs = time.Now().UnixMilli()
	body, err := proto.Marshal(r)
	if err != nil {
		return Accepted{}, &Error{Operation: "encode", Kind: KindInvalid, Detail: err.Error()}
	}
	if len(body) > MaxPublishBytes {
		return Accepted{}, &Error{Operation: "publish", Kind: KindInvalid, Detail: "record larger than 512 KiB; publish it in parts"}
	}
	f := &follower{operator: o, state: state}
	appended := false
	for {
		_, err := o.log.Append(ctx, logclient.ConfigStream, body)
		var logError *logclient.Error
		refused := errors.As(err, &logError) && logError.Kind == logclient.KindRefused
		appended = appended || !refused
		verdict, err := f.find(ctx, r.Id)
		if err == nil && verdict != nil {
			return judged(r.Id, verdict)
		}
		select {
		case <-ctx.Done():
			return Accepted{}, unfinished(r.Id, appended)
		case <-time.After(appendPause):
		}
	}
}

func unfinished(id string, appended bool) error {
	if !appended {
		return &Error{Operation: "publish", Kind: KindUnreachable, Detail: "the log refused the record; nothing changed"}
	}
	return &Error{Operation: "publish", Kind: KindUnknown,
		Detail: "the log did not show record " + id + " in time; it may still take effect, see status before publishing again"}
}

func judged(id string, v *schema.Verdict) (Accepted, error) {
	if !v.Accepted {
		return Accepted{}, &Error{Operation: "publish", Kind: KindRejected, Detail: v.Reason + "; nothing changed"}
	}
	return Accepted{ID: id, Version: v.Offset + 1}, nil
}

func newRecordID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// follower reads the log from a state on.
type follower struct {
	operator *Operator
	state    *reducer.State
}

// find reads to the end of the log and returns the verdict on a record, or nil if it is not there.
func (f *follower) find(ctx context.Context, id string) (*schema.Verdict, error) {
	for {
		if v := f.state.FindVerdict(id); v != nil {
			return v, nil
		}
		page, err := f.operator.log.Read(ctx, logclient.ConfigStream, f.state.Position, 0)
		if err != nil {
			return nil, f.catchUp(ctx, err)
		}
		if len(page.Records) == 0 {
			return nil, nil
		}
		for _, r := range page.Records {
			// A void record changes nothing; its verdict tells why.
			f.state, _ = reducer.Apply(f.state, &schema.LogRecord{Offset: r.Offset, Body: r.Body})
		}
	}
}

// catchUp takes a newer state from a node once the log has dropped the records from here on.
func (f *follower) catchUp(ctx context.Context, cause error) error {
	var e *logclient.Error
	if !errors.As(cause, &e) || e.Kind != logclient.KindExpired {
		return cause
	}
	state, err := f.operator.State(ctx)
	if err == nil && state.Position > f.state.Position {
		f.state = state
	}
	return cause
}

// Wait returns once every node that answers has a version in force, with their number.
func (o *Operator) Wait(ctx context.Context, version uint64) (nodes int, missing []string, err error) {
	for {
		statuses, missing, err := o.Statuses(ctx)
		if err == nil && len(statuses) > 0 && allAt(statuses, version) {
			return len(statuses), missing, nil
		}
		select {
		case <-ctx.Done():
			return 0, missing, &Error{Operation: "wait", Kind: KindUnreachable, Detail: "some nodes do not have the version in force yet"}
		case <-time.After(waitPause):
		}
	}
}
