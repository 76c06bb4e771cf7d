package logclient

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// maxJoinRecords bounds the records of the join stream that Discover reads, the newest ones.
const maxJoinRecords = 64

// ConfigLog gives the controller access to the streams of the log. It implements controller.ConfigLog, and its methods
// are safe for concurrent use.
type ConfigLog struct {
	client *Client
}

// NewConfigLog returns a ConfigLog.
func NewConfigLog(c *Client) *ConfigLog { return &ConfigLog{client: c} }

// Discover returns the distinct control addresses in the newest records of the join stream.
func (l *ConfigLog) Discover(ctx context.Context) (controller.Discovery, error) {
	members, err := l.members(ctx)
	return controller.Discovery{Seeds: members}, err
}

func (l *ConfigLog) members(ctx context.Context) ([]*schema.Member, error) {
	first, next, err := l.client.Bounds(ctx, JoinStream)
	if err != nil || next == first {
		return nil, err
	}
	if next-first > maxJoinRecords {
		first = next - maxJoinRecords
	}
	page, err := l.client.Read(ctx, JoinStream, first, 0)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	var members []*schema.Member
	for _, r := range page.Records {
		if address := string(r.Body); !seen[address] {
			seen[address] = true
			members = append(members, &schema.Member{ControlAddress: address})
		}
	}
	return members, nil
}

// Read returns records of the configuration stream from a position on. For an expired one the page holds the bounds
// of the retained records only.
func (l *ConfigLog) Read(ctx context.Context, from reducer.Position, wait time.Duration) (controller.LogPage, error) {
	page, err := l.client.Read(ctx, ConfigStream, from.Offset(), wait)
	var logError *Error
	if errors.As(err, &logError) && logError.Kind == KindExpired {
		return controller.LogPage{First: reducer.Position(page.First), Next: reducer.Position(page.Next), Expired: true}, nil
	}
	if err != nil {
		return controller.LogPage{}, err
	}
	records := make([]*schema.LogRecord, len(page.Records))
	for i, r := range page.Records {
		records[i] = &schema.LogRecord{Offset: r.Offset, Body: r.Body}
	}
	return controller.LogPage{Records: records, First: reducer.Position(page.First), Next: reducer.Position(page.Next)}, nil
}

// Recover returns the state of the newest usable checkpoint beyond the state in force.
func (l *ConfigLog) Recover(ctx context.Context, inForce *reducer.State, bounds controller.LogPage) (*reducer.State, error) {
	found, err := l.newestCheckpoint(ctx, bounds.First.Offset(), bounds.Next.Offset(), inForce.Position.Offset()+1)
	if err != nil {
		return nil, err
	}
	if found == nil {
		return nil, &Error{Operation: "recover", Kind: KindExpired,
			Cause: errors.New("no usable checkpoint among the retained records")}
	}
	return found, nil
}

// Append appends a record to the configuration stream. Repeated appends of a record have the same id.
func (l *ConfigLog) Append(ctx context.Context, record *schema.Record) error {
	body, err := proto.Marshal(record)
	if err != nil {
		return &Error{Operation: "append", Kind: KindRefused, Cause: err}
	}
	_, err = l.client.Append(ctx, ConfigStream, record.Id, body)
	return err
}

// SaveMember does nothing: with this log no upstream leaves for good, so a restarted node has nothing to restore.
func (l *ConfigLog) SaveMember(context.Context, *schema.Member) error { return nil }

// SaveSeed appends a member's control address to the join stream.
func (l *ConfigLog) SaveSeed(ctx context.Context, m *schema.Member) error {
	_, err := l.client.Append(ctx, JoinStream, "", []byte(m.ControlAddress))
	return err
}

// DeleteSeed does nothing: Discover ignores all but the newest records of the join stream.
func (l *ConfigLog) DeleteSeed(context.Context, string) error { return nil }

// SaveProgress does nothing: nodes exchange the progress over the overlay, and an outcome record closes the rollout.
func (l *ConfigLog) SaveProgress(context.Context, *schema.Rollout, *schema.Progress) error {
	return nil
}
