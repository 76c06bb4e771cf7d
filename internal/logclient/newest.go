package logclient

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Newest returns the newest configuration. It is built from the newest usable checkpoint, or from the first record if
// there is none, and all records that follow up to the end of the log. If the log no longer retains what that takes, only
// the end offset is returned.
func (l *ConfigLog) Newest(ctx context.Context) (controller.NewestConfig, error) {
	first, next, err := l.client.Bounds(ctx, ConfigStream)
	if err != nil {
		return controller.NewestConfig{}, err
	}
	state, err := l.newestCheckpoint(ctx, first, next, first)
	if err != nil {
		return controller.NewestConfig{}, err
	}
	if state == nil {
		if first > 0 {
			return controller.NewestConfig{Next: reducer.Position(next)}, nil
		}
		state = reducer.NewState()
	}
	if state, err = l.applyToEnd(ctx, state); err != nil {
		return controller.NewestConfig{}, err
	}
	return controller.NewestConfig{State: state.Encode(), Next: state.Position}, nil
}

// applyToEnd applies all records from a state's position up to the end of the log.
func (l *ConfigLog) applyToEnd(ctx context.Context, s *reducer.State) (*reducer.State, error) {
	for {
		page, err := l.client.Read(ctx, ConfigStream, s.Position.Offset(), 0)
		if err != nil || len(page.Records) == 0 {
			return s, err
		}
		for _, r := range page.Records {
			if r.Offset != s.Position.Offset() {
				return nil, unexpectedOffset(r.Offset, s.Position.Offset())
			}
			// The error is ignored: a void record only moves the position.
			s, _ = reducer.Apply(s, &schema.LogRecord{Offset: r.Offset, Body: r.Body})
		}
	}
}

// newestCheckpoint returns the state of the newest usable checkpoint among the retained records, or nil if there is none.
// A checkpoint is usable if its state is valid and at a position of at least leastPosition, and if all records from that
// position on are retained. The records are searched page by page from the end, since checkpoints are written regularly.
func (l *ConfigLog) newestCheckpoint(ctx context.Context, first, next, leastPosition uint64) (*reducer.State, error) {
	leastPosition = max(leastPosition, first)
	for end := next; end > leastPosition; {
		start := leastPosition
		if end-start > maxPageRecords {
			start = end - maxPageRecords
		}
		s, err := l.newestCheckpointIn(ctx, start, end, leastPosition)
		if s != nil || err != nil {
			return s, err
		}
		end = start
	}
	return nil, nil
}

// newestCheckpointIn is newestCheckpoint for the records from start up to, but not including, end.
func (l *ConfigLog) newestCheckpointIn(ctx context.Context, start, end, leastPosition uint64) (*reducer.State, error) {
	var newest *reducer.State
	for at := start; at < end; {
		page, err := l.client.Read(ctx, ConfigStream, at, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			return nil, unexpectedOffset(page.Next, end)
		}
		for _, r := range page.Records {
			if r.Offset != at {
				return nil, unexpectedOffset(r.Offset, at)
			}
			if s := checkpointState(r); s != nil && s.Position.Offset() >= leastPosition && r.Offset < end {
				newest = s
			}
			at++
		}
	}
	return newest, nil
}

// checkpointState returns the state of a checkpoint record, or nil for any other record and for a checkpoint without a
// valid state of a position up to its own offset.
func checkpointState(r Record) *reducer.State {
	record := &schema.Record{}
	if proto.Unmarshal(r.Body, record) != nil || record.GetCheckpoint().GetState() == nil {
		return nil
	}
	s, err := reducer.DecodeState(record.GetCheckpoint().GetState())
	if err != nil || s.Position.Offset() > r.Offset {
		return nil
	}
	return s
}

// unexpectedOffset returns the error for a response that does not hold the records that were requested.
func unexpectedOffset(got, want uint64) error {
	return &Error{Operation: "read", Kind: KindUnavailable, Cause: fmt.Errorf("record at offset %d instead of %d", got, want)}
}
