package stutterer

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

const (
	// copyInterval is the time between two copies of the store, and maxCopyAge the age from which a copy is dropped.
	copyInterval = 200 * time.Millisecond
	maxCopyAge   = 10 * time.Second
	// maxAway is the longest time for which the store is away before it returns.
	maxAway = 2 * time.Second
	// minReturnInterval and maxReturnInterval bound the time between two returns. With the probability soonChance, another
	// one follows within soonInterval.
	minReturnInterval = 3 * time.Second
	maxReturnInterval = 10 * time.Second
	soonChance        = 0.3
	soonInterval      = 2 * time.Second
)

// storeCopy is a copy of the store, and the time when it was made.
type storeCopy struct {
	content standin.Copy
	made    time.Time
}

// restorer returns the store from older copies.
type restorer struct {
	soak   *Soak
	drawer *drawer
	// copies are in the order in which they were made, and of the store's present history.
	copies []storeCopy
	done   chan struct{}
}

func newRestorer(s *Soak) *restorer {
	return &restorer{soak: s, drawer: s.newDrawer(restorerStream), done: make(chan struct{})}
}

// loop returns the store at random times until the soak stops.
func (r *restorer) loop() {
	defer close(r.done)
	next := time.Now().Add(minReturnInterval)
	for !r.soak.stopped() {
		r.keepCopy()
		if time.Now().After(next) {
			r.returnStore()
			next = time.Now().Add(r.interval())
		}
		r.soak.sleep(copyInterval)
	}
}

// interval draws the time to the next return.
func (r *restorer) interval() time.Duration {
	if r.drawer.hit(soonChance) {
		return r.drawer.upTo(soonInterval)
	}
	return minReturnInterval + r.drawer.upTo(maxReturnInterval-minReturnInterval)
}

// keepCopy makes a copy, and drops those that are too old.
func (r *restorer) keepCopy() {
	r.copies = append(r.copies, storeCopy{r.soak.platform.Copy(), time.Now()})
	for time.Since(r.copies[0].made) > maxCopyAge {
		r.copies = r.copies[1:]
	}
}

// takeCopy draws a copy, and drops the newer ones.
func (r *restorer) takeCopy() storeCopy {
	i := r.drawer.random.IntN(len(r.copies))
	r.copies = r.copies[:i+1]
	return r.copies[i]
}

// returnStore has the store go away for a time, and return from a copy.
func (r *restorer) returnStore() {
	s := r.soak
	c := r.takeCopy()
	a := r.drawAbsence()
	from := s.disturbances.begin(a.length > 0)
	s.platform.SetFaults(a.faults)
	if a.faults.Disconnect {
		s.store.CloseClientConnections()
	}
	time.Sleep(a.length)
	kept, err := s.versions.returnFrom(c.content, from)
	s.platform.SetFaults(standin.Faults{})
	s.disturbances.end()
	if err != nil {
		s.ledger.logger.Error("the store returned without a configuration", "error", err)
	}
	s.ledger.count("store-returns")
	s.ledger.logger.Info("store returned", "era", s.platform.Era(), "away", a.length, "absence", a.name, "copy-age", time.Since(c.made),
		"kept-version", kept, "newest-version", s.versions.newest().number)
	s.operator.notify()
}

// drawAbsence draws how the store is away, and for how long.
func (r *restorer) drawAbsence() absence {
	a := absences[r.drawer.random.IntN(len(absences))]
	if a.faults != (standin.Faults{}) {
		a.length = r.drawer.upTo(maxAway)
	}
	return a
}
