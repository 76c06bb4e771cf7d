package recorder

import (
	"slices"
	"strings"
)

// Merge merges the timelines of several processes into one. Events are ordered by timestamp, which is consistent with
// causality, and then by node.
func Merge(timelines [][]Event) []Event {
	all := slices.Concat(timelines...)
	slices.SortStableFunc(all, func(a, b Event) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		}
		return strings.Compare(a.Node, b.Node)
	})
	return all
}
