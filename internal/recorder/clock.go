package recorder

import (
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock: wall-clock milliseconds, and a counter that orders events within
// the same millisecond.
type Stamp struct {
	UnixMs  int64  `json:"unix-ms"`
	Counter uint32 `json:"counter"`
}

// Before reports whether s is earlier than t.
func (s Stamp) Before(t Stamp) bool {
	if s.UnixMs != t.UnixMs {
		return s.UnixMs < t.UnixMs
	}
	return s.Counter < t.Counter
}

// maxSkew bounds how far a peer's timestamp may move the clock ahead of the wall clock.
const maxSkew = time.Minute

// Clock is a hybrid logical clock. Its methods are safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu sync.Mutex
	// last is the newest timestamp issued or observed. It never decreases.
	last Stamp
}

// Tick returns a timestamp later than every one issued or observed before.
func (c *Clock) Tick() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMilli()
	if wall > c.last.UnixMs {
		c.last = Stamp{UnixMs: wall}
	} else {
		c.last.Counter++
	}
	return c.last
}

// Observe advances the clock to a timestamp received from a peer, so that later events get later timestamps. One that
// is more than maxSkew ahead of the wall clock is ignored.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.UnixMs > c.now().Add(maxSkew).UnixMilli() {
		return
	}
	if c.last.Before(s) {
		c.last = s
	}
}
