// Package granter enforces the customers' quotas over all nodes: a granter keeps the token buckets of a group of customers,
// and spenders, one a node and group, hold tokens of it, each good for one call.
//
// A bucket is not filled by its granter alone. Every node has an equal share of all rates, which it lends to one granter at a
// time. Shares are never counted twice, so that the quotas also hold while granters change or the mesh is partitioned: each
// part then has the shares of its nodes.
package granter

import (
	"sync"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Limit is the quota of one customer.
type Limit struct {
	// PerSecond is the rate at which the customer's bucket fills.
	PerSecond float64
	// Burst is the capacity of the bucket.
	Burst float64
}

// Any window may have a few more calls than the limit allows. That tolerance is used for what follows.
const (
	// heldTime and heldBase bound the unspent tokens of all nodes: the tokens of heldTime at the customer's rate, and heldBase.
	heldTime = 350 * time.Millisecond
	heldBase = 6
	// extraTokens is added to the burst. Without it, customers with few calls a second are refused for calls that come in
	// small groups.
	extraTokens = 10
)

// heldLimit returns how many tokens of a customer all nodes together may hold if share of the rate is lent.
func (l Limit) heldLimit(share float64) float64 {
	return (l.PerSecond*heldTime.Seconds() + heldBase) * share
}

// capacity returns the capacity of a bucket to which share of the rate is lent. It holds at least one token, else a small
// share would never fill up to one.
func (l Limit) capacity(share float64) float64 { return max((l.Burst+extraTokens)*share, 1) }

// Use is how a customer uses its quota, as a granter knows it.
type Use struct {
	Limit Limit
	// CallsPerSecond is the rate of calls at all nodes, Held the unspent tokens there.
	CallsPerSecond float64
	Held           int
	// Share is the part of the rate that nodes lend to the granter, from 0 to 1.
	Share float64
}

// Lookup returns the limit of a customer, and whether the customer is known.
type Lookup func(customer string) (Limit, bool)

// group identifies a group of customers among a number of groups.
type group struct {
	index, count uint32
}

// Granter grants tokens to the spenders of all nodes. It is safe for concurrent use.
type Granter struct {
	mu      sync.Mutex
	ledgers map[group]*ledger
}

// New returns a granter whose buckets are empty.
func New() *Granter { return &Granter{ledgers: map[group]*ledger{}} }

// Grant answers a request. members is the number of members of the mesh that this node knows.
func (g *Granter) Grant(r *schema.TokenRequest, lookup Lookup, members int, now time.Time) *schema.TokenResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := group{index: r.Group, count: r.Groups}
	l := g.ledgers[key]
	if l == nil {
		l = newLedger(now)
		g.ledgers[key] = l
	}
	l.lend(r, members, now)
	answer := &schema.TokenResponse{Grants: make([]*schema.TokenGrant, 0, len(r.Demands))}
	for _, d := range r.Demands {
		answer.Grants = append(answer.Grants, l.grant(r.Node, d, lookup, now))
	}
	return answer
}

// Release ends the loan of a node that asks a granter which is about to leave, so that the node can lend its share to another
// at once.
func (g *Granter) Release(r *schema.TokenRequest, now time.Time) *schema.TokenResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.ledgers[group{index: r.Group, count: r.Groups}]; l != nil {
		l.advance(now)
		delete(l.loans, r.Node)
	}
	return &schema.TokenResponse{Leaving: true}
}

// Use returns how a customer of a group uses its quota.
func (g *Granter) Use(index, groups uint32, customer string, lookup Lookup, now time.Time) Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := Use{}
	u.Limit, _ = lookup(customer)
	if l := g.ledgers[group{index: index, count: groups}]; l != nil {
		u.Share = l.share(now)
		if b := l.buckets[customer]; b != nil {
			u.CallsPerSecond, u.Held = b.callsPerSecond, b.heldTotal
		}
	}
	return u
}
