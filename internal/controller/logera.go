package controller

import "strconv"

// LogEra is the era of the log, as a response states it. The log begins a new era whenever it returns from an older copy and
// has lost what was written since. The zero value is that of a response that states none.
type LogEra struct {
	Number uint32
	Stated bool
}

// String returns the number for log lines, or "none".
func (e LogEra) String() string {
	if !e.Stated {
		return "none"
	}
	return strconv.FormatUint(uint64(e.Number), 10)
}

// Or returns the number of the era, or another one if none is stated.
func (e LogEra) Or(other uint32) uint32 {
	if !e.Stated {
		return other
	}
	return e.Number
}
