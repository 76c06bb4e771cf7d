package granter

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// sweepInterval is the time between two searches for customers and nodes that are no longer heard of.
const sweepInterval = 5 * time.Second

// ledger holds the buckets of one group of customers and the shares that are lent to fill them.
type ledger struct {
	loans map[string]loan
	// lent is the integral of the lent shares over time, in seconds, up to advancedAt.
	lent       float64
	advancedAt time.Time
	// topShare is the largest share lent since lent was emptyUntil. Buckets that have not been used since then are empty: the
	// share that filled them was lent elsewhere meanwhile, and may have filled another granter's bucket of the same customer.
	topShare   float64
	emptyUntil float64
	sweptAt    time.Time
	buckets    map[string]*bucket
}

// loan is the share of all rates that a node lends from one time until another.
type loan struct {
	share       float64
	from, until time.Time
}

// overlap returns the part of the loan, in seconds, between two times.
func (l loan) overlap(from, until time.Time) float64 {
	if from.Before(l.from) {
		from = l.from
	}
	if until.After(l.until) {
		until = l.until
	}
	return max(until.Sub(from).Seconds(), 0)
}

func newLedger(now time.Time) *ledger {
	return &ledger{loans: map[string]loan{}, advancedAt: now, sweptAt: now, buckets: map[string]*bucket{}}
}

// lend records the share that a node lends. Both ends may know a different number of members; the larger one counts.
func (l *ledger) lend(r *schema.TokenRequest, members int, now time.Time) {
	l.advance(now)
	delete(l.loans, r.Node)
	if until := now.Add(millis(r.LentUntilMs)); r.LentUntilMs > r.LentFromMs {
		l.loans[r.Node] = loan{share: 1 / float64(max(int(r.Members), members, 1)), from: now.Add(millis(r.LentFromMs)), until: until}
	}
	if now.Sub(l.sweptAt) >= sweepInterval {
		l.sweep(now)
	}
}

// advance adds the lent shares up to now, and ends loans that are over.
func (l *ledger) advance(now time.Time) {
	for node, n := range l.loans {
		l.lent += n.share * n.overlap(l.advancedAt, now)
		if !now.Before(n.until) {
			delete(l.loans, node)
		}
	}
	l.advancedAt = now
	l.noteShare(l.share(now))
}

// noteShare empties the buckets if less than half of the largest share is still lent.
func (l *ledger) noteShare(share float64) {
	if share >= l.topShare/2 {
		l.topShare = max(l.topShare, share)
		return
	}
	l.topShare = share
	l.emptyUntil = l.lent
}

// share returns the part of all rates that is lent now, from 0 to 1.
func (l *ledger) share(now time.Time) float64 {
	total := 0.0
	for _, n := range l.loans {
		if !now.Before(n.from) {
			total += n.share
		}
	}
	return min(total, 1)
}

// grant answers one demand of a node. If this node does not know the customer yet, or no limit of it, waiting calls are let
// through: the configuration in force there may be newer.
func (l *ledger) grant(node string, d *schema.TokenDemand, lookup Lookup, now time.Time) *schema.TokenGrant {
	limit, ok := lookup(d.Customer)
	if !ok {
		return &schema.TokenGrant{Tokens: d.Waiting}
	}
	b := l.buckets[d.Customer]
	if b == nil {
		b = &bucket{holders: map[string]holder{}}
		l.buckets[d.Customer] = b
	}
	if b.lent < l.emptyUntil {
		b.tokens, b.lent = 0, l.emptyUntil
	}
	return b.grant(node, d, limit, l.lent, l.share(now), now)
}

func (l *ledger) sweep(now time.Time) {
	l.sweptAt = now
	for _, b := range l.buckets {
		b.sweep(now)
	}
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
