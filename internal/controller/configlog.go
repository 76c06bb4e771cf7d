package controller

import (
	"context"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// LogPage is what one read of the configuration log returns.
type LogPage struct {
	// Records are consecutive in offset.
	Records []*schema.LogRecord
	// First and Next bound the retained records.
	First, Next uint64
	// Expired tells that records from the asked offset on are no longer retained.
	Expired bool
}

// Beginning is what the log tells of the configuration.
type Beginning struct {
	// State is the newest configuration, or nil where it must be built from the records.
	State *schema.State
	// Next is the offset after the newest record: the node is ready once it has applied all below it.
	Next uint64
}

// Discovery is what earlier processes of the mesh have left in the log for a node that starts.
type Discovery struct {
	// Members are nodes that may be joined, each once. Only the control address is always there. Of the node itself
	// it is the fact that an earlier process has kept.
	Members []*schema.Member
	// Seeds names those of the members that SaveSeed has recorded and DropSeed can drop.
	Seeds []string
	// Progress of rollouts, as their controllers have saved it.
	Progress []*schema.Progress
}

// ConfigLog is the platform's log as the control part uses it. All methods may be called from several goroutines.
type ConfigLog interface {
	// Begin returns the newest configuration.
	Begin(ctx context.Context) (Beginning, error)
	// Discover returns how the mesh may be joined.
	Discover(ctx context.Context) (Discovery, error)
	// Read returns the records from an offset on. It waits up to wait for the first one.
	Read(ctx context.Context, from uint64, wait time.Duration) (LogPage, error)
	// Recover returns the newest state that lies beyond a position whose records have expired.
	Recover(ctx context.Context, position uint64, page LogPage) (*schema.State, error)
	// Append adds a record of this system. It may have taken effect although an error is returned.
	Append(ctx context.Context, record *schema.Record) error
	// SaveSelf keeps the node's own fact for its next start.
	SaveSelf(ctx context.Context, self *schema.Member) error
	// SaveSeed lets nodes that start find a member.
	SaveSeed(ctx context.Context, m *schema.Member) error
	// DropSeed undoes SaveSeed for a member that is gone.
	DropSeed(ctx context.Context, node string) error
	// SaveProgress keeps the progress of a rollout and tells the operator of it. A controller with an older
	// epoch than one seen before gets ErrFenced.
	SaveProgress(ctx context.Context, rollout *schema.Rollout, progress *schema.Progress) error
}

// ErrFenced reports that a newer controller of the same rollout has written.
var ErrFenced = &Error{Operation: "save-progress", Kind: KindFenced, Detail: "a newer controller has written"}

// ReduceFunc applies one record to a state. For a void record it returns the moved state and the reason.
type ReduceFunc func(*reducer.State, *schema.LogRecord) (*reducer.State, error)
