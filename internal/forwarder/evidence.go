package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// evidenceKey identifies the calls that are counted together: those of one rollout, route and version.
type evidenceKey struct {
	rollout         string
	declaredVersion uint64
	route           string
	version         string
}

// evidenceCount counts the outcomes of calls since the last report.
type evidenceCount struct {
	calls uint64
	// failures are responses with a 5xx status and lost calls.
	failures uint64
	// starvedCalls and starvedFailures count those responses among calls and failures that arrived while this node was
	// refusing calls that the upstream may depend on. Such failures may not be the fault of the upstream's version.
	starvedCalls    uint64
	starvedFailures uint64
	// rejections are responses with a 4xx status.
	rejections uint64
	// latencies is the histogram of the latencies after the upstream's cold start.
	latencies [roller.LatencyBuckets]uint64
}

// evidenceFor returns the count for a call to the local upstream, or nil if its service has no undecided rollout.
func (f *Forwarder) evidenceFor(x *exchange) *evidenceCount {
	l := f.local.upstream
	service := f.snapshot.Load().Services[x.service]
	if l == nil || service == nil || service.Rollout == nil || service.Rollout.Decided {
		return nil
	}
	key := evidenceKey{rollout: service.Rollout.Name, declaredVersion: service.Rollout.DeclaredVersion,
		route: x.route.Name, version: l.Version}
	e, ok := f.evidence[key]
	if !ok {
		e = &evidenceCount{}
		f.evidence[key] = e
	}
	return e
}

// countOutcome counts a response of the local upstream and records its request as answered.
func (f *Forwarder) countOutcome(x *exchange, a *attempt) {
	f.crashes.recordAnswered(x.fingerprint)
	f.stats.Answered.Add(1)
	e := f.evidenceFor(x)
	if e == nil {
		return
	}
	e.calls++
	starved := f.starved(time.Now())
	if starved {
		e.starvedCalls++
	}
	switch {
	case a.response.status >= 500:
		e.failures++
		if starved {
			e.starvedFailures++
		}
	case a.response.status >= 400:
		e.rejections++
	}
	if !time.Now().Before(f.local.upstream.WarmAt) {
		e.latencies[roller.LatencyBucket(a.latency)]++
	}
}

// countFailure counts a call whose connection to the local upstream failed. If the request had been sent, the upstream
// may have crashed.
func (f *Forwarder) countFailure(x *exchange, a *attempt) {
	if a.sent {
		f.recordBroken(x.fingerprint)
	}
	if e := f.evidenceFor(x); e != nil {
		e.calls++
		e.failures++
	}
}

// TakeEvidence returns the counts since the last call, one report per rollout, and resets them.
func (f *Forwarder) TakeEvidence() []*schema.Report {
	f.mu.Lock()
	counts := f.evidence
	f.evidence = map[evidenceKey]*evidenceCount{}
	f.mu.Unlock()
	reports := map[string]*schema.Report{}
	var all []*schema.Report
	for key, count := range counts {
		r, ok := reports[key.rollout]
		if !ok {
			r = &schema.Report{Rollout: key.rollout, DeclaredVersion: key.declaredVersion}
			reports[key.rollout] = r
			all = append(all, r)
		}
		r.Evidence = append(r.Evidence, &schema.Evidence{Route: key.route, Version: key.version, Calls: count.calls,
			Failures: count.failures, Rejections: count.rejections, StarvedCalls: count.starvedCalls,
			StarvedFailures: count.starvedFailures, LatencyBuckets: count.latencies[:]})
	}
	return all
}
