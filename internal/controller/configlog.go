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
	// First is the position of the oldest retained record, and Next that after the newest.
	First, Next reducer.Position
	// Expired is true if the log does not hold the record at the requested position: it is no longer retained, or the log has
	// returned from a copy that ends before it.
	Expired bool
	Era     LogEra
}

// NewestConfig is the newest configuration as a starting node finds it in the log.
type NewestConfig struct {
	// State is the newest configuration, with all records below Next applied, or nil if the log no longer retains what
	// it is built from. Then only neighbours can supply it.
	State *schema.State
	// Next is the position after the newest record. The node may become ready once it has reached it.
	Next reducer.Position
	Era  LogEra
}

// ConfigLog is the controller's access to the configuration log. All methods may be called from several goroutines.
type ConfigLog interface {
	// Newest returns the newest configuration, up to the end of the log, or only that end if the log does not retain it.
	Newest(ctx context.Context) (NewestConfig, error)
	// Discover returns the saved members and the saved rollout progress.
	Discover(ctx context.Context) (Discovery, error)
	// Read returns the records from a position on. It waits up to wait for the first one. In a log that has begun another
	// era, the records are those at the same offset there.
	Read(ctx context.Context, from reducer.Position, wait time.Duration) (LogPage, error)
	// Recover returns the newest state that the log holds, built on the one in force: what the log has lost is kept. The
	// page is the one that Read returned as expired, or as one of another era.
	Recover(ctx context.Context, inForce *reducer.State, page LogPage) (*reducer.State, error)
	// Append appends a configuration record. It may have taken effect although an error is returned.
	Append(ctx context.Context, record *schema.Record) error
	// SaveMember saves the node's own member for its next start.
	SaveMember(ctx context.Context, self *schema.Member) error
	// SaveSeed saves a member as a seed, for starting nodes to dial.
	SaveSeed(ctx context.Context, m *schema.Member) error
	// DeleteSeed deletes the seed of a member that is dead or has left.
	DeleteSeed(ctx context.Context, node string) error
	// SaveProgress saves the progress of a rollout and reports it to the operator. It returns ErrFenced if a controller
	// with a newer epoch has written before.
	SaveProgress(ctx context.Context, rollout *schema.Rollout, progress *schema.Progress) error
}

// ErrFenced is returned by SaveProgress if a newer controller of the same rollout has written.
var ErrFenced = &Error{Operation: "save-progress", Kind: KindFenced, Detail: "a newer controller has written"}

// ReduceFunc applies one record to a state. For a void record, one that can't be applied, it returns the state with its
// position moved past the record, and the reason as an error.
type ReduceFunc func(*reducer.State, *schema.LogRecord) (*reducer.State, error)
