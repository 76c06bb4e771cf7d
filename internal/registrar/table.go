// Package registrar keeps the membership table: for each node its newest known member message, ordered by incarnation
// and sequence, in the manner of SWIM.
//
// The table has no clock and no goroutine of its own: time is a parameter, and one goroutine owns the table.
package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Buckets is the number of digests by which two tables find their differences. All nodes must have the same one.
const Buckets = 64

// tombstoneLifetime is how long a member that is dead or has left is kept. It outlasts the expected partitions between
// regions, so that the members on the other side can still be dialled afterwards.
const tombstoneLifetime = 2 * time.Hour

// MaxMembers is the maximum number of members in a table, tombstones included. Further ones are ignored.
const MaxMembers = 100_000

// Config builds a Table.
type Config struct {
	// Self is the node's own member.
	Self *schema.Member
	// DeadAfter is the time from suspicion to death, unless the member refutes.
	DeadAfter time.Duration
}

// entry is a member with what is local to this table.
type entry struct {
	member *schema.Member
	// storedAt is the local time at which the member was stored. Each newer update sets it, also at the same status.
	storedAt time.Time
	hash     uint64
}

// Table holds every known member, this node included. It is not safe for concurrent use. The members that it returns
// are shared and must not be changed.
type Table struct {
	config Config
	self   *schema.Member
	// entries holds the members by node name. The node's own is always alive or left.
	entries map[string]*entry
	// expiring holds the entries that Tick has to look at: suspects and tombstones.
	expiring map[string]*entry
	// revision increases with every change.
	revision uint64
	// digests holds, for each bucket, the XOR of the hashes of its members that are alive or suspect.
	digests [Buckets]uint64
}

// New returns a table with this node only.
func New(c Config, now time.Time) *Table {
	t := &Table{config: c, self: c.Self, entries: map[string]*entry{}, expiring: map[string]*entry{}}
	t.store(c.Self, now)
	return t
}

// Self returns this node's own member.
func (t *Table) Self() *schema.Member { return t.self }

// SetSelf applies a change to a copy of this node's own member and increments its sequence. It returns the update to
// send to other nodes, or nil if nothing changed.
func (t *Table) SetSelf(change func(*schema.Member), now time.Time) *schema.Member {
	next := proto.CloneOf(t.self)
	change(next)
	if proto.Equal(next, t.self) {
		return nil
	}
	next.Sequence++
	t.self = next
	t.store(next, now)
	return next
}

// newer reports whether a supersedes b, both about the same node. At equal incarnation and sequence the higher status
// wins: suspect over alive, dead over suspect.
func newer(a, b *schema.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.Status > b.Status
}

// Merge merges an update about a member. It returns the update to forward, or nil if the table did not change. For a
// newer update about this node itself, such as a suspicion, that is the refutation. Unknown members that are dead or
// have left are ignored.
func (t *Table) Merge(m *schema.Member, now time.Time) *schema.Member {
	if m.GetNode() == "" {
		return nil
	}
	if m.Node == t.self.Node {
		return t.refute(m, now)
	}
	known, ok := t.entries[m.Node]
	if !ok && (isDeadOrLeft(m) || len(t.entries) >= MaxMembers) {
		return nil
	}
	if ok && !newer(m, known.member) {
		return nil
	}
	t.store(m, now)
	return m
}

// refute supersedes an update about this node that is newer than its own member, and so not from this process. It
// returns nil if the update is not newer or this node has left.
func (t *Table) refute(m *schema.Member, now time.Time) *schema.Member {
	if t.self.Status == schema.MemberStatus_MEMBER_STATUS_LEFT || !newer(m, t.self) {
		return nil
	}
	next := proto.CloneOf(t.self)
	next.Incarnation = max(m.Incarnation, next.Incarnation)
	next.Sequence = m.Sequence + 1
	t.self = next
	t.store(next, now)
	return next
}

// Suspect marks an alive member as suspect and returns the update to send, or nil if nothing changed.
func (t *Table) Suspect(node string, now time.Time) *schema.Member {
	known, ok := t.entries[node]
	if !ok || node == t.self.Node || known.member.Status != schema.MemberStatus_MEMBER_STATUS_ALIVE {
		return nil
	}
	return t.setStatus(known, schema.MemberStatus_MEMBER_STATUS_SUSPECT, now)
}

