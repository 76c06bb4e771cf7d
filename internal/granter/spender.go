package granter

import (
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// minInterval and maxInterval bound the time between two requests of a node for a group; intervalPerMember is how much of
	// it there is for each member of the mesh, so that a granter gets as many requests in any mesh.
	minInterval       = 250 * time.Millisecond
	maxInterval       = 2 * time.Second
	intervalPerMember = 8 * time.Millisecond
	// urgentInterval is the least time between two requests while calls wait, and lackInterval while a customer that has used
	// up its quota makes calls. lackTime is how long after an answer the quota is taken to be used up at most.
	urgentInterval = 10 * time.Millisecond
	lackInterval   = 200 * time.Millisecond
	lackTime       = 400 * time.Millisecond
	// loanIntervals is how long a share is lent, in intervals between two requests.
	loanIntervals = 2.5
	// tokenLifetime is how long a token may be spent after the last request that reported it.
	tokenLifetime = 10 * time.Second
	// idleTime is the time without calls after which a node gives back a customer's tokens.
	idleTime = 5 * time.Second
	// avoidTime is how long a granter is not asked again after avoidFailures requests in a row have failed. One may only be
	// late on a busy VM, and another granter could not use this node's share at once.
	avoidTime     = 2 * time.Second
	avoidFailures = 2
	// maxDemands bounds the customers in one request.
	maxDemands = 200
)

// Verdict is what a Spender decides on a call.
type Verdict int

// Verdicts on a call.
const (
	// Admitted means that a token was taken for the call.
	Admitted Verdict = iota
	// Waiting means that the call waits for a token.
	Waiting
	// Refused means that the customer has used up its quota.
	Refused
)

// Outcome is the verdict on a call that has waited. RetryAfter is set if it is Refused.
type Outcome[C any] struct {
	Call       C
	Verdict    Verdict
	RetryAfter time.Duration
}

// Spender holds the tokens of one node for a group of customers. It is not safe for concurrent use. C is a call that may
// wait for a token.
type Spender[C comparable] struct {
	// Node is the name of this node; Group and Groups identify the group.
	Node          string
	Group, Groups int
	// Members is the number of members of the mesh that this node knows.
	Members int
	// Granters holds the nodes that may be the group's granter, in order of preference. It may be empty.
	Granters []string

	spendings map[string]*spending[C]
	// inFlight are the customers of the request in flight, whose granter is asked; asked is empty if none is in flight.
	inFlight []*spending[C]
	asked    string
	askedAt  time.Time
	// loan is how long the request in flight lends the share. Members may change before its answer.
	loan time.Duration
	// borrower is the granter that this node's share was last lent to, until lentUntil at the latest. It is empty if it is not
	// known which of several that is.
	borrower  string
	lentUntil time.Time
	// failures counts the requests in a row that have failed.
	failures int
	// avoidUntil holds the granters to which requests failed. Until one of them has answered again, it gets requests that
	// only probe it: they lend and ask for nothing, so that a failure costs nothing.
	avoidUntil map[string]time.Time
}

// spending is what a spender holds for one customer.
type spending[C comparable] struct {
	customer string
	// held are the unspent tokens. They are good until heldUntil.
	held      int
	heldUntil time.Time
	// returned are tokens to be given back with the next request.
	returned int
	// waiting are the calls that wait for a token; none does while there are tokens.
	waiting []C
	demand  demandMeter
	// lackUntil is set while the customer has used up its quota; retryAt is when it is expected to have tokens again.
	lackUntil time.Time
	retryAt   time.Time
	usedAt    time.Time
	// refused counts the calls refused since the last request.
	refused int
	// changed is set if tokens have been spent or returned, or refused, since the last request.
	changed bool
}

// NewSpender returns a spender without tokens. Its share may have been lent by an earlier process of the node, and counts as
// lent for the time of a loan.
func NewSpender[C comparable](node string, group, groups, members int, now time.Time) *Spender[C] {
	s := &Spender[C]{Node: node, Group: group, Groups: groups, Members: members, spendings: map[string]*spending[C]{},
		avoidUntil: map[string]time.Time{}}
	s.lentUntil = now.Add(s.loanTime())
	return s
}

func (s *Spender[C]) interval() time.Duration {
	return min(max(time.Duration(s.Members)*intervalPerMember, minInterval), maxInterval)
}

func (s *Spender[C]) loanTime() time.Duration {
	return time.Duration(float64(s.interval()) * loanIntervals)
}

// Take decides on a call of a customer. The result's duration is how long a refused caller should wait.
func (s *Spender[C]) Take(customer string, call C, now time.Time) (Verdict, time.Duration) {
	p := s.spendings[customer]
	if p == nil {
		p = &spending[C]{customer: customer}
		s.spendings[customer] = p
	}
	p.demand.add(1, now)
	p.usedAt = now
	p.changed = true
	p.expire(now)
	switch {
	case p.held > 0:
		p.held--
		return Admitted, 0
	case now.Before(p.lackUntil):
		p.refused++
		return Refused, max(p.retryAt.Sub(now), 0)
	}
	p.waiting = append(p.waiting, call)
	return Waiting, 0
}

