package stutterer

import "time"

// disturbance is a time in which the store does not work as usual, or loses records at its end.
type disturbance struct {
	from time.Time
	// to is zero while the disturbance lasts.
	to time.Time
	// down is set if the store does not respond meanwhile.
	down bool
}

// overlaps reports whether a part of the disturbance lies between two times.
func (d disturbance) overlaps(from, to time.Time) bool {
	return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
}
