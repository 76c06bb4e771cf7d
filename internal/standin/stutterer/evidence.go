package stutterer

import "time"

// showing is a version that an answer has shown, and the time of the answer.
type showing struct {
	number int
	at     time.Time
}

// evidence is what answers have shown of the configurations of one process.
type evidence struct {
	showings []showing
}

// at returns the number of the newest version behind which a request that is sent at a time may not be handled, or 0.
func (e *evidence) at(sent time.Time) int {
	newest := 0
	for _, s := range e.showings {
		if sent.Sub(s.at) > goBackSlack {
			newest = max(newest, s.number)
		}
	}
	return newest
}

// add adds what the answer to a probe shows: at least the oldest version that allows the handling and isn't older than what
// the process has shown before.
func (e *evidence) add(p probe, all []version, at time.Time) {
	oldest, _ := p.allowedBy(all, p.shown)
	newest := 0
	if n := len(e.showings); n > 0 {
		newest = e.showings[n-1].number
	}
	if oldest > newest {
		e.showings = append(e.showings, showing{oldest, at})
	}
}
