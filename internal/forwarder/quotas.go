package forwarder

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/tamarackpitch/tamarackpitch/internal/granter"
	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// reasonOverQuota is the refusal of a call whose customer has used up its quota.
	reasonOverQuota = "over-quota"
	// granterChoices is the number of nodes that are considered as the granter of a group.
	granterChoices = 2
	// maxReturnAge is how old a call may be that has not run for its token to be given back. Older tokens would allow more
	// calls in a later window than the quota does.
	maxReturnAge = 500 * time.Millisecond
	// firstQuotaDelay is how long after the first quota of all calls still need no token, so that nodes can lend their shares
	// before. Until then there was no limit, so there is none to keep in the window of the change.
	firstQuotaDelay = 2 * time.Second
	// quotaLogInterval is the least time between two log lines about quotas, of each kind.
	quotaLogInterval = 5 * time.Second
)

// customerGroups returns the number of groups into which customers are divided, each with its own granter, in a mesh of a
// number of members.
func customerGroups(members int) int {
	groups := 4
	for limit := 128; members > limit && groups < 16; limit *= 2 {
		groups *= 2
	}
	return groups
}

// quotas enforces the quotas of customers on the calls that enter the mesh at this node, and grants tokens to other nodes.
// Forwarder.mu guards its fields but granter and lacks, which are safe for concurrent use.
type quotas struct {
	forwarder *Forwarder
	granter   *granter.Granter
	// lacks bounds the log lines about customers that have used up their quota.
	lacks *rate.Sometimes
	// shares is the number of shares into which the quotas are divided.
	shares int
	// askers holds one asker for each group of customers. It is empty until the configuration has a quota.
	askers []*tokenAsker
	// groups is the number of groups in use, at most len(askers).
	groups int
	// unlimited is set once this process has been ready without any quota; enforcedFrom is when calls begin to need tokens.
	unlimited    bool
	enforcedFrom time.Time
	// refused counts the calls refused by customer since the last log line, which was written at loggedAt.
	refused  map[string]int
	loggedAt time.Time
}

func newQuotas(f *Forwarder) quotas {
	return quotas{forwarder: f, granter: granter.New(), lacks: &rate.Sometimes{Interval: quotaLogInterval},
		refused: map[string]int{}}
}

// update adapts the groups and their granters to a snapshot. Nothing is started before the first quota is configured.
func (q *quotas) update(s *router.Snapshot, now time.Time) {
	if !s.Ready {
		return
	}
	if !s.HasQuotas() {
		q.unlimited = true
		return
	}
	if q.unlimited && q.groups == 0 {
		q.enforcedFrom = now.Add(firstQuotaDelay)
	}
	q.shares = s.QuotaShares
	if n := customerGroups(q.shares); n > q.groups {
		q.regroup(n, now)
	}
	nodes, addresses := quotaNodes(s)
	for i, a := range q.askers {
		a.spender.Members = q.shares
		a.addresses = addresses
		ranked := ranker.Rank("quota/"+strconv.Itoa(i), nodes, func(n string) string { return n })
		a.spender.Granters = ranked[:min(len(ranked), granterChoices)]
	}
}

// quotaNodes returns the nodes that may grant tokens, those beside live upstreams, and their control addresses. A node that
// is about to leave is not among them for itself.
func quotaNodes(s *router.Snapshot) ([]string, map[string]string) {
	addresses := map[string]string{}
	for _, service := range s.Services {
		for _, e := range service.Nodes {
			if e.Node != s.Node || !s.Leaving {
				addresses[e.Node] = e.ControlAddress
			}
		}
	}
	return slices.Collect(maps.Keys(addresses)), addresses
}

// regroup divides the customers into more groups. Calls that wait for a token ask for it in their new group.
func (q *quotas) regroup(groups int, now time.Time) {
	f := q.forwarder
	q.groups = groups
	var waiting []*exchange
	for i := range groups {
		spender := granter.NewSpender[*exchange](f.common.Settings.Name, i, groups, q.shares, now)
		if i < len(q.askers) {
			waiting = append(waiting, q.askers[i].spender.Waiting()...)
			q.askers[i].spender = spender
			continue
		}
		a := &tokenAsker{forwarder: f, spender: spender, wake: make(chan struct{}, 1), done: make(chan struct{})}
		q.askers = append(q.askers, a)
		go a.run()
	}
	for _, x := range waiting {
		if !x.ended {
			x.takeToken()
		}
	}
}

