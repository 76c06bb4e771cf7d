package reducer

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Continues reports whether a rollout is the same order as an earlier one, which the log has kept in a newer era, or the operator
// has written again there, once or more often. Within the era in which it was first read every order is a new one.
func Continues(earlier, r *schema.Rollout) bool {
	return earlier.DeclaredVersion < r.DeclaredVersion &&
		Position(FirstVersion(earlier)).Era() < Position(r.DeclaredVersion).Era() &&
		earlier.Service == r.Service && earlier.To == r.To && earlier.DurationMs == r.DurationMs
}

// maxReplaced is the number of replaced orders that a rollout remembers.
const maxReplaced = 8

// remembering returns a rollout with what is known of its order from the rollout that was in force before: the same one, one that it
// continues, or one that it has replaced. What the rollout knows itself is kept.
func remembering(r, before *schema.Rollout) *schema.Rollout {
	next := proto.CloneOf(r)
	if r.DeclaredVersion != before.DeclaredVersion && !Continues(before, r) {
		return withReplaced(next, append(ordersOf(before), before.Replaced...))
	}
	if first := min(FirstVersion(r), FirstVersion(before)); first != r.DeclaredVersion {
		next.FirstVersion = first
	}
	return withReplaced(next, before.Replaced)
}

// ordersOf returns the order of a rollout as one that is replaced, at the positions at which it was read.
func ordersOf(r *schema.Rollout) []*schema.ReplacedOrder {
	orders := []*schema.ReplacedOrder{{Version: r.DeclaredVersion, To: r.To}}
	if r.FirstVersion != 0 {
		orders = append(orders, &schema.ReplacedOrder{Version: r.FirstVersion, To: r.To})
	}
	return orders
}

// withReplaced adds replaced orders to those that a rollout remembers, and drops the oldest. It modifies the rollout.
func withReplaced(r *schema.Rollout, orders []*schema.ReplacedOrder) *schema.Rollout {
	all := slices.Clone(r.Replaced)
	for _, o := range orders {
		if !slices.ContainsFunc(all, func(known *schema.ReplacedOrder) bool { return proto.Equal(known, o) }) {
			all = append(all, o)
		}
	}
	slices.SortStableFunc(all, func(a, b *schema.ReplacedOrder) int { return cmp.Compare(b.Version, a.Version) })
	r.Replaced = all[:min(len(all), maxReplaced)]
	return r
}

// FirstVersion returns the declared version under which the order of a rollout was first read. It identifies the order in all eras.
func FirstVersion(r *schema.Rollout) uint64 { return cmp.Or(r.FirstVersion, r.DeclaredVersion) }

// HasSurvived reports whether an order that is read in a newer era is one that a rollout has replaced: the log has lost the order
// of the rollout, but not that one. It has not if the log holds the order of the rollout before it, or never held it
// before that.
func HasSurvived(order, replacedBy *schema.Rollout) bool {
	declared, replacing := Position(order.DeclaredVersion), Position(replacedBy.DeclaredVersion)
	if replacing.Era() >= declared.Era() || hasReplaced(order, replacedBy) {
		return false
	}
	preceded, survived := false, false
	for _, replaced := range replacedBy.Replaced {
		if replaced.To == order.To {
			preceded = preceded || Position(replaced.Version).Offset() < replacing.Offset()
			survived = survived || hasSurvived(Position(replaced.Version), declared)
		}
	}
	return preceded && survived
}

// hasReplaced reports whether an order has replaced that of a rollout, which the log has kept in the newer era.
func hasReplaced(order, r *schema.Rollout) bool {
	return slices.ContainsFunc(order.Replaced, func(replaced *schema.ReplacedOrder) bool {
		return replaced.To == r.To && hasSurvived(Position(r.DeclaredVersion), Position(replaced.Version))
	})
}

// ContinuesProgress reports whether the progress, of an order at another position, is that of a rollout which continues the order.
func ContinuesProgress(p *schema.Progress, r *schema.Rollout) bool {
	if !isOfSameContent(p, r) {
		return false
	}
	earlierEra := Position(p.DeclaredVersion).Era() < Position(r.DeclaredVersion).Era()
	return isOfContinued(p, r) || earlierEra && !PrecedesProgress(p, r)
}

// isOfSameContent reports whether the progress is that of an order with the content of a rollout's.
func isOfSameContent(p *schema.Progress, r *schema.Rollout) bool {
	return p.GetTo() != "" && p.To == r.To && p.DurationMs == r.DurationMs
}

// isOfContinued reports whether the progress is that of an order under a position at which it was read before.
func isOfContinued(p *schema.Progress, r *schema.Rollout) bool {
	return r.FirstVersion != 0 && isOfSameContent(p, r) && r.FirstVersion <= p.GetDeclaredVersion() && p.GetDeclaredVersion() < r.DeclaredVersion
}

// PrecedesProgress reports whether the progress is that of an order before a rollout, so that it says nothing about it. The
// offsets of different eras can't be compared: there only an order of the same target that the rollout has replaced is known
// to precede it.
func PrecedesProgress(p *schema.Progress, r *schema.Rollout) bool {
	if isOfContinued(p, r) {
		return false
	}
	of, declared := Position(p.GetDeclaredVersion()), Position(r.DeclaredVersion)
	if of.Era() == declared.Era() {
		return of < declared
	}
	return slices.ContainsFunc(r.Replaced, func(o *schema.ReplacedOrder) bool {
		replaced := Position(o.Version)
		return of <= replaced && (of.Era() == replaced.Era() || p.GetTo() == o.To)
	})
}
