package forwarder

import (
	"strconv"
	"time"
)

const (
	// maxIDs and maxKeys bound the entries of the two ledgers.
	maxIDs  = 100_000
	maxKeys = 20_000
	// maxSavedTotalBytes bounds the bodies of all responses saved in one ledger.
	maxSavedTotalBytes = 16 << 20
	// idGrace is how long the id of a call is kept after its deadline.
	idGrace = 5 * time.Second
	// keyLifetime is how long an idempotency key is kept.
	keyLifetime = 10 * time.Minute
)

// entryState is the state of a call in a ledger.
type entryState int

const (
	// entryRunning means that the call is under way and may have reached an upstream.
	entryRunning entryState = iota
	// entryFenced means that the call must never run: a request that arrives late is refused.
	entryFenced
	// entryFinished means that the call has ended, with the entry's outcome and response.
	entryFinished
	// entryReserved means that the idempotency key is held for another node, its owner.
	entryReserved
)

// ledgerEntry is one call in a ledger.
type ledgerEntry struct {
	key   string
	state entryState
	// outcome is empty for an upstream's own response, else runNo or runUnknown.
	outcome string
	// response is nil if the call ended without a response that could be saved.
	response *savedResponse
	// owner is the node for which a key is reserved.
	owner   string
	expires time.Time
	// waiting are the calls that are responded to from the entry once it is finished.
	waiting []*exchange
}

// ledger records calls so that none runs twice: one ledger holds the ids of calls from other nodes, another the
// idempotency keys. An entry is kept until it expires, unless its call is known not to have run, since the call could
// otherwise run again. A full ledger takes no new calls.
type ledger struct {
	entries map[string]*ledgerEntry
	limit   int
	// bytes is the size of the bodies of all saved responses, at most maxSavedTotalBytes.
	bytes int
}

func newLedger(limit int) *ledger {
	return &ledger{entries: map[string]*ledgerEntry{}, limit: limit}
}

// ledgerKey returns the key of a call's id.
func ledgerKey(id uint64) string { return strconv.FormatUint(id, 16) }

func (l *ledger) get(key string) (*ledgerEntry, bool) {
	e, ok := l.entries[key]
	return e, ok
}

// start adds a running entry, or returns nil if the ledger is full.
func (l *ledger) start(key string, expires time.Time) *ledgerEntry {
	return l.add(key, entryRunning, expires)
}

func (l *ledger) add(key string, state entryState, expires time.Time) *ledgerEntry {
	if len(l.entries) >= l.limit {
		return nil
	}
	e := &ledgerEntry{key: key, state: state, expires: expires}
	l.entries[key] = e
	return e
}

// finish ends an entry and responds to the calls that wait for it. The response is saved if there is room for it.
func (l *ledger) finish(e *ledgerEntry, r *savedResponse, outcome string) {
	e.state = entryFinished
	e.outcome = outcome
	if r != nil && !r.bodyOmitted && l.bytes+len(r.body) <= maxSavedTotalBytes {
		e.response = r
		l.bytes += len(r.body)
	}
	waiting := e.waiting
	e.waiting = nil
	for _, x := range waiting {
		x.respondFrom(e)
	}
}

// remove deletes an entry that has expired, or whose call is known not to have run.
func (l *ledger) remove(e *ledgerEntry) {
	delete(l.entries, e.key)
	if e.response != nil {
		l.bytes -= len(e.response.body)
	}
}

// sweep removes expired entries, except for running ones.
func (l *ledger) sweep(now time.Time) {
	for _, e := range l.entries {
		if now.After(e.expires) && e.state != entryRunning {
			l.remove(e)
		}
	}
}
