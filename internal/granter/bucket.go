package granter

import (
	"math"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// holderLifetime is how long the tokens of a node count as held after its last request. It is longer than tokenLifetime.
	holderLifetime = 15 * time.Second
	// maxHeldSeconds bounds the tokens that a node holds, as the time in which its calls use them up.
	maxHeldSeconds = 2.0
	// unmetWindow is the time over which calls without a token count for when to come again.
	unmetWindow = time.Second
	// maxRetryAfter bounds the time until a customer is expected to have tokens again.
	maxRetryAfter = 5 * time.Second
)

// bucket is the token bucket of one customer.
type bucket struct {
	tokens float64
	// lent is the ledger's lent up to which the bucket is filled.
	lent float64
	// holders holds what is known of the nodes that ask for the customer. heldTotal, reservedTotal and callsPerSecond are
	// their sums.
	holders        map[string]holder
	heldTotal      int
	reservedTotal  int
	callsPerSecond float64
	// unmet counts the calls that found no token within about unmetWindow.
	unmet fadingSum
}

// holder is a node's last request for a customer.
type holder struct {
	// held is the largest number of tokens that the node may hold.
	held int
	// reserved is held without the tokens that were granted for waiting calls.
	reserved       int
	callsPerSecond float64
	askedAt        time.Time
}

// grant fills the bucket and takes the tokens for a node from it: one for each call that waits, and, as far as heldLimit
// allows, those that the node should hold for the next calls.
func (b *bucket) grant(node string, d *schema.TokenDemand, limit Limit, lent, share float64, now time.Time) *schema.TokenGrant {
	b.tokens += limit.PerSecond*(lent-b.lent) + float64(d.Returned)
	b.tokens = min(b.tokens, limit.capacity(share))
	b.lent = lent
	h := holder{held: int(d.Held), reserved: int(d.Held), callsPerSecond: float64(d.CallsPerSecond), askedAt: now}
	b.replace(node, h)

	waiting := min(int(d.Waiting), whole(b.tokens))
	b.tokens -= float64(waiting)
	missing := b.level(float64(d.CallsPerSecond), limit, share) - int(d.Held)
	room := whole(limit.heldLimit(share)) - b.heldTotal
	reserve := max(min(missing, room, whole(b.tokens)), 0)
	b.tokens -= float64(reserve)

	g := &schema.TokenGrant{Tokens: uint32(waiting + reserve), Surplus: uint32(b.surplus(int(d.Held), limit))}
	b.unmet.add(float64(int(d.Waiting)-waiting+int(d.Refused)), unmetWindow, now)
	if waiting < int(d.Waiting) || missing > 0 && int(d.Held)+reserve == 0 && b.tokens < 1 {
		g.RetryAfterMs = uint32(b.retryAfter(limit, share, now).Milliseconds())
	}
	h.held += int(g.Tokens) - int(g.Surplus)
	h.reserved += reserve - int(g.Surplus)
	b.replace(node, h)
	return g
}

// surplus returns how many of the tokens that a node holds it has to give back, after the limit was lowered.
func (b *bucket) surplus(held int, limit Limit) int {
	return max(min(b.reservedTotal-whole(limit.heldLimit(1)), held), 0)
}

// level returns how many tokens a node should hold: its part of heldLimit by its part of the demand. It is 0 if the next
// call is not expected soon: tokens that lie idle at many nodes would be missing where calls are made.
func (b *bucket) level(callsPerSecond float64, limit Limit, share float64) int {
	if callsPerSecond <= 0 {
		return 0
	}
	part := limit.heldLimit(share) * callsPerSecond / max(b.callsPerSecond, callsPerSecond)
	return int(math.Round(min(part, callsPerSecond*maxHeldSeconds)))
}

// replace replaces what is known of a node.
func (b *bucket) replace(node string, h holder) {
	b.remove(node)
	if h.held > 0 || h.callsPerSecond > 0 {
		b.holders[node] = h
		b.heldTotal += h.held
		b.reservedTotal += h.reserved
		b.callsPerSecond += h.callsPerSecond
	}
}

func (b *bucket) remove(node string) {
	old := b.holders[node]
	b.heldTotal -= old.held
	b.reservedTotal -= old.reserved
	b.callsPerSecond = max(b.callsPerSecond-old.callsPerSecond, 0)
	delete(b.holders, node)
}

// retryAfter returns the time after which a refused call is expected to find a token: that in which the bucket fills enough
// for the calls that have found none and may come again before it.
func (b *bucket) retryAfter(limit Limit, share float64, now time.Time) time.Duration {
	perSecond := limit.PerSecond * share
	if perSecond <= 0 {
		return maxRetryAfter
	}
	seconds := min((1+b.unmet.value(unmetWindow, now))/perSecond, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}

// whole returns the whole tokens of a number that may be too large for an int.
func whole(tokens float64) int { return int(min(tokens, math.MaxInt32)) }

func (b *bucket) sweep(now time.Time) {
	for node, h := range b.holders {
		if now.Sub(h.askedAt) >= holderLifetime {
			b.remove(node)
		}
	}
}
