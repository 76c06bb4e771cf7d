package forwarder

import (
	"strconv"
	"time"
)

const (
	// transitTolerance is the delay on the way that counts as ordinary.
	transitTolerance = 50 * time.Millisecond
	// maxSenders bounds the remembered senders.
	maxSenders = 4096
)

// processStart is the zero of this process's steady time.
var processStart = time.Now()

// transitClock finds out how long a call was held up on its way, for instance by a link that was cut
// for a while. The clocks of nodes have nothing in common, but the smallest difference seen between
// receiving and sending stands for the undisturbed way.
type transitClock struct {
	// fastest is the smallest difference by sender.
	fastest map[string]time.Duration
}

// heldUp returns the delay of a call beyond the ordinary.
func (t *transitClock) heldUp(m *message, now time.Time) time.Duration {
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
