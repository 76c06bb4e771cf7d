package roller

import "time"

const (
	// maxHeldFailures is the number of failures of the new version on one step, while the rollout is held, at which it is
	// paused: the old version fails as well, so that more calls may show no difference. Each earlier pause of the rollout
	// halves it.
	maxHeldFailures = 20
	// recoveryTime is how long the old version must have failed at most holdFailureRate of its calls before a paused rollout
	// is resumed.
	recoveryTime = time.Second
)

// IsPaused reports whether a rollout is paused: whether the number of its pauses and resumptions is odd. The new version
// of a paused rollout gets no calls.
func IsPaused(pauses uint32) bool { return pauses%2 == 1 }

// SetPauses sets the number of pauses and resumptions that is in force. After a resumption, the comparison starts anew:
// what the old version did during a disturbance does not show how often it fails now.
func (a *Analysis) SetPauses(pauses uint32, now time.Time) {
	if pauses == a.pauses {
		return
	}
	wasPaused := IsPaused(a.pauses)
	a.pauses = pauses
	a.recoveredAt = time.Time{}
	if wasPaused && !IsPaused(pauses) {
		a.restart(now)
	}
}

// restart begins the step anew, with the old version's recent behaviour as the baseline.
func (a *Analysis) restart(now time.Time) {
	a.enterStep(a.step, now)
	a.service.longTerm = a.service.shortTerm
	for _, r := range a.routes {
		r.baseline.longTerm = r.baseline.shortTerm
		r.recent = counts{}
	}
}

// mustPause reports whether a held rollout is to be paused. Once the new version gets all traffic, it is not: the old one
// may be about to stop.
func (a *Analysis) mustPause() bool {
	return a.step < LastStep(a.config.Preset) && a.heldFailures >= maxHeldFailures>>(a.pauses/2)
}

// mayResume reports whether the old version has not failed too often for recoveryTime.
func (a *Analysis) mayResume(now time.Time) bool {
	for _, r := range a.routes {
		if r.baseline.shortTerm.failsTooOften() {
			a.recoveredAt = time.Time{}
			return false
		}
	}
	if a.recoveredAt.IsZero() {
		a.recoveredAt = now
	}
	return now.Sub(a.recoveredAt) >= recoveryTime
}
