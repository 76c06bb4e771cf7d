package recorder

import (
	"sync"
	"time"
)

// Stamp is a hybrid logical time: wall-clock milliseconds and a counter.
type Stamp struct {
	UnixMs  int64  `json:"unix-ms"`
	Counter uint32 `json:"counter"`
}

// Before reports whether s comes before t.
func (s Stamp) Before(t Stamp) bool {
	if s.UnixMs != t.UnixMs {
		return s.UnixMs < t.UnixMs
	}
	return s.Counter < t.Counter
}

// maxSkew bounds how far a peer's stamp may move the clock ahead.
const maxSkew = time.Minute

// Clock is a hybrid logical clock.
type Clock struct {
	now func() time.Time

	mu sync.Mutex
	// last is the newest stamp given or observed. It never falls.
	last Stamp
}

// Tick returns a stamp later than every earlier one.
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

// Observe moves the clock past a stamp received from a peer. Stamps far in the future are ignored.
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
