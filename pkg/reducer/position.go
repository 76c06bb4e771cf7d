package reducer

import "fmt"

// offsetBits is the number of lower bits of a Position that hold the offset.
const offsetBits = 32

// MaxOffset is the highest offset that a Position can hold.
const MaxOffset = 1<<offsetBits - 1

// Position is a place in the log: an era and the offset of the next record. A log that returns from an older copy begins a
// new era, in which it gives out offsets again. Positions are ordered by their eras first, so that all of a new era are
// later than those before. In a log without eras, era 0, a position is the offset.
type Position uint64

// NewPosition returns the position of an era and an offset. An offset above MaxOffset counts as MaxOffset.
func NewPosition(era uint32, offset uint64) Position {
	return Position(uint64(era)<<offsetBits | min(offset, MaxOffset))
}

// Era returns the era.
func (p Position) Era() uint32 { return uint32(p >> offsetBits) }

// Offset returns the offset of the next record.
func (p Position) Offset() uint64 { return uint64(p & MaxOffset) }

// WithOffset returns the position with another offset in the same era.
func (p Position) WithOffset(offset uint64) Position { return NewPosition(p.Era(), offset) }

// String returns era and offset, such as 2/13, or only the offset in era 0.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Offset())
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Offset())
}
