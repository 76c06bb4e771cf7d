package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/pacer"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

// warmAge is how long an upstream without a stated cold start must have run before a node that has just started gives it
// all its slots at once.
const warmAge = 2 * time.Second

// startPace begins the pace of the local upstream if that is another incarnation than the one observed so far. One that was
// running before this process observed it needs no new pace.
func (f *Forwarder) startPace(now time.Time) {
	l, p := f.local.upstream, &f.local.pacer
	if l.Incarnation() == f.local.pacedIncarnation {
		p.SetSlots(l.Slots)
		f.stats.window.Store(int64(p.Window()))
		return
	}
	f.local.pacedIncarnation = l.Incarnation()
	warm := isWarm(l, now)
	if warm {
		p.Restore(l.Slots)
	} else {
		p.Start(l.Slots)
	}
	f.stats.window.Store(int64(p.Window()))
	f.common.Logger.Info("pace of the upstream begins", "instance", l.Instance, "window", p.Window(), "slots", l.Slots,
		"warm", warm)
}

// restoreIdlePace opens the window of an upstream that has become warm without any call.
func (f *Forwarder) restoreIdlePace(now time.Time) {
	l, p := f.local.upstream, &f.local.pacer
	if p.IsOpen() || p.Observed() || !isWarm(l, now) {
		return
	}
	p.Restore(l.Slots)
	f.applyPace(pacer.Opened)
}

// isWarm reports whether an upstream has run for a while and states no cold start. One that states neither counts as warm.
func isWarm(l *router.Local, now time.Time) bool {
	return !now.Before(l.WarmAt) && now.Sub(time.UnixMilli(l.StartedUnixMs)) >= warmAge
}

// restartPace begins a new pace for an upstream that could not be connected to.
func (f *Forwarder) restartPace() {
	if l := f.local.upstream; l != nil && !f.local.draining() {
		f.local.pacer.Restart()
		f.applyPace(pacer.Closed)
	}
}

// recordServiceTime records how long the upstream took for a call, and lets its pace follow. How fast it refuses calls says
// nothing about its pace.
func (f *Forwarder) recordServiceTime(a *attempt, d time.Duration) {
	kind := a.exchange.route.Name
	if !f.paces(a) || a.responseClass != responseValid {
		f.admitter.RecordServiceTime(kind, d)
		return
	}
	var ratio float64
	if usual := f.usualTime(kind); usual > 0 {
		ratio = float64(d) / float64(usual)
	}
	f.admitter.RecordServiceTime(kind, d)
	f.applyPace(f.local.pacer.Succeed(ratio))
}

// recordPaceFailure records a call that the local upstream refused or failed to answer.
func (f *Forwarder) recordPaceFailure(a *attempt, now time.Time) {
	if f.paces(a) {
		f.applyPace(f.local.pacer.Fail(f.usualTime(a.exchange.route.Name), now))
	}
}

// paces reports whether an attempt at the local upstream says something about its pace: whether it was addressed to the
// incarnation that runs now, and the node still sends calls there.
func (f *Forwarder) paces(a *attempt) bool {
	l := f.local.upstream
	return l != nil && a.incarnation == f.local.pacedIncarnation && !f.local.draining()
}

// usualTime returns what a call of a kind usually takes: at the service's other upstreams as far as this node has measured
// them, and otherwise at its own. It is 0 if neither is known. There must be a local upstream.
func (f *Forwarder) usualTime(kind string) time.Duration {
	own, mean := f.admitter.ServiceTimeOf(kind), f.admitter.ServiceTime()
	service := f.snapshot.Load().Services[f.local.upstream.Service]
	if service == nil || mean == 0 {
		return own
	}
	usual, ok := balancer.UsualServiceTime(service.Nodes)
	if !ok {
		return own
	}
	return time.Duration(float64(usual) * float64(own) / float64(mean))
}

// applyPace applies a change of the window.
func (f *Forwarder) applyPace(c pacer.Change) {
	if c == pacer.None {
		return
	}
	p := &f.local.pacer
	f.stats.window.Store(int64(p.Window()))
	f.admitter.SetLimits(p.Window(), f.local.queueLength)
	if c == pacer.Closed {
		f.stats.WindowClosed.Add(1)
		return
	}
	if p.IsOpen() {
		f.common.Logger.Debug("window of the upstream is open", "window", p.Window())
	}
	f.serveQueue()
}
