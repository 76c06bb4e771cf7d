package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// MaxPublishBytes bounds the size of a published record.
	MaxPublishBytes = 512 << 10
	// appendRetryInterval is the pause before a record that is not in the log yet is appended again.
	appendRetryInterval = 300 * time.Millisecond
	// statusPollInterval is the pause between two queries of the nodes' versions.
	statusPollInterval = 100 * time.Millisecond
)

// PublishResult is the result of an accepted record: its id and the configuration version that it created.
type PublishResult struct {
	ID      string
	Version uint64
}

// Publish appends declarations as one record, based on the newest version of the configured nodes, and waits for the
// verdict on it.
func (o *Operator) Publish(ctx context.Context, declarations []*schema.Declaration) (PublishResult, error) {
	state, err := o.State(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	return o.publish(ctx, state, state.Version, declarations)
}

// PublishBasedOn is Publish for declarations that were made for a given version. They are rejected if another version
// is in force.
func (o *Operator) PublishBasedOn(ctx context.Context, version uint64,
	declarations []*schema.Declaration) (PublishResult, error) {
	state, err := o.State(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	return o.publish(ctx, state, version, declarations)
}

func (o *Operator) publish(ctx context.Context, state *reducer.State, basedOn uint64,
	declarations []*schema.Declaration) (PublishResult, error) {
	return o.commit(ctx, state, &schema.Record{
		Body: &schema.Record_Publish{Publish: &schema.Publish{BasedOn: basedOn, Declarations: declarations}}})
}

// Drain takes a node's upstream out of service, or puts it back if draining is false.
func (o *Operator) Drain(ctx context.Context, node string, draining bool) (PublishResult, error) {
	state, err := o.State(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	return o.commit(ctx, state, &schema.Record{Body: &schema.Record_Drain{Drain: &schema.Drain{Node: node, Draining: draining}}})
}

// Evacuate takes the upstreams of an availability zone out of service, or puts them back if evacuated is false. A zone
// without members can't be evacuated, since its name is probably wrong.
func (o *Operator) Evacuate(ctx context.Context, zone string, evacuated bool) (PublishResult, error) {
	state, err := o.State(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	if err := o.checkZone(ctx, state, zone, evacuated); err != nil {
		return PublishResult{}, err
	}
	return o.commit(ctx, state, &schema.Record{
		Body: &schema.Record_Evacuation{Evacuation: &schema.Evacuation{Zone: zone, Evacuated: evacuated}}})
}

// checkZone returns an error unless the zone has members, or is evacuated and to be put back.
func (o *Operator) checkZone(ctx context.Context, state *reducer.State, zone string, evacuated bool) error {
	if !evacuated {
		if !state.EvacuatedZones[zone] {
			return &Error{Operation: "evacuate", Kind: KindInvalid, Detail: "availability zone " + zone + " is not evacuated"}
		}
		return nil
	}
	members, err := o.Members(ctx)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(members, func(m controller.MemberStatus) bool { return m.Zone == zone }) {
		return &Error{Operation: "evacuate", Kind: KindInvalid, Detail: "no node is in availability zone " + zone}
	}
	return nil
}

// commit appends a record and waits until the record is found in the log or ctx ends. An append without an answer is
// repeated, but only once the log has been read to its end without finding the record. Since the first append may take
// effect even after that, all have the same id, by which the log recognises them: the record gets one offset.
func (o *Operator) commit(ctx context.Context, state *reducer.State, r *schema.Record) (PublishResult, error) {
	r.Id = newRecordID()
	r.Author = o.config.Author
	r.AppendedUnixMs = time.Now().UnixMilli()
	body, err := proto.Marshal(r)
	if err != nil {
		return PublishResult{}, &Error{Operation: "encode", Kind: KindInvalid, Detail: err.Error()}
	}
	if len(body) > MaxPublishBytes {
		return PublishResult{}, &Error{Operation: "publish", Kind: KindInvalid, Detail: "record larger than 512 KiB; publish it in parts"}
	}
	f := &logFollower{operator: o, state: state}
	// appended is set once the log may hold the record, and confirmed once the log has said that it does.
	appended, confirmed := false, false
	// due is set while the record is to be appended in the next iteration.
	due := true
	for {
		if due {
			_, err := o.log.Append(ctx, logclient.ConfigStream, r.Id, body)
			confirmed = err == nil
			appended = appended || !isRefused(err)
		}
		verdict, err := f.findVerdict(ctx, r.Id)
		if err == nil && verdict != nil {
			return resultOf(r.Id, verdict)
		}
		due = !confirmed && (err == nil || !appended)
		select {
		case <-ctx.Done():
			return PublishResult{}, notFoundError(r.Id, appended)
		case <-time.After(appendRetryInterval):
		}
	}
}

// isRefused reports whether an append was refused and had no effect.
func isRefused(err error) bool {
	var e *logclient.Error
	return errors.As(err, &e) && e.Kind == logclient.KindRefused
}

// notFoundError returns the error for a record that was not found in the log in time.
func notFoundError(id string, appended bool) error {
	if !appended {
		return &Error{Operation: "publish", Kind: KindUnreachable, Detail: "the log refused the record; nothing changed"}
	}
	return &Error{Operation: "publish", Kind: KindUnknown,
		Detail: "record " + id + " was not found in the log in time; it may still take effect, " +
			"check the status before publishing again"}
}

// resultOf returns what a verdict means for the command.
func resultOf(id string, v *schema.Verdict) (PublishResult, error) {
	if !v.Accepted {
		return PublishResult{}, &Error{Operation: "publish", Kind: KindRejected, Detail: v.Reason + "; nothing changed"}
	}
	return PublishResult{ID: id, Version: v.Offset + 1}, nil
}

func newRecordID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// logFollower applies the records of the log to a state, to find the verdicts on them.
type logFollower struct {
	operator *Operator
	state    *reducer.State
}

// findVerdict returns the verdict on a record, or nil if the record is not found up to the end of the log.
func (f *logFollower) findVerdict(ctx context.Context, id string) (*schema.Verdict, error) {
	for {
		if v := f.state.FindVerdict(id); v != nil {
			return v, nil
		}
		page, err := f.operator.log.Read(ctx, logclient.ConfigStream, f.state.Position.Offset(), 0)
		if err != nil {
			return nil, f.catchUp(ctx, err)
		}
		if len(page.Records) == 0 {
			return nil, nil
		}
		for _, r := range page.Records {
			// The error is ignored: the verdict on a rejected record holds the reason.
			f.state, _ = reducer.Apply(f.state, &schema.LogRecord{Offset: r.Offset, Body: r.Body})
		}
	}
}

// catchUp handles a failed read. If the log no longer retains the records at the state's position, it continues from a
// newer state of a node. It returns the cause in any case.
func (f *logFollower) catchUp(ctx context.Context, cause error) error {
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

// Wait waits until a version is in force on every node that responds. It returns the number of these nodes, and the
// names of the members that do not respond.
func (o *Operator) Wait(ctx context.Context, version uint64) (nodes int, unreachable []string, err error) {
	for {
		statuses, unreachable, err := o.Statuses(ctx)
		if err == nil && len(statuses) > 0 && allReached(statuses, version) {
			return len(statuses), unreachable, nil
		}
		select {
		case <-ctx.Done():
			return 0, unreachable, &Error{Operation: "wait", Kind: KindUnreachable,
				Detail: "the version is not in force on all nodes yet"}
		case <-time.After(statusPollInterval):
		}
	}
}
