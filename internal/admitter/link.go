package admitter

import "time"

// maxLinkWait is the longest queueing delay on the link for a call that may not queue.
const maxLinkWait = 100 * time.Millisecond

// maxLateLinkWait is the longest queueing delay on the link at which a call past its latency target is admitted.
const maxLateLinkWait = 250 * time.Millisecond

// maxLinkWaitShare is the largest part of the time to the latency target that a response may queue for the link. The
// lengths of responses vary, so the queue of a saturated link must end well before the target.
const maxLinkWaitShare = 0.5

// Link models the VM's outgoing network link and decides whether it can carry a response in time. With large responses
// a slow link is saturated long before the slots are full, and then delays every response, small ones included. It is
// not safe for concurrent use. The zero value has unlimited bandwidth.
type Link struct {
	// BytesPerSecond is the bandwidth; 0 means unlimited.
	BytesPerSecond float64
	// backlog is the number of bytes handed to the link and not yet transmitted, as of updatedAt.
	backlog   float64
	updatedAt time.Time
	// reserved is the number of bytes passed to Reserve and not yet to Release.
	reserved float64
}

// RecordSent records bytes that were handed to the link.
func (l *Link) RecordSent(bytes int, now time.Time) {
	if l.BytesPerSecond > 0 {
		l.backlog = l.backlogAt(now) + float64(bytes)
		l.updatedAt = now
	}
}

func (l *Link) backlogAt(now time.Time) float64 {
	return max(l.backlog-now.Sub(l.updatedAt).Seconds()*l.BytesPerSecond, 0)
}

// BacklogTime returns the time that the link needs to transmit its backlog.
func (l *Link) BacklogTime(now time.Time) time.Duration { return l.TransferTime(l.backlogAt(now)) }

// Reserve adds bytes that are expected to be sent. Release removes them once they have been sent or will not be.
func (l *Link) Reserve(bytes float64) { l.reserved += bytes }

// Release removes bytes that Reserve added.
func (l *Link) Release(bytes float64) { l.reserved = max(l.reserved-bytes, 0) }

// QueueDelay returns how long a response that is ready after the service time would wait for the link.
func (l *Link) QueueDelay(service time.Duration, now time.Time) time.Duration {
	return max(l.TransferTime(l.backlogAt(now)+l.reserved)-service, 0)
}

// TransferTime returns the time that the link needs to transmit the bytes.
func (l *Link) TransferTime(bytes float64) time.Duration {
	if l.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(bytes / l.BytesPerSecond * float64(time.Second))
}

// Admits reports whether a response of the given length, ready after the service time, can be carried: with a queueing
// delay within maxLinkWait if the request may not queue, else by its Target, or by its Deadline if it has no Target. A
// call past its Target is admitted only if the link has spare capacity, since a long queue of late responses would
// make all later ones miss their targets too.
func (l *Link) Admits(r Request, bytes float64, service time.Duration, now time.Time) bool {
	wait := l.QueueDelay(service, now)
	if !r.MayQueue {
		return wait <= maxLinkWait
	}
	done := now.Add(service + wait + l.TransferTime(bytes))
	inTime := !r.Deadline.After(now) || !done.After(r.Deadline)
	switch {
	case r.Target.IsZero():
		return inTime
	case r.Target.After(now):
		return !done.After(r.Target) && wait <= time.Duration(maxLinkWaitShare*float64(r.Target.Sub(now)))
	}
	return inTime && wait <= maxLateLinkWait
}
