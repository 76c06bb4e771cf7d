package forwarder

import "github.com/tamarackpitch/tamarackpitch/internal/balancer"

// drainReport reports to the control goroutine that the local upstream is draining. It runs without Forwarder.mu, since
// the control goroutine may be waiting for it.
type drainReport struct {
	forwarder   *Forwarder
	incarnation balancer.Incarnation
}

func (r *drainReport) run() { r.forwarder.config.ReportDraining(r.incarnation) }
