package admitter

import "time"

// maxLinkWait is the longest queueing delay on the link for a call that may not wait.
const maxLinkWait = 100 * time.Millisecond

// maxLateLinkWait is the longest queueing delay on the link at which a call past its latency target is admitted.
const maxLateLinkWait = 250 * time.Millisecond

// Link models the VM's outgoing network link and decides whether it can carry an answer in time. With large answers a
// slow link is saturated long before the slots are full, and then delays every answer, small ones included.
// It is not safe for concurrent use. The zero value has unlimited bandwidth.
type Link struct {
	// BytesPerSecond is the bandwidth; 0 means unlimited.
	BytesPerSecond float64
	// backlog is the number of bytes handed to the link and not yet transmitted, as of updatedAt.
	backlog   float64
	updatedAt time.Time
	// expected is the number of bytes promised and not yet settled.
	expected float64
}

// Sent records bytes that were handed to the link.
func (l *Link) Sent(bytes int, now time.Time) {
	if l.BytesPerSecond > 0 {
		l.backlog = l.backlogAt(now) + float64(bytes)
		l.updatedAt = now
	}
}

func (l *Link) backlogAt(now time.Time) float64 {
	return max(l.backlog-now.Sub(l.updatedAt).Seconds()*l.BytesPerSecond, 0)
}

// Ahead returns the time that the link needs to transmit its backlog.
func (l *Link) Ahead(now time.Time) time.Duration { return l.TransferTime(l.backlogAt(now)) }

// Promise reserves bandwidth for bytes that will be sent. Settle releases it once they have been or will not be.
func (l *Link) Promise(bytes float64) { l.expected += bytes }

// Settle releases a reservation of Promise.
func (l *Link) Settle(bytes float64) { l.expected = max(l.expected-bytes, 0) }

// QueueDelay returns how long an answer that is ready after the service time would wait for the link.
func (l *Link) QueueDelay(service time.Duration, now time.Time) time.Duration {
	return max(l.TransferTime(l.backlogAt(now)+l.expected)-service, 0)
}

// TransferTime returns the time that the link needs to transmit the bytes.
func (l *Link) TransferTime(bytes float64) time.Duration {
	if l.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(bytes / l.BytesPerSecond * float64(time.Second))
}

// Admits reports whether an answer of the given length, ready after the service time, can be carried: with a queueing
// delay within maxLinkWait if the claim may not wait, else by its Aim, or by its Deadline if it has no Aim. A call past
// its Aim is admitted only if the link has spare capacity, since a long queue of late answers would delay all later
// ones beyond theirs.
func (l *Link) Admits(c Claim, bytes float64, service time.Duration, now time.Time) bool {
	wait := l.QueueDelay(service, now)
	if !c.MayWait {
		return wait <= maxLinkWait
	}
	done := now.Add(service + wait + l.TransferTime(bytes))
	inTime := !c.Deadline.After(now) || !done.After(c.Deadline)
	switch {
	case c.Aim.IsZero():
		return inTime
	case c.Aim.After(now):
		return !done.After(c.Aim)
	}
	return inTime && wait <= maxLateLinkWait
}