// Tick declares suspects dead that did not refute in time and removes old tombstones. It returns the updates to send.
func (t *Table) Tick(now time.Time) []*schema.Member {
	var changed []*schema.Member
	for name, e := range t.expiring {
		switch {
		case e.member.Status == schema.MemberStatus_MEMBER_STATUS_SUSPECT && now.Sub(e.storedAt) >= t.config.DeadAfter:
			changed = append(changed, t.setStatus(e, schema.MemberStatus_MEMBER_STATUS_DEAD, now))
		case isDeadOrLeft(e.member) && now.Sub(e.storedAt) >= tombstoneLifetime && name != t.self.Node:
			delete(t.entries, name)
			delete(t.expiring, name)
			t.revision++
		}
	}
	return changed
}

func (t *Table) setStatus(e *entry, status schema.MemberStatus, now time.Time) *schema.Member {
	next := proto.CloneOf(e.member)
	next.Status = status
	t.store(next, now)
	return next
}

func (t *Table) store(m *schema.Member, now time.Time) {
	b := bucket(m.Node)
	if old, ok := t.entries[m.Node]; ok {
		t.digests[b] ^= old.hash
	}
	e := &entry{member: m, storedAt: now, hash: hash(m)}
	t.entries[m.Node] = e
	t.revision++
	if m.Status == schema.MemberStatus_MEMBER_STATUS_ALIVE {
		delete(t.expiring, m.Node)
	} else {
		t.expiring[m.Node] = e
	}
	t.digests[b] ^= e.hash
}

// hash returns the hash of a member for the digests. It is zero for a member that is dead or has left, so that removing
// a tombstone changes no digest.
func hash(m *schema.Member) uint64 {
	if isDeadOrLeft(m) {
		return 0
	}
	bytes, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(bytes)
}

func bucket(node string) int {
	return int(xxhash.Sum64String(node) % Buckets)
}

// isDeadOrLeft reports whether a member is dead or has left.
func isDeadOrLeft(m *schema.Member) bool {
	return m.Status == schema.MemberStatus_MEMBER_STATUS_DEAD || m.Status == schema.MemberStatus_MEMBER_STATUS_LEFT
}

// Digest returns a digest of all members that are alive or suspect. Tables with the same ones have the same digest.
func (t *Table) Digest() uint64 {
	var all uint64
	for i, d := range t.digests {
		all ^= d * uint64(2*i+1)
	}
	return all
}

// BucketDigests returns the digest of each bucket.
func (t *Table) BucketDigests() []uint64 {
	return slices.Clone(t.digests[:])
}

// Differing returns the members, tombstones included, of all buckets whose digest differs from that of another table.
// It returns nil if the number of digests is not Buckets.
func (t *Table) Differing(digests []uint64) []*schema.Member {
	if len(digests) != Buckets {
		return nil
	}
	var members []*schema.Member
	for name, e := range t.entries {
		b := bucket(name)
		if t.digests[b] != digests[b] {
			members = append(members, e.member)
		}
	}
	return members
}

// Get returns a member, or nil.
func (t *Table) Get(node string) *schema.Member {
	if e, ok := t.entries[node]; ok {
		return e.member
	}
	return nil
}

// Usable returns the members that are alive or only suspect, this node included, sorted by name.
func (t *Table) Usable() []*schema.Member {
	members := make([]*schema.Member, 0, len(t.entries))
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		if m := t.entries[name].member; !isDeadOrLeft(m) {
			members = append(members, m)
		}
	}
	return members
}

// Dead returns the dead members, without those that have left, sorted by name.
func (t *Table) Dead() []*schema.Member {
	return t.deadOrLeft(func(e *entry) bool { return e.member.Status == schema.MemberStatus_MEMBER_STATUS_DEAD })
}

// Absent returns the dead members and those that left within the restart time, since a node that leaves for a restart
// comes back soon. They are sorted by name.
func (t *Table) Absent(now time.Time, restart time.Duration) []*schema.Member {
	return t.deadOrLeft(func(e *entry) bool {
		return e.member.Status == schema.MemberStatus_MEMBER_STATUS_DEAD || now.Sub(e.storedAt) <= restart
	})
}

// LeftCount returns the number of members that have left.
func (t *Table) LeftCount() int {
	count := 0
	for _, e := range t.expiring {
		if e.member.Status == schema.MemberStatus_MEMBER_STATUS_LEFT {
			count++
		}
	}
	return count
}

// deadOrLeft returns the members that are dead or have left and match, sorted by name.
func (t *Table) deadOrLeft(match func(*entry) bool) []*schema.Member {
	var members []*schema.Member
	for _, name := range slices.Sorted(maps.Keys(t.expiring)) {
		if e := t.expiring[name]; isDeadOrLeft(e.member) && match(e) {
			members = append(members, e.member)
		}
	}
	return members
}

// Revision returns a number that increases with every change of the table.
func (t *Table) Revision() uint64 { return t.revision }

// Len returns the number of members, tombstones included.
func (t *Table) Len() int { return len(t.entries) }
