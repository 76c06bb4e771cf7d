// Package rollouts simulates rollouts in virtual time: it feeds the rollout controller's decisions with synthetic
// evidence.
package rollouts

import "time"

// Behaviour returns a version's failure rate and latency factor for a call.
type Behaviour func(s CallInfo) (failRate, slowFactor float64)

// CallInfo describes a call to a Behaviour.
type CallInfo struct {
	Route string
	// Age is the time since the rollout began, Share the new version's share of calls.
	Age   time.Duration
	Share float64
	// Upstream is the number of the upstream that takes the call.
	Upstream int
}

// Scenario describes a simulated rollout.
type Scenario struct {
	Name string
	// Bad reports whether the new version is faulty, so that the rollout must be rolled back.
	Bad bool
	// Rate is the service's calls per second.
	Rate     float64
	Deadline time.Duration
	// Routes holds each route's share of the calls.
	Routes map[string]float64
	Old    Behaviour
	New    Behaviour
	// ControllerFailovers lists the times since the start, ascending, at which a new controller takes over. It knows the
	// step but none of the earlier evidence.
	ControllerFailovers []time.Duration
	// ColdStart is the time from the start during which the new version's latencies are not counted.
	ColdStart time.Duration
}

// healthyFailRate is the failure rate of a healthy version.
const healthyFailRate = 0.001

func healthy(CallInfo) (float64, float64) { return healthyFailRate, 1 }

func failing(rate float64) Behaviour {
	return func(CallInfo) (float64, float64) { return rate, 1 }
}

func after(start time.Duration, b Behaviour) Behaviour {
	return func(s CallInfo) (float64, float64) {
		if s.Age < start {
			return healthy(s)
		}
		return b(s)
	}
}

func between(start, end time.Duration, b Behaviour) Behaviour {
	return func(s CallInfo) (float64, float64) {
		if s.Age < start || s.Age >= end {
			return healthy(s)
		}
		return b(s)
	}
}

func slow(factor float64) Behaviour {
	return func(CallInfo) (float64, float64) { return healthyFailRate, factor }
}

func onRoute(route string, b Behaviour) Behaviour {
	return func(s CallInfo) (float64, float64) {
		if s.Route != route {
			return healthy(s)
		}
		return b(s)
	}
}

func aboveShare(share float64, b Behaviour) Behaviour {
	return func(s CallInfo) (float64, float64) {
		if s.Share < share {
			return healthy(s)
		}
		return b(s)
	}
}

func onUpstream(number int, b Behaviour) Behaviour {
	return func(s CallInfo) (float64, float64) {
		if s.Upstream != number {
			return healthy(s)
		}
		return b(s)
	}
}

func usualRoutes() map[string]float64 {
	return map[string]float64{"status": 0.7, "lookup": 0.28, "rare": 0.02}
}

// Scenarios returns every scenario.
func Scenarios() []Scenario {
	base := Scenario{Rate: 100, Deadline: 20 * time.Minute, Routes: usualRoutes(), Old: healthy, New: healthy}
	with := func(name string, bad bool, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		s.Bad = bad
		change(&s)
		return s
	}
	return []Scenario{
		with("good", false, func(*Scenario) {}),
		with("good-little-traffic", false, func(s *Scenario) { s.Rate = 5 }),
		with("good-short-deadline", false, func(s *Scenario) { s.Deadline = 45 * time.Second }),
		with("good-cold-start", false, func(s *Scenario) { s.New = coldStart; s.ColdStart = coldStartDuration }),
		with("good-both-fail", false, func(s *Scenario) { s.Old, s.New = failing(0.1), failing(0.1) }),
		with("good-shared-outage", false, func(s *Scenario) {
			s.Old = between(150*time.Second, 3*time.Minute, failing(0.5))
			s.New = s.Old
		}),
		with("good-controller-dies", false, func(s *Scenario) { s.ControllerFailovers = []time.Duration{50 * time.Second, 2 * time.Minute} }),
		with("good-much-traffic", false, func(s *Scenario) { s.Rate = 1000 }),
		with("fails-at-once", true, func(s *Scenario) { s.New = failing(0.5) }),
		with("fails-all", true, func(s *Scenario) { s.New = failing(1) }),
		with("fails-some", true, func(s *Scenario) { s.New = failing(0.05) }),
		with("fails-later", true, func(s *Scenario) { s.New = after(3*time.Minute, failing(0.5)) }),
		with("fails-after-last-step", true, func(s *Scenario) { s.New = after(6*time.Minute, failing(0.5)) }),
		with("slow-at-once", true, func(s *Scenario) { s.New = slow(10) }),
		with("slow-threefold", true, func(s *Scenario) { s.New = slow(3) }),
		with("slow-later", true, func(s *Scenario) { s.New = after(3*time.Minute, slow(10)) }),
		with("fails-under-load", true, func(s *Scenario) { s.New = aboveShare(0.5, failing(0.5)) }),
		with("fails-on-one-route", true, func(s *Scenario) { s.New = onRoute("lookup", failing(0.5)) }),
		with("fails-on-rare-route", true, func(s *Scenario) { s.New = onRoute("rare", failing(0.5)) }),
		with("fails-in-one-zone", true, func(s *Scenario) { s.New = onUpstream(0, failing(0.9)) }),
		with("fails-controller-dies", true, func(s *Scenario) {
			s.New = after(30*time.Second, failing(0.5))
			s.ControllerFailovers = []time.Duration{30 * time.Second, 31 * time.Second}
		}),
		with("fails-little-traffic", true, func(s *Scenario) { s.Rate = 5; s.New = failing(0.5) }),
	}
}

const coldStartDuration = 20 * time.Second

func coldStart(s CallInfo) (float64, float64) {
	if s.Age < coldStartDuration {
		return healthyFailRate, 10
	}
	return healthyFailRate, 1
}
