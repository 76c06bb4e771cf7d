package forwarder

import "time"

// lagProbeInterval is the time between two measurements of the event loop's lag.
const lagProbeInterval = 200 * time.Millisecond

// lagProber measures how late the event loop handles events, at intervals, until the forwarder is closed.
type lagProber struct {
	forwarder *Forwarder
	// done is closed when run returns.
	done chan struct{}
}

func (p *lagProber) run() {
	defer close(p.done)
	ticker := time.NewTicker(lagProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.forwarder.stop:
			return
		case <-ticker.C:
			p.forwarder.poller.Probe(p.measured)
		}
	}
}

// measured is called on the event loop.
func (p *lagProber) measured(lag time.Duration) {
	f := p.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = f.lag.With(lag)
	f.stats.setLag(f.lag.Mean)
}
