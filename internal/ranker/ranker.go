// Package ranker orders members by rendezvous hashing, so that all nodes with the same members agree on the order.
package ranker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a member for a key; the highest weight ranks first. Nodes of all builds must compute the
// same weights.
func Score(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// scored is a value with its score for the key at hand.
type scored[T any] struct {
	value T
	name  string
	score uint64
}

// Rank returns the values ordered for a key, highest score first, and by name at equal scores. The order of any two
// values does not depend on the others.
func Rank[T any](key string, values []T, name func(T) string) []T {
	all := make([]scored[T], len(values))
	for i, v := range values {
		all[i] = scored[T]{value: v, name: name(v), score: Score(key, name(v))}
	}
	slices.SortFunc(all, func(a, b scored[T]) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	ranked := make([]T, len(all))
	for i, s := range all {
		ranked[i] = s.value
	}
	return ranked
}

// InTop reports whether a member ranks among the first n of itself and the others for a key.
func InTop(key, member string, n int, others []string) bool {
	return RankOf(key, member, others) < n
}

// RankOf returns a member's rank for a key, from 0: how many of the others rank before it. The member may be among
// them.
func RankOf(key, member string, others []string) int {
	own := Score(key, member)
	better := 0
	for _, o := range others {
		if o == member {
			continue
		}
		s := Score(key, o)
		if s > own || s == own && o < member {
			better++
		}
	}
	return better
}
