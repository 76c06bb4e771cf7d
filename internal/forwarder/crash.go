package forwarder

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// crashWindow joins the connections that break together.
	crashWindow = time.Second
	// crashProbeDelay gives a crashing upstream time to end before its address is tried.
	crashProbeDelay = 20 * time.Millisecond
	// maxHealthy bounds the fingerprints of answered requests that are remembered.
	maxHealthy = 4096
	// healthyGeneration is how long they are remembered, at least.
	healthyGeneration = 10 * time.Second
)

// crashWatch tells crashes of the local upstream from single broken connections.
type crashWatch struct {
	// broken are requests whose connection broke lately.
	broken map[uint64]time.Time
	// healthy and older hold requests that were answered lately; they can't be what crashes the upstream.
	healthy map[uint64]struct{}
	older   map[uint64]struct{}
	turned  time.Time
	probing bool
}

func (w *crashWatch) noteSuccess(fingerprint uint64) {
	if w.healthy == nil {
		w.healthy = map[uint64]struct{}{}
	}
	if len(w.healthy) < maxHealthy {
		w.healthy[fingerprint] = struct{}{}
	}
}

func (w *crashWatch) sweep(now time.Time) {
	if now.Sub(w.turned) >= healthyGeneration {
		w.turned = now
		w.older = w.healthy
		w.healthy = nil
	}
	for fingerprint, at := range w.broken {
		if now.Sub(at) > crashWindow {
			delete(w.broken, fingerprint)
		}
	}
}

// suspects returns the broken requests that were not answered lately.
func (w *crashWatch) suspects() []uint64 {
	var all []uint64
	for fingerprint := range w.broken {
		_, healthy := w.healthy[fingerprint]
		_, older := w.older[fingerprint]
		if !healthy && !older {
			all = append(all, fingerprint)
		}
	}
	return all
}

// noteBroken notes a request that ran when its connection broke, and finds out whether the upstream is gone.
func (f *Forwarder) noteBroken(fingerprint uint64) {
	w := &f.crashes
	if w.broken == nil {
		w.broken = map[uint64]time.Time{}
	}
	w.broken[fingerprint] = time.Now()
	if w.probing || f.local.upstream == nil {
		return
	}
	w.probing = true
	p := &crashProbe{forwarder: f, address: f.local.upstream.Address}
	time.AfterFunc(crashProbeDelay, p.run)
}

// crashProbe tries to connect to an upstream that broke connections.
type crashProbe struct {
	forwarder *Forwarder
	address   string
}

// run connects and closes again.
func (p *crashProbe) run() {
	c, err := net.DialTimeout("tcp", p.address, dialTimeout)
	if err == nil {
		_ = c.Close()
	}
	p.finish(err)
}

func (p *crashProbe) finish(err error) {
	f := p.forwarder
	f.mu.Lock()
	f.crashes.probing = false
	suspects := f.crashes.suspects()
	clear(f.crashes.broken)
	f.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) && len(suspects) > 0 {
		f.stats.Crashes.Add(1)
		f.config.ReportCrash(suspects)
	}
}
