package controller

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// fakeStore is an in-memory log whose records are whole states.
type fakeStore struct {
	mu      sync.Mutex
	records []*schema.LogRecord
	seeds   map[string]*schema.Member
	// saved holds what nodes have saved of themselves, the newest of each node. As on the platform, no seed replaces it.
	saved map[string]*schema.Member
	// seedDelay is how long a write of a seed takes.
	seedDelay time.Duration
	// reads and writes count the calls, except to DeleteSeed.
	reads, writes int
	// epoch is the highest epoch of the saved progress, or one set by the test: lower ones are fenced.
	epoch uint64
	// progress holds the saved progress of the mesh's only rollout, in the order of the writes.
	progress []*schema.Progress
}

// lastProgress returns the progress saved last, or nil.
func (s *fakeStore) lastProgress() *schema.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.progress) == 0 {
		return nil
	}
	return s.progress[len(s.progress)-1]
}

// publish appends a record with a state and returns the position after it.
func (s *fakeStore) publish(state *schema.State) (position reducer.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := proto.Marshal(state)
	if err != nil {
		panic(err)
	}
	s.records = append(s.records, &schema.LogRecord{Offset: uint64(len(s.records)), Body: body})
	return reducer.Position(len(s.records))
}

func (s *fakeStore) from(position reducer.Position) LogPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return LogPage{Records: s.records[min(int(position), len(s.records)):], Next: reducer.Position(len(s.records))}
}

// saveMember replaces what a node has saved of itself.
func (s *fakeStore) saveMember(m *schema.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved == nil {
		s.saved = map[string]*schema.Member{}
	}
	s.saved[m.Node] = m
}

func (s *fakeStore) addCalls(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads += reads
	s.writes += writes
}

// reduceToRecord is a ReduceFunc that replaces the state by the one in the record.
func reduceToRecord(s *reducer.State, r *schema.LogRecord) (*reducer.State, error) {
	m := &schema.State{}
	if err := proto.Unmarshal(r.Body, m); err != nil {
		return s.WithPosition(reducer.Position(r.Offset + 1)), err
	}
	m.Position, m.Version = r.Offset+1, r.Offset+1
	return reducer.DecodeState(m)
}

// fakeLog is one node's connection to the store. While unreachable is set, all calls but DeleteSeed fail, and while
// refusesProgress is set, those to SaveProgress.
type fakeLog struct {
	store           *fakeStore
	unreachable     atomic.Bool
	refusesProgress atomic.Bool
	// singleRecords, while set, has Read return one record at a time, each once it can be received from the channel.
	singleRecords atomic.Pointer[chan struct{}]
}

var errUnreachable = errors.New("the store does not answer")

// unreachableDelay is how long a call takes to fail while the store is unreachable.
const unreachableDelay = 300 * time.Millisecond

func (l *fakeLog) call(reads, writes int) error {
	l.store.addCalls(reads, writes)
	if l.unreachable.Load() {
		time.Sleep(unreachableDelay)
		return errUnreachable
	}
	return nil
}

func (l *fakeLog) Newest(context.Context) (NewestConfig, error) {
	if err := l.call(1, 0); err != nil {
		return NewestConfig{}, err
	}
	state := reducer.NewState()
	for _, r := range l.store.from(0).Records {
		state, _ = reduceToRecord(state, r)
	}
	return NewestConfig{State: state.Encode(), Next: state.Position}, nil
}

func (l *fakeLog) Discover(context.Context) (Discovery, error) {
	if err := l.call(1, 0); err != nil {
		return Discovery{}, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	var d Discovery
	for _, m := range l.store.seeds {
		d.Seeds = append(d.Seeds, m)
	}
	for _, m := range l.store.saved {
		d.Saved = append(d.Saved, m)
	}
	if n := len(l.store.progress); n > 0 {
		d.Progress = append(d.Progress, proto.CloneOf(l.store.progress[n-1]))
	}
	return d, nil
}

func (l *fakeLog) Read(ctx context.Context, from reducer.Position, wait time.Duration) (LogPage, error) {
	if err := l.call(1, 0); err != nil {
		return LogPage{}, err
	}
	end := time.Now().Add(wait)
	for ; time.Now().Before(end) && ctx.Err() == nil && !l.unreachable.Load(); time.Sleep(2 * time.Millisecond) {
		if p := l.store.from(from); len(p.Records) > 0 {
			return l.limit(ctx, from, p)
		}
	}
	if l.unreachable.Load() {
		time.Sleep(unreachableDelay)
		return LogPage{}, errUnreachable
	}
	p := l.store.from(from)
	if err := ctx.Err(); err != nil || len(p.Records) == 0 {
		return p, err
	}
	return l.limit(ctx, from, p)
}

// limit returns the page that was read from an offset or, while singleRecords is set, waits and returns one record.
func (l *fakeLog) limit(ctx context.Context, from reducer.Position, p LogPage) (LogPage, error) {
	allowed := l.singleRecords.Load()
	if allowed == nil {
		return p, nil
	}
	select {
	case <-*allowed:
	case <-ctx.Done():
		return LogPage{}, ctx.Err()
	}
	p = l.store.from(from)
	p.Records = p.Records[:1]
	return p, nil
}

// allowRecord has Read return the next record while singleRecords is set. It fails the test if no read waits for one.
func (l *fakeLog) allowRecord(t *testing.T) {
	t.Helper()
	const bound = 10 * time.Second
	select {
	case *l.singleRecords.Load() <- struct{}{}:
	case <-time.After(bound):
		t.Fatalf("not within %v: a read waits for a record", bound)
	}
}

func (l *fakeLog) Recover(ctx context.Context, _ *reducer.State, _ LogPage) (*reducer.State, error) {
	newest, err := l.Newest(ctx)
	if err != nil {
		return nil, err
	}
	return reducer.DecodeState(newest.State)
}

func (l *fakeLog) Append(context.Context, *schema.Record) error { return l.call(0, 1) }

func (l *fakeLog) SaveMember(_ context.Context, self *schema.Member) error {
	if err := l.call(0, 1); err != nil {
		return err
	}
	l.store.saveMember(self)
	return nil
}

func (l *fakeLog) SaveSeed(_ context.Context, m *schema.Member) error {
	if err := l.call(0, 1); err != nil {
		return err
	}
	time.Sleep(l.store.seedDelay)
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.seeds[m.Node] = m
	return nil
}

func (l *fakeLog) DeleteSeed(_ context.Context, node string) error {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	delete(l.store.seeds, node)
	return nil
}

func (l *fakeLog) SaveProgress(_ context.Context, _ *schema.Rollout, p *schema.Progress) error {
	if err := l.call(0, 1); err != nil {
		return err
	}
	if l.refusesProgress.Load() {
		return errUnreachable
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	if p.Epoch < l.store.epoch {
		return ErrFenced
	}
	l.store.epoch = p.Epoch
	l.store.progress = append(l.store.progress, proto.CloneOf(p))
	return nil
}
