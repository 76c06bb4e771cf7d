package forwarder

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// brokenWindow is how long a broken connection is remembered, so that those that break together are attributed to
	// the same crash.
	brokenWindow = time.Second
	// crashProbeDelay gives a crashing upstream time to exit before its address is probed.
	crashProbeDelay = 20 * time.Millisecond
	// maxAnswered bounds the fingerprints in one generation of answered requests.
	maxAnswered = 4096
	// answeredGeneration is the time after which a new generation begins. The one before it is kept, so a fingerprint
	// is remembered for at least this long.
	answeredGeneration = 10 * time.Second
)

// crashDetector distinguishes crashes of the local upstream from single broken connections, and finds the requests that
// may have caused them. Forwarder.mu guards it.
type crashDetector struct {
	// broken maps the fingerprints of requests whose connection broke to the time at which it did.
	broken map[uint64]time.Time
	// answered and answeredBefore hold the fingerprints of recently answered requests, of the current generation and
	// the one before it. Such requests are not what crashes the upstream.
	answered       map[uint64]struct{}
	answeredBefore map[uint64]struct{}
	// rotatedAt is when the current generation began.
	rotatedAt time.Time
	// probing means that a crashProbe is in progress.
	probing bool
}

func (d *crashDetector) recordAnswered(fingerprint uint64) {
	if d.answered == nil {
		d.answered = map[uint64]struct{}{}
	}
	if len(d.answered) < maxAnswered {
		d.answered[fingerprint] = struct{}{}
	}
}

func (d *crashDetector) sweep(now time.Time) {
	if now.Sub(d.rotatedAt) >= answeredGeneration {
		d.rotatedAt = now
		d.answeredBefore = d.answered
		d.answered = nil
	}
	for fingerprint, at := range d.broken {
		if now.Sub(at) > brokenWindow {
			delete(d.broken, fingerprint)
		}
	}
}

// suspects returns the fingerprints of broken requests that have not been answered recently.
func (d *crashDetector) suspects() []uint64 {
	var all []uint64
	for fingerprint := range d.broken {
		_, answered := d.answered[fingerprint]
		_, answeredBefore := d.answeredBefore[fingerprint]
		if !answered && !answeredBefore {
			all = append(all, fingerprint)
		}
	}
	return all
}

// recordBroken records a request whose connection to the upstream broke after it had been sent, and starts a probe that
// finds out whether the upstream has crashed.
func (f *Forwarder) recordBroken(fingerprint uint64) {
	d := &f.crashes
	if d.broken == nil {
		d.broken = map[uint64]time.Time{}
	}
	d.broken[fingerprint] = time.Now()
	if d.probing || f.local.upstream == nil {
		return
	}
	d.probing = true
	p := &crashProbe{forwarder: f, address: f.local.upstream.Address}
	time.AfterFunc(crashProbeDelay, p.run)
}

// crashProbe tries to connect to an upstream whose connections broke.
type crashProbe struct {
	forwarder *Forwarder
	address   string
}

func (p *crashProbe) run() {
	c, err := net.DialTimeout("tcp", p.address, dialTimeout)
	if err == nil {
		_ = c.Close()
	}
	p.finish(err)
}

// finish reports the suspects as crash causes if the connection was refused, that is, if nothing listens any more.
func (p *crashProbe) finish(err error) {
	f := p.forwarder
	f.mu.Lock()
	f.crashes.probing = false
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused && f.local.upstream != nil && f.local.upstream.Address == p.address {
		f.local.condition.cold = f.local.condition.cold.withUnreachable(time.Now())
	}
	suspects := f.crashes.suspects()
	clear(f.crashes.broken)
	f.mu.Unlock()
	if refused && len(suspects) > 0 {
		f.stats.Crashes.Add(1)
		f.config.ReportCrash(suspects)
	}
}
