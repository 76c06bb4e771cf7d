package reducer

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Kinds of named values, hashed along with each value. All nodes must agree on the numbers.
const (
	kindService = iota + 1
	kindRoute
	kindRollout
	kindPreset
	kindCustomer
)

// Digest returns a hash that is equal on nodes with equal states. It caches a part of the hash, so that it must not be
// called concurrently on the same State.
func (s *State) Digest() uint64 {
	values := s.encodeValues()
	// A node that has read only the newest orders does not know those taken back.
	values.EvacuationOrders = nil
	return hashOf(0, values) + s.namedHashSum()
}

// namedHashSum returns the sum of the hashes of all named values. A sum does not depend on their order, so applying a
// delta hashes only the values it changes.
func (s *State) namedHashSum() uint64 {
	if !s.hashSumValid {
		s.hashSum = sumHashes(kindService, s.Services) + sumHashes(kindRoute, s.Routes) +
			sumHashes(kindRollout, s.Rollouts) + sumHashes(kindPreset, s.Presets) +
			sumHashes(kindCustomer, s.Customers)
		s.hashSumValid = true
	}
	return s.hashSum
}

func sumHashes[V proto.Message](kind byte, values map[string]V) uint64 {
	var sum uint64
	for _, v := range values {
		sum += hashOf(kind, v)
	}
	return sum
}

// hashOf returns the hash of a kind and of what nodes at the same position have in common of a message. A message that can't be
// encoded contributes nothing.
func hashOf(kind byte, m proto.Message) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{kind})
	if bytes, err := (proto.MarshalOptions{Deterministic: true}).Marshal(common(m)); err == nil {
		_, _ = d.Write(bytes)
	}
	return d.Sum64()
}

// common returns a message without what a node does not know that has read only the newest orders: the one that a rollout has
// replaced, and where its own order was first read.
func common(m proto.Message) proto.Message {
	r, ok := m.(*schema.Rollout)
	if !ok || len(r.Replaced) == 0 && r.FirstVersion == 0 {
		return m
	}
	known := proto.CloneOf(r)
	known.FirstVersion, known.Replaced = 0, nil
	return known
}
