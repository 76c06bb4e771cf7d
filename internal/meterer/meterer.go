// Package meterer exports the node's counters as OpenTelemetry metrics in Prometheus format.
package meterer

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/tamarackpitch/tamarackpitch/internal/controller"
	"github.com/tamarackpitch/tamarackpitch/internal/forwarder"
)

// Config configures a Meterer.
type Config struct {
	Forwarder  *forwarder.Forwarder
	Controller *controller.Controller
}

// Meterer reads the node's counters whenever they are scraped.
type Meterer struct {
	config   Config
	provider *sdk.MeterProvider
}

// Error reports that the metrics can't be registered or exported.
type Error struct {
	Operation string
	Kind      string
	Cause     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("metrics %s: %s: %v", e.Operation, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// counter is one metric, whose value is read at each scrape.
type counter struct {
	name        string
	description string
	value       func() uint64
}

// New registers the metrics with the default Prometheus registry, which adminserver serves.
func New(c Config) (*Meterer, error) {
	exporter, err := prometheus.New(prometheus.WithoutScopeInfo())
	if err != nil {
		return nil, &Error{Operation: "export", Kind: "setup", Cause: err}
	}
	m := &Meterer{config: c, provider: sdk.NewMeterProvider(sdk.WithReader(exporter))}
	if err := m.register(m.provider.Meter("tamarackpitch")); err != nil {
		return nil, &Error{Operation: "register", Kind: "setup", Cause: err}
	}
	return m, nil
}

func (m *Meterer) counters() []counter {
	s := m.config.Forwarder.Stats()
	meter := m.config.Controller.Meter()
	return []counter{
		{"tamarackpitch.calls.entered", "Calls that entered the mesh at this node.", s.Entered.Load},
		{"tamarackpitch.calls.relayed", "Calls taken over from other nodes.", s.Relayed.Load},
		{"tamarackpitch.calls.answered", "Answers of the upstream beside this node.", s.Answered.Load},
		{"tamarackpitch.calls.retries", "Attempts beyond the first.", s.Retries.Load},
		{"tamarackpitch.calls.claims", "Questions for the fate of a call.", s.Claims.Load},
		{"tamarackpitch.calls.key_repeats", "Calls answered from an earlier call with the same idempotency key.",
			s.KeyRepeats.Load},
		{"tamarackpitch.calls.cancelled", "Calls whose caller went away.", s.Cancelled.Load},
		{"tamarackpitch.calls.cut", "Answers that could not be completed.", s.Cut.Load},
		{"tamarackpitch.calls.malformed", "Requests that could not be parsed.", s.Malformed.Load},
		{"tamarackpitch.upstream.crashes", "Crashes of the upstream beside this node.", s.Crashes.Load},
		{"tamarackpitch.upstream.sent", "Calls sent to the upstream beside this node, repeated ones included.", s.Sent.Load},
		{"tamarackpitch.upstream.refused", "Calls that the upstream beside this node refused without running them.",
			s.UpstreamRefused.Load},
		{"tamarackpitch.upstream.malformed", "Connections to the upstream beside this node closed because of malformed input.",
			s.UpstreamMalformed.Load},
		{"tamarackpitch.upstream.stale", "Discarded responses of the upstream beside this node to another call.",
			s.UpstreamStale.Load},
		{"tamarackpitch.quota.requests_sent", "Requests for tokens sent to other nodes.", s.TokenRequestsSent.Load},
		{"tamarackpitch.quota.requests_failed", "Requests for tokens without an answer.", s.TokenRequestsFailed.Load},
		{"tamarackpitch.quota.requests_served", "Requests for tokens answered by this node.", s.TokenRequestsServed.Load},
		{"tamarackpitch.calls.sent_in_zone", "Calls sent to other nodes of this availability zone, refused ones included.",
			s.SentInZone.Load},
		{"tamarackpitch.calls.sent_across", "Calls sent to nodes of other availability zones, refused ones included.",
			s.SentAcross.Load},
		{"tamarackpitch.upstream.window_closed", "Times that fewer calls were let run at the upstream beside this node.",
			s.WindowClosed.Load},
		{"tamarackpitch.control.bytes_sent", "Bytes sent on the overlay, packet headers included.",
			func() uint64 { sent, _ := meter.Totals(); return sent }},
		{"tamarackpitch.control.bytes_received", "Bytes received on the overlay, packet headers included.",
			func() uint64 { _, received := meter.Totals(); return received }},
		{"tamarackpitch.log.returns", "Times that the log has returned from an older copy.",
			func() uint64 { _, returns := m.config.Controller.LogEra(); return returns }},
		{"tamarackpitch.log.era", "Newest era that the log has stated, or 0.",
			func() uint64 { era, _ := m.config.Controller.LogEra(); return uint64(era) }},
		{"tamarackpitch.config.position", "Position up to which the records of the log are applied.",
			func() uint64 { return uint64(m.config.Controller.Snapshot().Position) }},
		{"tamarackpitch.config.version", "Configuration version in force.",
			func() uint64 { return m.config.Controller.Snapshot().Version }},
	}
}

func (m *Meterer) register(meter metric.Meter) error {
	for _, c := range m.counters() {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(c.value()))
			return nil
		}
		if _, err := meter.Int64ObservableCounter(c.name, metric.WithDescription(c.description),
			metric.WithInt64Callback(observe)); err != nil {
			return err
		}
	}
	if _, err := meter.Float64ObservableGauge("tamarackpitch.upstream.rate_limit",
		metric.WithDescription("Calls per second that the upstream beside this node accepts, or 0 if it states no limit."),
		metric.WithFloat64Callback(m.observeRateLimit)); err != nil {
		return err
	}
	if _, err := meter.Int64ObservableGauge("tamarackpitch.zone.evacuated_since",
		metric.WithDescription("Unix time in seconds from which this node knows that the availability zone is evacuated."),
		metric.WithInt64Callback(m.observeEvacuations)); err != nil {
		return err
	}
	if _, err := meter.Int64ObservableGauge("tamarackpitch.quota.groups_alone",
		metric.WithDescription("Groups of customers whose granters can't be reached, so that this node's own share is in force."),
		metric.WithInt64Callback(m.observeGroupsAlone)); err != nil {
		return err
	}
	if _, err := meter.Float64ObservableGauge("tamarackpitch.node.lag", metric.WithUnit("s"),
		metric.WithDescription("How late the node handles what has arrived."),
		metric.WithFloat64Callback(m.observeLag)); err != nil {
		return err
	}
	if _, err := meter.Int64ObservableGauge("tamarackpitch.upstream.window",
		metric.WithDescription("Calls that may run at once at the upstream beside this node."),
		metric.WithInt64Callback(m.observeWindow)); err != nil {
		return err
	}
	_, err := meter.Int64ObservableCounter("tamarackpitch.calls.refused",
		metric.WithDescription("Refused calls by reason."), metric.WithInt64Callback(m.observeRefusals))
	return err
}

