package forwarder

import (
	"strconv"
	"time"
)

const (
	// transitTolerance is the excess delay up to which a transit counts as undisturbed.
	transitTolerance = 50 * time.Millisecond
	// maxSenders bounds the senders that are remembered.
	maxSenders = 4096
)

// processStart is the origin of this process's monotonic time.
var processStart = time.Now()

// transitEstimator estimates how long a call was delayed between two nodes, for instance by a link that was
// interrupted. The nodes' clocks are not synchronised, so the smallest difference seen between the time of receipt and
// the time of sending stands for an undisturbed transit.
type transitEstimator struct {
	// fastest holds the smallest difference seen, by sender.
	fastest map[string]time.Duration
}

// excessDelay returns a message's delay beyond that of the sender's fastest one, or 0 if it is within transitTolerance.
func (t *transitEstimator) excessDelay(m *message, now time.Time) time.Duration {
	sentMs, err := strconv.ParseInt(m.get(headerSentAt), 10, 64)
	sender := m.get(headerSender)
	if err != nil || sender == "" {
		return 0
	}
	difference := now.Sub(processStart) - time.Duration(sentMs)*time.Millisecond
	fastest, known := t.fastest[sender]
	if !known || difference < fastest {
		if !known && len(t.fastest) >= maxSenders {
			clear(t.fastest)
		}
		t.fastest[sender] = difference
		return 0
	}
	if delay := difference - fastest; delay > transitTolerance {
		return delay
	}
	return 0
}
