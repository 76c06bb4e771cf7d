// Package rollouts drives the rollout controller's decisions in virtual time with made-up evidence.
package rollouts

import "time"

// Behaviour gives the failure rate and the latency factor of a version.
type Behaviour func(s Situation) (failRate, slowFactor float64)

// Situation is what a behaviour may depend on.
type Situation struct {
	Route string
	// Age is the time since the rollout began, Share the new version's share of calls.
	Age   time.Duration
	Share float64
	// Upstream is the number of the upstream that takes the call.
	Upstream int
}

// Scenario is one kind of rollout.
type Scenario struct {
	Name string
	// Bad tells whether the rollout ought to be rolled back.
	Bad bool
	// Rate is the service's calls a second.
	Rate     float64
	Deadline time.Duration
	// Routes and their share of calls.
	Routes map[string]float64
	Old    Behaviour
	New    Behaviour
	// ControllerDies lists the times at which another controller takes over without the evidence so far.
	ControllerDies []time.Duration
	// ColdFor is the time in which the new version's latencies are not counted.
	ColdFor time.Duration
}

// background is the failure rate of a healthy version.
const background = 0.001

func healthy(Situation) (float64, float64) { return background, 1 }

func failing(rate float64) Behaviour {
	return func(Situation) (float64, float64) { return rate, 1 }
}

func after(start time.Duration, b Behaviour) Behaviour {
	return func(s Situation) (float64, float64) {
		if s.Age < start {
			return healthy(s)
		}
		return b(s)
	}
}

func between(start, end time.Duration, b Behaviour) Behaviour {
	return func(s Situation) (float64, float64) {
		if s.Age < start || s.Age >= end {
			return healthy(s)
		}
		return b(s)
	}
}

func slow(factor float64) Behaviour {
	return func(Situation) (float64, float64) { return background, factor }
}

func onRoute(route string, b Behaviour) Behaviour {
	return func(s Situation) (float64, float64) {
		if s.Route != route {
			return healthy(s)
		}
		return b(s)
	}
}

func aboveShare(share float64, b Behaviour) Behaviour {
	return func(s Situation) (float64, float64) {
		if s.Share < share {
			return healthy(s)
		}
		return b(s)
	}
}

func onUpstream(number int, b Behaviour) Behaviour {
	return func(s Situation) (float64, float64) {
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
		with("good-cold-start", false, func(s *Scenario) { s.New = coldStart; s.ColdFor = coldTime }),
		with("good-both-fail", false, func(s *Scenario) { s.Old, s.New = failing(0.1), failing(0.1) }),
		with("good-shared-outage", false, func(s *Scenario) {
			s.Old = between(150*time.Second, 3*time.Minute, failing(0.5))
			s.New = s.Old
		}),
		with("good-controller-dies", false, func(s *Scenario) { s.ControllerDies = []time.Duration{50 * time.Second, 2 * time.Minute} }),
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
			s.ControllerDies = []time.Duration{30 * time.Second, 31 * time.Second}
		}),
		with("fails-little-traffic", true, func(s *Scenario) { s.Rate = 5; s.New = failing(0.5) }),
	}
}

const coldTime = 20 * time.Second

func coldStart(s Situation) (float64, float64) {
	if s.Age < coldTime {
		return background, 10
	}
	return background, 1
}
