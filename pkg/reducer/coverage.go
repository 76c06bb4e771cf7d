package reducer

import (
	"cmp"
	"fmt"
)

// Coverage tells which records a state includes. Within an era without losses the position alone does; after the log has
// returned from an older copy, states at the same position may differ by records that the log has lost.
type Coverage struct {
	// Position is that of the state.
	Position Position
	// Inherited are the positions in earlier eras up to which the state includes records. They are lower than Position.
	Inherited Inherited
	// Revision is the operator's own number of the configuration, or 0 if there is none.
	Revision uint64
}

// Compare orders states by what a node pulls from its neighbours: the later position, then the newer records of earlier eras.
func (c Coverage) Compare(other Coverage) int {
	return cmp.Or(cmp.Compare(c.Position, other.Position), c.Inherited.Compare(other.Inherited), cmp.Compare(c.Revision, other.Revision))
}

// Includes reports whether all records before a position are included.
func (c Coverage) Includes(p Position) bool {
	if p.Era() == c.Position.Era() {
		return p <= c.Position
	}
	return c.Inherited.Includes(p)
}

// IncludesAll reports whether all records of a state with the other coverage are included.
func (c Coverage) IncludesAll(other Coverage) bool {
	for _, p := range other.Inherited {
		if p != 0 && !c.Includes(p) {
			return false
		}
	}
	return other.Position == 0 || c.Includes(other.Position)
}

// OfErasBefore returns the part of the coverage that lies in eras before that of a position.
func (c Coverage) OfErasBefore(p Position) Coverage {
	if c.Position.Era() < p.Era() {
		return c
	}
	before := Coverage{}
	for _, q := range c.Inherited {
		if q.Era() < p.Era() {
			before.Inherited = before.Inherited.With(q)
		}
	}
	return before
}

// With returns the coverage, at the same position, that also includes all records of a state with the other one.
func (c Coverage) With(other Coverage) Coverage {
	c.Inherited = c.Inherited.Union(other.Inherited)
	if other.Position.Era() < c.Position.Era() {
		c.Inherited = c.Inherited.With(other.Position)
	}
	return c
}

// String returns the coverage for log lines.
func (c Coverage) String() string {
	return fmt.Sprintf("%v inherited %v revision %d", c.Position, c.Inherited.Encode(), c.Revision)
}