// asker returns the asker of the customer's group.
func (q *quotas) asker(customer string) *tokenAsker {
	return q.askers[xxhash.Sum64String(customer)%uint64(q.groups)]
}

// close waits until the askers have stopped. Forwarder.stop must be closed.
func (q *quotas) close() {
	for _, a := range q.askers {
		<-a.done
	}
}

// limit looks up the quota of a customer in the configuration in force.
func (f *Forwarder) limit(customer string) (granter.Limit, bool) {
	c := f.snapshot.Load().Customer(customer)
	return granter.Limit{PerSecond: c.GetRatePerSecond(), Burst: c.GetBurst()}, c.GetRatePerSecond() > 0
}

// GrantTokens answers another node's request for tokens.
func (f *Forwarder) GrantTokens(r *schema.TokenRequest) *schema.TokenResponse {
	f.stats.TokenRequestsServed.Add(1)
	now, snapshot := time.Now(), f.snapshot.Load()
	if r.Node != f.common.Settings.Name && (snapshot.Leaving || !snapshot.Ready || !snapshot.Configured) {
		// Without a configuration, no customer would be limited here.
		return f.quotas.granter.Release(r, now)
	}
	answer := f.quotas.granter.Grant(r, f.limit, snapshot.QuotaShares, now)
	for i, g := range answer.Grants {
		if g.RetryAfterMs > 0 {
			f.quotas.lacks.Do(func() { f.logLack(r, r.Demands[i].Customer, now) })
			break
		}
	}
	return answer
}

// logLack logs that a customer has used up its quota.
func (f *Forwarder) logLack(r *schema.TokenRequest, customer string, now time.Time) {
	u := f.quotas.granter.Use(r.Group, r.Groups, customer, f.limit, now)
	f.common.Logger.Info("quota used up", "customer", customer, "limit", u.Limit.PerSecond, "burst", u.Limit.Burst,
		"calls-per-second", u.CallsPerSecond, "held", u.Held, "share", u.Share)
}

// takeToken takes a token of the call's customer, and goes on with the call once it has one. Without a quota, the call
// needs none.
func (x *exchange) takeToken() {
	f := x.forwarder
	if x.customer.GetRatePerSecond() <= 0 || len(f.quotas.askers) == 0 || x.startedAt.Before(f.quotas.enforcedFrom) {
		x.startAdmitted()
		return
	}
	a := f.quotas.asker(x.customerName())
	verdict, retryAfter := a.spender.Take(x.customerName(), x, time.Now())
	x.decideQuota(verdict, retryAfter)
	a.notify()
}

// decideQuota goes on with the call, or refuses it.
func (x *exchange) decideQuota(v granter.Verdict, retryAfter time.Duration) {
	switch v {
	case granter.Admitted:
		x.tokenTaken = true
		x.startAdmitted()
	case granter.Refused:
		x.quotaRetryAfter = retryAfter
		x.forwarder.quotas.countRefused(x.customerName())
		x.refuse(http.StatusTooManyRequests, reasonOverQuota, runNo)
	case granter.Waiting:
	}
}

// returnToken gives back the token of a call that has not run.
func (x *exchange) returnToken() {
	if !x.tokenTaken || time.Since(x.startedAt) > maxReturnAge {
		return
	}
	x.tokenTaken = false
	x.forwarder.quotas.asker(x.customerName()).spender.Return(x.customerName())
}

// countRefused counts a refused call, and at intervals logs those since the last line.
func (q *quotas) countRefused(customer string) {
	q.refused[customer]++
	now := time.Now()
	if now.Sub(q.loggedAt) < quotaLogInterval {
		return
	}
	q.loggedAt = now
	most, calls := "", 0
	for name, n := range q.refused {
		calls += n
		if most == "" || n > q.refused[most] {
			most = name
		}
	}
	q.forwarder.common.Logger.Info("calls over their quota refused", "calls", calls, "customers", len(q.refused), "most", most,
		"most-calls", q.refused[most])
	clear(q.refused)
}
