package roller

import "time"

// maxHeldFailures is the number of failures of the new version on one step, while the rollout is held, at which it is paused:
// the old version fails as well, so that more calls may show no difference. Each earlier pause of the rollout halves it.
const maxHeldFailures uint64 = 20

// IsPaused reports whether a rollout is paused: whether the number of its pauses and resumptions is odd. The new version
// of a paused rollout gets no calls.
func IsPaused(pauses uint32) bool { return pauses%2 == 1 }

// SetPauses sets the number of pauses and resumptions that is in force. A resumption begins the step anew.
func (a *Analysis) SetPauses(pauses uint32, now time.Time) {
	if pauses == a.pauses {
		return
	}
	resumed := IsPaused(a.pauses) && !IsPaused(pauses)
	a.pauses, a.pausesSince = pauses, now
	if !resumed {
		return
	}
	a.enterStep(a.step, now)
	for _, r := range a.routes {
		r.recent = counts{}
	}
}

// mustPause reports whether a held rollout is to be paused. Once the new version gets all traffic, it is not: the old one
// may be about to stop.
func (a *Analysis) mustPause() bool {
	return a.step < LastStep(a.config.Preset) && a.heldFailures >= max(maxHeldFailures>>(a.pauses/2), 1)
}

// mayResume reports whether a paused rollout may be resumed: the old version is observed and not disturbed.
func (a *Analysis) mayResume(now time.Time) bool {
	return now.Sub(a.pausesSince) >= recoveryTime && now.Sub(a.config.Now) >= minObservationTime && !a.isDisturbed()
}
