package admitter

import "time"

// linkSlack is the delay on the link that a call which may not wait accepts.
const linkSlack = 100 * time.Millisecond

// lateSlack is the delay on the link up to which a late call is let in.
const lateSlack = 250 * time.Millisecond

// Link tells whether the VM's network link can carry an answer in time. It answers long answers on a thin link: more
// of them than the link carries would delay every answer, short ones included, long before the slots are full.
// It is not safe for concurrent use. The zero value carries everything at once.
type Link struct {
	// BytesPerSecond is what the link carries; zero is without limit.
	BytesPerSecond float64
	// backlog is what was still to be carried at the time at.
	backlog float64
	at      time.Time
	// promised are the expected bytes of answers that have not come whole.
	promised float64
}

// Sent notes bytes that were handed to the link.
func (l *Link) Sent(bytes int, now time.Time) {
	if l.BytesPerSecond > 0 {
		l.backlog = l.backlogAt(now) + float64(bytes)
		l.at = now
	}
}

func (l *Link) backlogAt(now time.Time) float64 {
	return max(l.backlog-now.Sub(l.at).Seconds()*l.BytesPerSecond, 0)
}

// Ahead returns the time that the link still needs for what was handed to it.
func (l *Link) Ahead(now time.Time) time.Duration { return l.Transfer(l.backlogAt(now)) }

// Promise notes an answer that will come; Settle takes it back once it has, or will not come.
func (l *Link) Promise(bytes float64) { l.promised += bytes }

// Settle takes back a promise.
func (l *Link) Settle(bytes float64) { l.promised = max(l.promised-bytes, 0) }

// Wait returns how long an answer that is ready after some service time would wait for the link.
func (l *Link) Wait(service time.Duration, now time.Time) time.Duration {
	return max(l.Transfer(l.backlogAt(now)+l.promised)-service, 0)
}

// Transfer returns the time that the link needs for an answer.
func (l *Link) Transfer(bytes float64) time.Duration {
	if l.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(bytes / l.BytesPerSecond * float64(time.Second))
}

// Admits tells whether an answer of some length, after some service time, can be carried: at once for a claim that
// may not wait, else in time for its aim, or for its deadline if it has no aim. A call that is late already takes only
// room that is left over, since a long queue of late answers would make all later ones late too.
func (l *Link) Admits(c Claim, bytes float64, service time.Duration, now time.Time) bool {
	wait := l.Wait(service, now)
	if !c.MayWait {
		return wait <= linkSlack
	}
	done := now.Add(service + wait + l.Transfer(bytes))
	inTime := !c.Deadline.After(now) || !done.After(c.Deadline)
	switch {
	case c.Aim.IsZero():
		return inTime
	case c.Aim.After(now):
		return !done.After(c.Aim)
	}
	return inTime && wait <= lateSlack
}
