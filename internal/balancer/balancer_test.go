package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

const (
	ownZone   = "a"
	otherZone = "b"
)

func newBalancer() balancer.Balancer {
	return balancer.Balancer{Zone: ownZone, Random: rand.New(rand.NewPCG(1, 2))}
}

// told returns an endpoint that has just told its load and service time.
func told(node, zone string, load int, service time.Duration, now time.Time) *balancer.Endpoint {
	e := &balancer.Endpoint{Node: node, Zone: zone, Slots: 4, Load: &balancer.Load{}}
	e.Load.Hint(load, service, now)
	return e
}

func keepAll(*balancer.Endpoint) bool { return false }

func TestChoose(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name      string
		endpoints []*balancer.Endpoint
		zoneCost  time.Duration
		want      string
	}{
		{"the free one", []*balancer.Endpoint{told("full", ownZone, 4, 100*time.Millisecond, now), told("free", ownZone, 1, 100*time.Millisecond, now)}, 0, "free"},
		{"the fast one", []*balancer.Endpoint{told("slow", ownZone, 0, 900*time.Millisecond, now), told("fast", ownZone, 2, 100*time.Millisecond, now)}, 0, "fast"},
		{"a wait at home rather than long answers between zones", []*balancer.Endpoint{told("home", ownZone, 6, 100*time.Millisecond, now),
			told("away", otherZone, 0, 100*time.Millisecond, now)}, time.Second, "home"},
		{"another zone for short answers", []*balancer.Endpoint{told("home", ownZone, 6, 100*time.Millisecond, now),
			told("away", otherZone, 0, 100*time.Millisecond, now)}, 10 * time.Millisecond, "away"},
		{"a new one that has not answered yet", []*balancer.Endpoint{told("known", ownZone, 0, 30*time.Millisecond, now),
			{Node: "new", Zone: ownZone, Slots: 4, Load: &balancer.Load{}}}, 0, "new"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chosen := newBalancer().Choose(test.endpoints, balancer.Call{Skip: keepAll, ZoneCost: test.zoneCost}, now)
			qt.Assert(t, chosen.Node, qt.Equals, test.want)
		})
	}
}

// TestSlowOneIsTriedAgain lets time pass: what was learned of a slow endpoint fades.
func TestSlowOneIsTriedAgain(t *testing.T) {
	now := time.Now()
	slow, fast := told("slow", ownZone, 0, 600*time.Millisecond, now), told("fast", ownZone, 0, 100*time.Millisecond, now)
	for after := time.Duration(0); after < 20*time.Second; after += 500 * time.Millisecond {
		fast.Load.Hint(0, 100*time.Millisecond, now.Add(after))
		chosen := newBalancer().Choose([]*balancer.Endpoint{slow, fast}, balancer.Call{Skip: keepAll}, now.Add(after))
		if chosen == slow {
			qt.Assert(t, after > 2*time.Second, qt.IsTrue)
			return
		}
	}
	t.Fatal("the slow endpoint was never tried again")
}

// TestEjectedComeLast fails one endpoint in a row.
func TestEjectedComeLast(t *testing.T) {
	now := time.Now()
	bad, good := told("bad", ownZone, 0, time.Millisecond, now), told("good", ownZone, 3, time.Second, now)
	for range 3 {
		bad.Load.NoteFailure(now)
	}
	b := newBalancer()
	chosen := b.Choose([]*balancer.Endpoint{bad, good}, balancer.Call{Skip: keepAll}, now)
	qt.Assert(t, chosen, qt.Equals, good)
	onlyBad := func(e *balancer.Endpoint) bool { return e == good }
	chosen = b.Choose([]*balancer.Endpoint{bad, good}, balancer.Call{Skip: onlyBad}, now)
	qt.Assert(t, chosen, qt.Equals, bad)
}
