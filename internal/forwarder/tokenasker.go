package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/granter"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// tokenAsker asks the granter of one group of customers for tokens, one request at a time. Forwarder.mu guards its fields
// but the channels.
type tokenAsker struct {
	forwarder *Forwarder
	spender   *granter.Spender[*exchange]
	// addresses holds the control addresses of the nodes that may be granters.
	addresses map[string]string
	// alone is whether this node was its own granter after the last request, for want of another.
	alone bool
	// wake is sent to when a request may have become due earlier.
	wake chan struct{}
	done chan struct{}
}

// notify has run compute anew when the next request is due.
func (a *tokenAsker) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run makes requests when they are due, until the forwarder stops.
func (a *tokenAsker) run() {
	defer close(a.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.forwarder.stop:
			return
		case <-timer.C:
		case <-a.wake:
		}
		timer.Reset(time.Until(a.ask()))
	}
}

// ask makes the request that is due, if any, and returns when the next one may be.
func (a *tokenAsker) ask() time.Time {
	f := a.forwarder
	f.mu.Lock()
	spender := a.spender
	r, node, next := spender.Request(time.Now())
	address := a.addresses[node]
	f.mu.Unlock()
	if r == nil {
		return next
	}
	answer, err := a.send(r, node, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.spender != spender {
		return time.Now()
	}
	if err != nil {
		f.stats.TokenRequestsFailed.Add(1)
		f.common.Logger.Warn("granter not reached", "group", r.Group, "granter", node, "error", err)
		spender.Fail(time.Now())
		return time.Now()
	}
	for _, o := range spender.Answer(answer, time.Now()) {
		if !o.Call.ended {
			o.Call.decideQuota(o.Verdict, o.RetryAfter)
		} else if o.Verdict == granter.Admitted {
			spender.Return(o.Call.customerName())
		}
	}
	a.recordAlone(spender.Alone())
	return time.Now()
}

// send sends a request to another node, or answers it here if this node is the granter.
func (a *tokenAsker) send(r *schema.TokenRequest, node, address string) (*schema.TokenResponse, error) {
	f := a.forwarder
	if node == f.common.Settings.Name {
		return f.GrantTokens(r), nil
	}
	f.stats.TokenRequestsSent.Add(1)
	return f.config.RequestTokens(address, r)
}

// recordAlone logs and counts that this node has become its own granter, or has ended to be.
func (a *tokenAsker) recordAlone(alone bool) {
	if alone == a.alone {
		return
	}
	a.alone = alone
	f := a.forwarder
	if alone {
		f.stats.QuotaGroupsAlone.Add(1)
		f.common.Logger.Warn("no granter reached, own share of the quotas in force", "group", a.spender.Group)
		return
	}
	f.stats.QuotaGroupsAlone.Add(-1)
	f.common.Logger.Info("granter reached, whole quotas in force", "group", a.spender.Group)
}
