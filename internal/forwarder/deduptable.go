package forwarder

import (
	"strconv"
	"time"
)

const (
	// maxTrackedIDs and maxTrackedKeys bound the entries of the two dedup tables.
	maxTrackedIDs  = 100_000
	maxTrackedKeys = 20_000
	// maxSavedTotalBytes bounds the bodies of all responses saved in one table.
	maxSavedTotalBytes = 16 << 20
	// idGrace is how long the ID of a call is kept after its deadline.
	idGrace = 5 * time.Second
	// keyLifetime is how long an idempotency key is kept.
	keyLifetime = 10 * time.Minute
)

// entryState is the state of a call in a dedup table.
type entryState int

const (
	// entryRunning means that the call is in progress and may have reached an upstream.
	entryRunning entryState = iota
	// entryFenced means that the call must never run: a request that arrives late is refused.
	entryFenced
	// entryFinished means that the call has ended, with the entry's outcome and response.
	entryFinished
	// entryReserved means that the idempotency key is held for another node, its owner.
	entryReserved
)

// dedupEntry is one call in a dedup table.
type dedupEntry struct {
	key   string
	state entryState
	// outcome is empty for an upstream's own response, else runNo or runUnknown.
	outcome string
	// response is the saved response, or nil if the call has none or it could not be saved.
	response *savedResponse
	// owner identifies the process for which a key is reserved, as in headerOwner.
	owner   string
	expires time.Time
	// waiting holds the calls that get their response from the entry once it is finished.
	waiting []*exchange
}

// dedupTable records calls so that none runs twice: one table holds the IDs of calls from other nodes, another the
// idempotency keys. An entry stays until it expires, since its call could otherwise run again; only one whose call
// is known not to have run may be removed before. A full table takes no new calls.
type dedupTable struct {
	entries map[string]*dedupEntry
	limit   int
	// bytes is the size of the bodies of all saved responses, at most maxSavedTotalBytes.
	bytes int
}

func newDedupTable(limit int) *dedupTable {
	return &dedupTable{entries: map[string]*dedupEntry{}, limit: limit}
}

// idKey returns the key under which a dedup table holds a call's ID.
func idKey(id uint64) string { return strconv.FormatUint(id, 16) }

func (t *dedupTable) get(key string) (*dedupEntry, bool) {
	e, ok := t.entries[key]
	return e, ok
}

// start adds a running entry, or returns nil if the table is full.
func (t *dedupTable) start(key string, expires time.Time) *dedupEntry {
	return t.add(key, entryRunning, expires)
}

func (t *dedupTable) add(key string, state entryState, expires time.Time) *dedupEntry {
	if len(t.entries) >= t.limit {
		return nil
	}
	e := &dedupEntry{key: key, state: state, expires: expires}
	t.entries[key] = e
	return e
}

// finish ends an entry and responds to the calls that wait for it. The response is saved if there is room for it.
func (t *dedupTable) finish(e *dedupEntry, r *savedResponse, outcome string) {
	e.state = entryFinished
	e.outcome = outcome
	if r != nil && !r.bodyOmitted && t.bytes+len(r.body) <= maxSavedTotalBytes {
		e.response = r
		t.bytes += len(r.body)
	}
	waiting := e.waiting
	e.waiting = nil
	for _, x := range waiting {
		x.respondFrom(e)
	}
}

// remove deletes an entry that has expired, or whose call is known not to have run.
func (t *dedupTable) remove(e *dedupEntry) {
	delete(t.entries, e.key)
	if e.response != nil {
		t.bytes -= len(e.response.body)
	}
}

// sweep removes expired entries, except for running ones.
func (t *dedupTable) sweep(now time.Time) {
	for _, e := range t.entries {
		if now.After(e.expires) && e.state != entryRunning {
			t.remove(e)
		}
	}
}