// Return gives back the token of a call that has not run.
func (s *Spender[C]) Return(customer string) {
	if p := s.spendings[customer]; p != nil {
		p.returned++
		p.changed = true
	}
}

// Request returns the next request and the granter that it goes to, or nil and the time at which to call again. No further
// request is made until Answer or Fail is called.
func (s *Spender[C]) Request(now time.Time) (r *schema.TokenRequest, granter string, next time.Time) {
	if s.asked != "" {
		return nil, "", now.Add(s.interval())
	}
	if due := s.due(now); now.Before(due) {
		return nil, "", due
	}
	granter = s.choose(now)
	r = &schema.TokenRequest{Group: uint32(s.Group), Groups: uint32(s.Groups), Node: s.Node, Members: uint32(s.Members)}
	s.inFlight = s.inFlight[:0]
	s.asked = granter
	s.askedAt = now
	if s.probing() {
		return r, granter, now
	}
	s.loan = s.loanTime()
	r.LentUntilMs = uint32(s.loan.Milliseconds())
	if granter != s.borrower {
		r.LentFromMs = uint32(max(s.lentUntil.Sub(now).Milliseconds(), 0))
	}
	for _, p := range s.spendings {
		if len(r.Demands) < maxDemands && p.due(now) {
			r.Demands = append(r.Demands, p.ask(now))
			s.inFlight = append(s.inFlight, p)
		}
	}
	return r, granter, now
}

// probing reports whether the request in flight is a probe.
func (s *Spender[C]) probing() bool {
	_, avoided := s.avoidUntil[s.asked]
	return avoided
}

// due returns when the next request is to be made.
func (s *Spender[C]) due(now time.Time) time.Time {
	wait := s.interval()
	for _, p := range s.spendings {
		switch {
		case len(p.waiting) > 0:
			return s.askedAt.Add(urgentInterval)
		case !p.changed || p.held > 0:
		case now.Before(p.lackUntil):
			wait = min(wait, lackInterval)
		case p.demand.perSecond(now)*s.interval().Seconds() >= 1:
			wait = min(wait, s.interval()/2)
		}
	}
	return s.askedAt.Add(wait)
}

// choose returns the granter to ask: the first one that is not avoided, of the first two. Without one, the node is its own
// granter, and has its own share of the rates only.
func (s *Spender[C]) choose(now time.Time) string {
	const choices = 2
	for _, g := range s.Granters[:min(len(s.Granters), choices)] {
		if g == s.Node || !now.Before(s.avoidUntil[g]) {
			return g
		}
	}
	return s.Node
}

// Alone reports whether this node is its own granter because no other can be asked.
func (s *Spender[C]) Alone() bool {
	return s.borrower == s.Node && len(s.Granters) > 0 && !slices.Contains(s.Granters, s.Node)
}

// Answer takes the answer to the request in flight, and returns the calls that need not wait any more.
func (s *Spender[C]) Answer(a *schema.TokenResponse, now time.Time) []Outcome[C] {
	asked, probe := s.asked, s.probing()
	s.asked = ""
	s.failures = 0
	delete(s.avoidUntil, asked)
	if a.GetLeaving() {
		s.leave(asked, probe, now)
		return nil
	}
	if probe {
		s.askedAt = now.Add(-s.interval())
		return nil
	}
	s.borrower = asked
	s.lentUntil = now.Add(s.loan)
	var outcomes []Outcome[C]
	for i, p := range s.inFlight {
		if i < len(a.GetGrants()) {
			outcomes = append(outcomes, p.take(a.Grants[i], now)...)
		}
		if p.idle(now) {
			delete(s.spendings, p.customer)
		}
	}
	return outcomes
}

// leave takes the answer of a granter that is about to leave, and has given back this node's share.
func (s *Spender[C]) leave(granter string, probe bool, now time.Time) {
	s.avoidUntil[granter] = now.Add(avoidTime)
	if !probe && granter == s.borrower {
		s.borrower = ""
		s.lentUntil = now
	}
	s.retry(now)
}

// retry has the next granter asked at once for what the request in flight asked for.
func (s *Spender[C]) retry(now time.Time) {
	for _, p := range s.inFlight {
		p.changed = true
	}
	s.askedAt = now.Add(-s.interval())
}

// Fail ends the request in flight, which may have reached the granter all the same. The calls go on waiting, and the granter
// or, after avoidFailures, the next one is asked at once.
func (s *Spender[C]) Fail(now time.Time) {
	s.failures++
	probe := s.probing()
	if !probe {
		if s.asked != s.borrower {
			s.borrower = ""
		}
		s.lentUntil = now.Add(s.loan)
	}
	if probe || s.failures >= avoidFailures {
		s.avoidUntil[s.asked] = now.Add(avoidTime)
		s.failures = 0
	}
	s.asked = ""
	s.retry(now)
}

// Waiting returns the calls that wait for a token.
func (s *Spender[C]) Waiting() []C {
	var calls []C
	for _, p := range s.spendings {
		calls = append(calls, p.waiting...)
	}
	return calls
}
