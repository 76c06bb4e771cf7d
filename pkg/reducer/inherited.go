package reducer

import "slices"

// maxInherited is the number of earlier eras of which a state remembers how far it read.
const maxInherited = 4

// Inherited holds the positions, in earlier eras, up to which a state includes records that the log may have lost: at most
// one for each era, the newest first. The rest are 0. The zero value is that of a state that holds nothing of earlier eras.
type Inherited [maxInherited]Position

// Compare orders by the position in the newest era first.
func (i Inherited) Compare(other Inherited) int { return slices.Compare(i[:], other[:]) }

// Includes reports whether all records before a position of an earlier era are included. Of an era before those that are
// remembered all are.
func (i Inherited) Includes(p Position) bool {
	for _, q := range i {
		if q.Era() == p.Era() {
			return p <= q
		}
	}
	oldest := i[maxInherited-1]
	return oldest != 0 && p < oldest
}

// With returns the value that also includes the records before a position.
func (i Inherited) With(p Position) Inherited {
	if p == 0 {
		return i
	}
	kept := slices.DeleteFunc(slices.Clone(i[:]), func(q Position) bool { return q == 0 || q.Era() == p.Era() && q <= p })
	if !slices.ContainsFunc(kept, func(q Position) bool { return q.Era() == p.Era() }) {
		kept = append(kept, p)
	}
	slices.SortFunc(kept, func(a, b Position) int { return int(b.Era()) - int(a.Era()) })
	var next Inherited
	copy(next[:], kept)
	return next
}

// Union returns the value that includes the records of both.
func (i Inherited) Union(other Inherited) Inherited {
	for _, p := range other {
		i = i.With(p)
	}
	return i
}

// Encode returns the positions as numbers, without those that are 0.
func (i Inherited) Encode() []uint64 {
	var encoded []uint64
	for _, p := range i {
		if p != 0 {
			encoded = append(encoded, uint64(p))
		}
	}
	return encoded
}

// DecodeInherited is the inverse of Encode. It takes the positions in any order.
func DecodeInherited(encoded []uint64) Inherited {
	var i Inherited
	for _, p := range encoded {
		i = i.With(Position(p))
	}
	return i
}