func (m *Meterer) observeGroupsAlone(_ context.Context, o metric.Int64Observer) error {
	o.Observe(m.config.Forwarder.Stats().QuotaGroupsAlone.Load())
	return nil
}

func (m *Meterer) observeRateLimit(_ context.Context, o metric.Float64Observer) error {
	o.Observe(m.config.Forwarder.Stats().RateLimit())
	return nil
}

func (m *Meterer) observeEvacuations(_ context.Context, o metric.Int64Observer) error {
	for zone, since := range m.config.Controller.EvacuatedZones() {
		o.Observe(since.Unix(), metric.WithAttributes(attribute.String("zone", zone)))
	}
	return nil
}

func (m *Meterer) observeLag(_ context.Context, o metric.Float64Observer) error {
	o.Observe(m.config.Forwarder.Stats().Lag().Seconds())
	return nil
}

func (m *Meterer) observeWindow(_ context.Context, o metric.Int64Observer) error {
	o.Observe(m.config.Forwarder.Stats().Window())
	return nil
}

func (m *Meterer) observeRefusals(_ context.Context, o metric.Int64Observer) error {
	for reason, count := range m.config.Forwarder.Stats().Refusals() {
		o.Observe(int64(count), metric.WithAttributes(attribute.String("reason", reason)))
	}
	return nil
}
