package reducer

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Kinds of named values in a digest.
const (
	kindService = iota + 1
	kindRoute
	kindRollout
	kindPreset
)

// Digest returns a hash that is equal on nodes with equal states.
func (s *State) Digest() uint64 {
	return hashOf(0, s.encodeValues()) + s.namedSum()
}

// namedSum returns the sum of the hashes of all named values. It does not depend on their order, so that a delta costs
// only the hashes of what has changed.
func (s *State) namedSum() uint64 {
	if !s.summed {
		s.sum = sumOf(kindService, s.Services) + sumOf(kindRoute, s.Routes) + sumOf(kindRollout, s.Rollouts) + sumOf(kindPreset, s.Presets)
		s.summed = true
	}
	return s.sum
}

func sumOf[V proto.Message](kind byte, values map[string]V) uint64 {
	var sum uint64
	for _, v := range values {
		sum += hashOf(kind, v)
	}
	return sum
}

// hashOf returns the hash of a message of a kind. One that can't be encoded has the hash of its kind alone.
func hashOf(kind byte, m proto.Message) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{kind})
	if bytes, err := (proto.MarshalOptions{Deterministic: true}).Marshal(m); err == nil {
		_, _ = d.Write(bytes)
	}
	return d.Sum64()
}
