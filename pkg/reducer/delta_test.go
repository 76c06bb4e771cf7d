package reducer

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// routed returns a state at a position with one service and the given routes.
func routed(position uint64, routes map[string]uint32) *State {
	s := NewState()
	s.Version, s.Position, s.Label = position, position, fmt.Sprint("r", position)
	s.Services["s"] = &schema.Service{Name: "s", OpenVersions: true}
	for name, timeout := range routes {
		s.Routes[name] = &schema.Route{Name: name, Service: "s", PathPrefix: "/" + name + "/", TimeoutMs: timeout}
	}
	return s
}

// TestDeltasLeadToTheSameState lets a node lag behind by any number of changes: one delta brings it to the newest
// state, from its own position or from an earlier one.
func TestDeltasLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		history := rapid.SliceOfN(rapid.MapOf(names, rapid.Uint32Range(1, 3)), 2, 8).Draw(t, "history")
		var c Changes
		states := []*State{NewState()}
		for i, routes := range history {
			next := routed(uint64(i+1), routes)
			c.Note(states[i], next)
			states = append(states, next)
		}
		newest := states[len(states)-1]
		base := rapid.IntRange(1, len(states)-1).Draw(t, "base")
		own := rapid.IntRange(base, len(states)-1).Draw(t, "own")
		d, ok := c.Since(uint64(base), newest, newest.Digest())
		if !ok {
			t.Fatalf("position %d is too old", base)
		}
		got, err := states[own].WithDelta(d)
		if err != nil {
			t.Fatal(err)
		}
		if got.Digest() != newest.Digest() {
			t.Fatal("digests differ")
		}
		decoded, err := DecodeState(got.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if decoded.Digest() != newest.Digest() {
			t.Fatal("the digest kept over a delta differs from a fresh one")
		}
	})
}

// TestSmallChangeCostsLittle changes one of 650 routes: what a node is sent stays below half a kilobyte.
func TestSmallChangeCostsLittle(t *testing.T) {
	const routes, most = 650, 512
	timeouts := map[string]uint32{}
	for i := range routes {
		timeouts[fmt.Sprint("route-", i)] = 1200
	}
	var c Changes
	first := routed(1, timeouts)
	c.Note(NewState(), first)
	timeouts["route-7"] = 900
	second := routed(2, timeouts)
	c.Note(first, second)
	d, ok := c.Since(1, second, second.Digest())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, proto.Size(d) < most, qt.IsTrue, qt.Commentf("%d bytes", proto.Size(d)))
}

// TestDeltaOfAnotherStateIsRefused applies a delta to a state that is not the sender's: nothing comes of it.
func TestDeltaOfAnotherStateIsRefused(t *testing.T) {
	var c Changes
	first, second := routed(1, map[string]uint32{"a": 1}), routed(2, map[string]uint32{"a": 2})
	c.Note(NewState(), first)
	c.Note(first, second)
	d, ok := c.Since(1, second, second.Digest())
	qt.Assert(t, ok, qt.IsTrue)
	_, err := routed(1, map[string]uint32{"a": 1, "b": 1}).WithDelta(d)
	qt.Assert(t, err, qt.IsNotNil)
	_, err = NewState().WithDelta(d)
	qt.Assert(t, err, qt.IsNotNil)
	_, ok = c.Since(0, second, second.Digest())
	qt.Assert(t, ok, qt.IsFalse)
}
