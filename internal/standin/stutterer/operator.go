package stutterer

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// firstVersion is the number of the version that is written before the nodes start, and maxVersionStep the greatest
	// difference between the numbers of two versions.
	firstVersion   = 1
	maxVersionStep = 4
	// changeInterval is the longest time between two versions.
	changeInterval = 2500 * time.Millisecond
	// A version removes an older probe route, or moves one to another service, with these probabilities.
	removeChance = 0.5
	moveChance   = 0.4
	// maxProbeRoutes is the number of probe routes from which a version always removes one.
	maxProbeRoutes = 12
	// The operator writes again what the store has lost after at most shortRewrite, or longRewrite with the probability
	// longRewriteChance.
	shortRewrite      = time.Second
	longRewrite       = 4 * time.Second
	longRewriteChance = 0.25
)

// operator writes configurations to the store, and writes the newest one again if the store has lost it.
type operator struct {
	soak   *Soak
	drawer *drawer
	// returned gets an element after each return of the store.
	returned chan struct{}
	done     chan struct{}
}

func newOperator(s *Soak) *operator {
	return &operator{soak: s, drawer: s.newDrawer(operatorStream), returned: make(chan struct{}, 1), done: make(chan struct{})}
}

// loop writes versions until the soak stops.
func (o *operator) loop() {
	defer close(o.done)
	for {
		select {
		case <-o.soak.stop:
			return
		case <-o.returned:
			o.writeAgain()
		case <-time.After(o.drawer.upTo(changeInterval)):
			o.change()
		}
	}
}

// notify tells the operator that the store has returned.
func (o *operator) notify() {
	select {
	case o.returned <- struct{}{}:
	default:
	}
}

// change writes the next version.
func (o *operator) change() {
	o.write(o.next(o.soak.versions.newest()), "changes")
}

// next draws the version that follows another.
func (o *operator) next(last version) version {
	v := last.withNumber(last.number + 1 + o.drawer.random.IntN(maxVersionStep))
	prefixes := slices.Sorted(maps.Keys(last.services))
	if len(prefixes) >= maxProbeRoutes || len(prefixes) > 0 && o.drawer.hit(removeChance) {
		i := o.drawer.random.IntN(len(prefixes))
		v = v.withoutRoute(prefixes[i])
		prefixes = slices.Delete(prefixes, i, i+1)
	}
	if len(prefixes) > 0 && o.drawer.hit(moveChance) {
		v = v.withRoute(prefixes[o.drawer.random.IntN(len(prefixes))], o.service())
	}
	return v.withRoute(v.ownPrefix(), o.service())
}

// service draws a service.
func (o *operator) service() string { return targets[o.drawer.random.IntN(len(targets))].service }

// writeAgain writes the newest version again, after a delay, if the store has lost it.
func (o *operator) writeAgain() {
	delay := o.drawer.upTo(shortRewrite)
	if o.drawer.hit(longRewriteChance) {
		delay = o.drawer.upTo(longRewrite)
	}
	o.soak.sleep(delay)
	held, err := o.soak.versions.holdsNewest()
	if err != nil {
		o.soak.ledger.logger.Error("cannot tell whether the store has lost a configuration", "error", err)
	}
	if !held {
		o.write(o.soak.versions.newest(), "changes-written-again")
	}
}

// write writes a version to the store, and counts that.
func (o *operator) write(v version, key string) {
	if err := o.soak.versions.write(v); err != nil {
		o.soak.ledger.logger.Error("cannot write a configuration", "version", v.number, "error", err)
		return
	}
	o.soak.ledger.logger.Info("configuration written", "version", v.number, "era", o.soak.platform.Era(), "routes", fmt.Sprint(v.services))
	o.soak.ledger.count(key)
}
