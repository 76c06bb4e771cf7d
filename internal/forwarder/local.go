package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

// upstreamRest is how long a connection to the upstream rests after an answer. HTTP/1.1 answers carry no
// name of their request: a second answer that comes after the connection has been used again can't be told apart.
const upstreamRest = 10 * time.Millisecond

// localState is the upstream beside this node.
type localState struct {
	// upstream is nil while none is announced.
	upstream *router.Local
	// lastAnswer is when the upstream last answered any call.
	lastAnswer time.Time
}

// updateLocal takes over the upstream and the queue limits of a new view.
func (f *Forwarder) updateLocal(view *router.Snapshot) {
	f.local.upstream = view.Local
	queueLength := int(view.Preset.GetQueueLength())
	if queueLength == 0 {
		queueLength = defaultQueueLength
	}
	if view.Local == nil || view.Local.Draining {
		f.admitter.SetLimits(0, queueLength)
		f.refuseQueued()
		return
	}
	f.admitter.SetLimits(view.Local.Slots, queueLength)
	f.serveQueue()
}

// refuseQueued refuses the waiting calls, which have not run, so that others can take them.
func (f *Forwarder) refuseQueued() {
	for x := range f.calls {
		if x.queued {
			x.queued = false
			f.admitter.Remove(x)
			x.retryNotRun("leaving")
		}
	}
}

// enterLocal asks for a slot at the upstream beside this node.
func (x *exchange) enterLocal() {
	f := x.forwarder
	l := f.local.upstream
	if l == nil || l.Draining || l.Service != x.route.Service || x.version != "" && l.Version != x.version {
		x.retryNotRun("leaving")
		return
	}
	verdict, evicted, hasEvicted := f.admitter.Enter(x, x.rank)
	if hasEvicted {
		evicted.queued = false
		evicted.retryNotRun("queue-full")
	}
	switch verdict {
	case admitter.Granted:
		x.sendLocal()
	case admitter.Queued:
		x.queued = true
	case admitter.Refused:
		x.retryNotRun("queue-full")
	}
}

// sendLocal sends the call to the upstream. The call holds a slot.
func (x *exchange) sendLocal() {
	f := x.forwarder
	l := f.local.upstream
	f.common.Checker.Assert(!l.Draining, checker.NoWorkToLeaving, "call %x sent to a draining upstream", x.id)
	a := &attempt{exchange: x, kind: kindCall, fresh: x.freshConn}
	x.attempt = a
	p := f.pool(l.Address, l.Connections)
	p.rest = upstreamRest
	p.serve(a)
	if x.attempt == a {
		x.arm(time.Now())
	}
}

// releaseSlot gives a slot back and lets the next calls have it.
func (f *Forwarder) releaseSlot() {
	f.admitter.Release()
	f.serveQueue()
}

func (f *Forwarder) serveQueue() {
	for {
		x, ok := f.admitter.Next()
		if !ok {
			return
		}
		x.queued = false
		if f.local.upstream == nil || f.local.upstream.Draining {
			f.admitter.Release()
			x.retryNotRun("leaving")
			continue
		}
		x.sendLocal()
	}
}
