package returner

import (
	"cmp"
	"fmt"
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// lostConfigs is the number of configurations that the store loses.
const lostConfigs = 2

// phase is a part of a measurement.
type phase struct {
	name string
	// begin, unless nil, changes something, and holds, unless nil, tells whether a node has followed.
	begin func() error
	holds func(*node) bool
	// duration is the time over which the costs are counted, or 0 for that of the configuration.
	duration time.Duration
}

// measureReturn measures a steady mesh, one ordinary change, and a return of the store after which the operator writes what
// was lost again and then a next configuration.
func (b *bench) measureReturn() error {
	if err := b.measureAll(phase{name: "steady"}, phase{name: "change", begin: b.publishNext, holds: b.hasNewest}); err != nil {
		return err
	}
	older := b.store.Copy()
	if err := b.publishToLose(); err != nil {
		return err
	}
	if b.config.Away > 0 {
		if err := b.measure(phase{name: "away", begin: b.refuseAll, duration: b.config.Away}); err != nil {
			return err
		}
	}
	returnFromCopy := func() error { return b.returnFrom(older) }
	return b.measureAll(phase{name: "return", begin: returnFromCopy, holds: b.isInEra},
		phase{name: "again", begin: b.publishLost, holds: b.hasNewestInEra},
		phase{name: "next", begin: b.publishNext, holds: b.hasNewest})
}

// publishToLose publishes the configurations that the store is to lose, and waits until the last one is in force.
func (b *bench) publishToLose() error {
	for range lostConfigs {
		if err := b.publishNext(); err != nil {
			return err
		}
	}
	_, err := b.await("publish", inForceTimeout, time.Now(), b.hasNewest)
	return err
}

// measureAll measures phases one after the other.
func (b *bench) measureAll(phases ...phase) error {
	for _, p := range phases {
		if err := b.measure(p); err != nil {
			return err
		}
	}
	return nil
}

// measure prints what a phase cost and how long the nodes took to follow.
func (b *bench) measure(p phase) error {
	before, began := sampleAll(b.nodes), time.Now()
	after, err := b.runPhase(p, began)
	if err != nil {
		return err
	}
	time.Sleep(cmp.Or(p.duration, b.config.Phase) - time.Since(began))
	b.printLine(p.name, "all-after=%s %s", after, costSince(b.nodes, before, time.Since(began)))
	return nil
}

// runPhase begins a phase and returns how long the nodes took to follow.
func (b *bench) runPhase(p phase, began time.Time) (time.Duration, error) {
	if p.begin != nil {
		if err := p.begin(); err != nil {
			return 0, err
		}
	}
	if p.holds == nil {
		return 0, nil
	}
	return b.await(p.name, inForceTimeout, began, p.holds)
}

// refuseAll has the store refuse all calls.
func (b *bench) refuseAll() error {
	b.store.SetFaults(standin.Faults{RefuseStatus: http.StatusServiceUnavailable})
	return nil
}

// returnFrom returns the store from a copy and ends its refusals.
func (b *bench) returnFrom(c standin.Copy) error {
	b.store.ReturnFrom(c)
	b.store.SetFaults(standin.Faults{})
	return nil
}

// publishNext publishes a configuration that differs from the one before in one route.
func (b *bench) publishNext() error {
	b.revision++
	return b.store.PutConfig(configuration(b.revision))
}

// publishLost publishes the configurations again that the store has lost.
func (b *bench) publishLost() error {
	for revision := b.revision - lostConfigs + 1; revision <= b.revision; revision++ {
		if err := b.store.PutConfig(configuration(revision)); err != nil {
			return err
		}
	}
	return nil
}

// hasNewest reports whether the newest configuration is in force on a node.
func (b *bench) hasNewest(n *node) bool {
	_, revision := n.inForce()
	return revision == b.revision
}

// hasNewestInEra reports whether the newest configuration is in force on a node as it was written in the store's era.
func (b *bench) hasNewestInEra(n *node) bool {
	declared, revision := n.inForce()
	return revision == b.revision && uint64(declared.Era()) == b.store.Era()
}

// isInEra reports whether a node's position is in the store's era.
func (b *bench) isInEra(n *node) bool { return uint64(n.position().Era()) == b.store.Era() }

// configuration returns a configuration of the given revision. Each differs from the one before in one route.
func configuration(revision uint64) standin.Config {
	c := standin.Config{Version: fmt.Sprintf("r%d", revision)}
	for i := range services {
		c.Services = append(c.Services, standin.Service{Name: fmt.Sprintf("service-%02d", i), MaxConnections: 8})
	}
	for i := range routes {
		c.Routes = append(c.Routes, standin.Route{Name: fmt.Sprintf("route-%03d", i), Host: fmt.Sprintf("host-%02d.example", i%services),
			PathPrefix: fmt.Sprintf("/path-%03d/", i), RouteType: standin.RouteIdempotent, TimeoutS: 1.2, Priority: i % 3,
			Service: fmt.Sprintf("service-%02d", i%services), Attempts: 2})
	}
	for i := range min(int(revision), routes) {
		c.Routes[i].TimeoutS = 2.5
	}
	return c
}
