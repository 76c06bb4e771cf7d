package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/throttler"
)

// maxPatienceRoutes bounds the routes whose callers' time limits are kept. At the bound all are dropped.
const maxPatienceRoutes = 1024

// timeUsed returns how much time the caller has used up in earlier attempts: the difference between the time that is left
// and the limit with which it is taken to have begun. Until the limits of the route's callers are known, that is the route's
// timeout, and known is false.
func (x *exchange) timeUsed() (used time.Duration, known bool) {
	left, stated := parseMillis(x.request.message, x.forwarder.config.Dialect.TimeLeft)
	if stated && !x.madeByUpstream() {
		p := x.forwarder.patienceOf(x.route.Name)
		p.Record(left.Milliseconds())
		if first, known := p.First(left.Milliseconds()); known {
			return time.Duration(first)*time.Millisecond - left, true
		}
	}
	return time.Duration(x.route.TimeoutMs)*time.Millisecond - x.deadline.Sub(x.startedAt), false
}

func (f *Forwarder) patienceOf(route string) *throttler.Patience {
	p, known := f.patience[route]
	if !known {
		if len(f.patience) >= maxPatienceRoutes {
			clear(f.patience)
		}
		p = &throttler.Patience{}
		f.patience[route] = p
	}
	return p
}
