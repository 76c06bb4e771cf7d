// Package registrar keeps the membership table: one incarnation-numbered fact for each node.
//
// The table is pure: time is a parameter, and one goroutine owns it.
package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Buckets is the number of digests by which two tables find their differences.
const Buckets = 64

// tombstoneLifetime is how long a dead or departed member is remembered. It outlasts the
// separation of regions, after which the dead ones are looked for.
const tombstoneLifetime = 2 * time.Hour

// MaxMembers bounds the table.
const MaxMembers = 100_000

// Config builds a Table.
type Config struct {
	Self      *schema.Member
	DeadAfter time.Duration
}

// entry is a member with what only this node knows.
type entry struct {
	member *schema.Member
	// storedAt is the local time of the last change of status.
	storedAt time.Time
	hash     uint64
}

// Table holds every known member, this node included.
type Table struct {
	config Config
	self   *schema.Member
	// entries by node name. The node's own entry is always alive or left.
	entries map[string]*entry
	// expiring holds the entries that Tick has to look at: suspects and tombstones.
	expiring map[string]*entry
	// revision grows with every change.
	revision uint64
	// digests holds for each bucket the XOR of the hashes of its live members.
	digests [Buckets]uint64
}

// New returns a table that knows this node only.
func New(c Config, now time.Time) *Table {
	t := &Table{config: c, self: c.Self, entries: map[string]*entry{}, expiring: map[string]*entry{}}
	t.store(c.Self, now)
	return t
}

// Self returns this node's own fact.
func (t *Table) Self() *schema.Member { return t.self }

// SetSelf replaces this node's own fact by a changed one and returns what must be spread.
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

// newer reports whether fact a replaces fact b about the same node.
func newer(a, b *schema.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.Status > b.Status
}

// Merge takes in a fact. It returns the fact to spread further, or nil if the table did not change.
// A suspicion against this node itself returns its refutation.
func (t *Table) Merge(m *schema.Member, now time.Time) *schema.Member {
	if m.GetNode() == "" {
		return nil
	}
	if m.Node == t.self.Node {
		return t.refute(m, now)
	}
	known, ok := t.entries[m.Node]
	if !ok && (isGone(m) || len(t.entries) >= MaxMembers) {
		return nil
	}
	if ok && !newer(m, known.member) {
		return nil
	}
	t.store(m, now)
	return m
}

// refute answers a fact about this node that did not come from this process.
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

// Suspect marks an alive member as suspected and returns the fact to spread, or nil.
func (t *Table) Suspect(node string, now time.Time) *schema.Member {
	known, ok := t.entries[node]
	if !ok || node == t.self.Node || known.member.Status != schema.MemberStatus_MEMBER_STATUS_ALIVE {
		return nil
	}
	return t.setStatus(known, schema.MemberStatus_MEMBER_STATUS_SUSPECT, now)
}

// Tick holds overdue suspects dead and forgets old tombstones. It returns the facts to spread.
func (t *Table) Tick(now time.Time) []*schema.Member {
	var changed []*schema.Member
	for name, e := range t.expiring {
		switch {
		case e.member.Status == schema.MemberStatus_MEMBER_STATUS_SUSPECT && now.Sub(e.storedAt) >= t.config.DeadAfter:
			changed = append(changed, t.setStatus(e, schema.MemberStatus_MEMBER_STATUS_DEAD, now))
		case isGone(e.member) && now.Sub(e.storedAt) >= tombstoneLifetime && name != t.self.Node:
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

// hash is zero for a member that is gone, so that forgetting a tombstone changes no digest.
func hash(m *schema.Member) uint64 {
	if isGone(m) {
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

func isGone(m *schema.Member) bool {
	return m.Status == schema.MemberStatus_MEMBER_STATUS_DEAD || m.Status == schema.MemberStatus_MEMBER_STATUS_LEFT
}

// Digest covers all live members.
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

// Differing returns the members of all buckets whose digest differs from the given ones, tombstones included.
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

// Usable returns the members that are alive or only suspected, sorted by name.
func (t *Table) Usable() []*schema.Member {
	members := make([]*schema.Member, 0, len(t.entries))
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		if m := t.entries[name].member; !isGone(m) {
			members = append(members, m)
		}
	}
	return members
}

// Dead returns the members that are held dead. Members that have left are not among them.
func (t *Table) Dead() []*schema.Member {
	return t.goneMembers(func(e *entry) bool { return e.member.Status == schema.MemberStatus_MEMBER_STATUS_DEAD })
}

// Absent returns the members that are held dead, and those that have left no longer ago than a time:
// a node that leaves for a restart is back soon.
func (t *Table) Absent(now time.Time, restart time.Duration) []*schema.Member {
	return t.goneMembers(func(e *entry) bool {
		return e.member.Status == schema.MemberStatus_MEMBER_STATUS_DEAD || now.Sub(e.storedAt) <= restart
	})
}

// goneMembers returns the members that are dead or have left and fit, sorted by name.
func (t *Table) goneMembers(match func(*entry) bool) []*schema.Member {
	var members []*schema.Member
	for _, name := range slices.Sorted(maps.Keys(t.expiring)) {
		if e := t.expiring[name]; isGone(e.member) && match(e) {
			members = append(members, e.member)
		}
	}
	return members
}

// Revision returns a number that grows with every change of the table.
func (t *Table) Revision() uint64 { return t.revision }

// Len returns the number of remembered members, tombstones included.
func (t *Table) Len() int { return len(t.entries) }
