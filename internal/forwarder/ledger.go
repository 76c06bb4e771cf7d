package forwarder

import (
	"strconv"
	"time"
)

const (
	// maxIDs and maxKeys bound the remembered calls.
	maxIDs  = 100_000
	maxKeys = 20_000
	// maxLedgerBytes bounds the kept answers of one ledger.
	maxLedgerBytes = 16 << 20
	// idGrace is how long a call is remembered beyond its deadline.
	idGrace = 5 * time.Second
	// keyLifetime is how long an idempotency key is remembered.
	keyLifetime = 10 * time.Minute
)

// entryState tells what became of a remembered call.
type entryState int

const (
	// entryRunning may have reached an upstream.
	entryRunning entryState = iota
	// entryFenced never runs: a late request with this key is refused.
	entryFenced
	// entryFinished has ended; outcome and answer tell how.
	entryFinished
	// entryReserved is held for the node that owns the key.
	entryReserved
)

// ledgerEntry is one remembered call.
type ledgerEntry struct {
	key     string
	state   entryState
	outcome string
	answer  *answer
	// owner is the node that reserved the key.
	owner   string
	expires time.Time
	// waiting are calls that get the answer once it is there.
	waiting []*exchange
}

// ledger remembers calls by key. Every entry stays until it expires, since a forgotten one could run twice.
type ledger struct {
	entries map[string]*ledgerEntry
	limit   int
	// bytes held in kept answers, at most maxLedgerBytes.
	bytes int
}

func newLedger(limit int) *ledger {
	return &ledger{entries: map[string]*ledgerEntry{}, limit: limit}
}

func ledgerKey(id uint64) string { return strconv.FormatUint(id, 16) }

func (l *ledger) get(key string) (*ledgerEntry, bool) {
	e, ok := l.entries[key]
	return e, ok
}

// start adds a running entry, or returns nil if there is no room.
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

// finish closes an entry and answers those that wait for it.
func (l *ledger) finish(e *ledgerEntry, a *answer, outcome string) {
	e.state = entryFinished
	e.outcome = outcome
	if a != nil && !a.tooLong && l.bytes+len(a.body) <= maxLedgerBytes {
		e.answer = a
		l.bytes += len(a.body)
	}
	waiting := e.waiting
	e.waiting = nil
	for _, x := range waiting {
		x.answerFrom(e)
	}
}

// forget drops an entry whose call is known not to have run.
func (l *ledger) forget(e *ledgerEntry) {
	delete(l.entries, e.key)
	if e.answer != nil {
		l.bytes -= len(e.answer.body)
	}
}

func (l *ledger) sweep(now time.Time) {
	for _, e := range l.entries {
		if now.After(e.expires) && e.state != entryRunning {
			l.forget(e)
		}
	}
}
