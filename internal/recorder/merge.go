package recorder

import (
	"slices"
	"strings"
)

// Merge joins the time lines of several processes into one in causal order.
func Merge(lines [][]Event) []Event {
	all := slices.Concat(lines...)
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
