package rollouts

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// reportInterval is the time between the nodes' reports to the controller.
	reportInterval = 200 * time.Millisecond
	// upstreams is the number of upstreams of a version.
	upstreams     = 3
	medianLatency = 4 * time.Millisecond
	// latencySpread is the standard deviation of the logarithm of a latency.
	latencySpread = 0.4
)

// Result is the end of one run.
type Result struct {
	RolledBack bool
	Completed  bool
	Reason     string
	// Duration is the time until the end, OnTime whether all traffic had moved to the new version by the deadline.
	Duration time.Duration
	OnTime   bool
	// NewShare is the share of calls that the new version took until the end.
	NewShare float64
	// BadCalls counts failed or slow calls of the new version.
	BadCalls int
}

// Judge decides on a rollout. The product's is roller.Analysis; the bench has a simpler one.
type Judge interface {
	Observe([]*schema.Evidence, time.Time)
	Decide(now time.Time, step int) roller.Decision
	// SetPauses sets the number of pauses and resumptions in force; see roller.IsPaused.
	SetPauses(pauses uint32, now time.Time)
}

// NewJudge makes the judge of one controller.
type NewJudge func(roller.Config) Judge

// Product is the product's judge.
func Product(c roller.Config) Judge { return roller.New(c) }

// run is the state of one simulated rollout.
type run struct {
	scenario         Scenario
	preset           *schema.Preset
	random           *rand.Rand
	newCalls         int
	allCalls         int
	badCalls         int
	newVersionCredit float64
}

// Run simulates one rollout from its declaration until it is completed or rolled back, or until time is up.
func Run(s Scenario, p *schema.Preset, judge NewJudge, seed uint64) Result {
	r := &run{scenario: s, preset: p, random: rand.New(rand.NewPCG(seed, 3))}
	start := time.Unix(1_000_000, 0)
	rollout := &schema.Rollout{Name: "x", Service: "a", From: "v1", To: "v2", DeadlineUnixMs: start.Add(s.Deadline).UnixMilli()}
	failovers := s.ControllerFailovers
	step := 0
	var pauses uint32
	var result Result
	j := judge(roller.Config{Rollout: rollout, Preset: p, Now: start})
	maxAge := 2*s.Deadline + 2*time.Duration(p.WatchMs)*time.Millisecond
	for age := time.Duration(0); age < maxAge; age += reportInterval {
		now := start.Add(age)
		if len(failovers) > 0 && age >= failovers[0] {
			failovers = failovers[1:]
			j = judge(roller.Config{Rollout: rollout, Preset: p, Now: now, Step: step})
		}
		j.SetPauses(pauses, now)
		share := roller.ShareAt(p, step)
		if roller.IsPaused(pauses) {
			share = 0
		}
		j.Observe(r.evidence(age, share), now)
		d := j.Decide(now, step)
		result.Duration = age
		if d.RolledBack || d.Completed {
			result.RolledBack, result.Completed, result.Reason = d.RolledBack, d.Completed, d.Reason
			break
		}
		step, pauses = d.Step, d.Pauses
		if step == roller.LastStep(p) && age <= s.Deadline {
			result.OnTime = true
		}
	}
	result.NewShare = float64(r.newCalls) / float64(max(r.allCalls, 1))
	result.BadCalls = r.badCalls
	return result
}

// evidence simulates the calls of one report interval and returns their evidence by route and version.
func (r *run) evidence(age time.Duration, share float64) []*schema.Evidence {
	byRouteAndVersion := map[[2]string]*schema.Evidence{}
	for range r.poisson(r.scenario.Rate * reportInterval.Seconds()) {
		r.allCalls++
		version, behaviour := "v1", r.scenario.Old
		if r.newVersionCredit += share; r.newVersionCredit >= 1 {
			r.newVersionCredit--
			version, behaviour = "v2", r.scenario.New
			r.newCalls++
		}
		r.countCall(byRouteAndVersion, CallInfo{Route: r.randomRoute(), Age: age, Share: share, Upstream: r.random.IntN(upstreams)}, version, behaviour)
	}
	var all []*schema.Evidence
	for _, e := range byRouteAndVersion {
		all = append(all, e)
	}
	return all
}

func (r *run) countCall(byRouteAndVersion map[[2]string]*schema.Evidence, s CallInfo, version string, b Behaviour) {
	key := [2]string{s.Route, version}
	e, ok := byRouteAndVersion[key]
	if !ok {
		e = &schema.Evidence{Route: s.Route, Version: version, LatencyBuckets: make([]uint64, roller.LatencyBuckets)}
		byRouteAndVersion[key] = e
	}
	failRate, slowFactor := b(s)
	e.Calls++
	failed := r.random.Float64() < failRate
	if failed {
		e.Failures++
	}
	if version == "v2" && (failed || slowFactor > 1) {
		r.badCalls++
	}
	if version == "v2" && s.Age < r.scenario.ColdStart {
		return
	}
	latency := float64(medianLatency) * slowFactor * math.Exp(latencySpread*r.random.NormFloat64())
	e.LatencyBuckets[roller.LatencyBucket(time.Duration(latency))]++
}

func (r *run) randomRoute() string {
	at := r.random.Float64()
	for _, name := range []string{"status", "lookup", "rare"} {
		if at -= r.scenario.Routes[name]; at < 0 {
			return name
		}
	}
	return "status"
}

// poisson draws a Poisson-distributed number by Knuth's method.
func (r *run) poisson(mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := r.random.Float64(); p > limit; p *= r.random.Float64() {
		n++
	}
	return n
}
