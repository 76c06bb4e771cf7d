package capacity

// Slopes are measured costs of the control plane and of calls. docs/MEASUREMENTS.md names the run behind each.
type Slopes struct {
	// IdleBytesPerLink is the bytes per second on an idle link, both ways, headers and acknowledgements included.
	IdleBytesPerLink float64
	// IdleCPUPercent is the CPU use of a node's idle control plane, in percent of a core.
	IdleCPUPercent float64
	// BaseMemoryMB is a node's resident memory with an almost empty state.
	BaseMemoryMB float64
	// MemberKB is the memory of one member: table, view and load.
	MemberKB float64
	// StateMB is the memory of the whole configuration at the target's size, with one older copy.
	StateMB float64
	// ApplyMs is the time for one change: apply, digest and view, at the target's size.
	ApplyMs float64
	// MemberMs is the time for one member's change: merge, digest and view.
	MemberMs float64
	// CallMicros is a node's CPU time for one call that enters and one that it relays, in microseconds.
	CallMicros float64
	// CheckpointBytes is the size of one checkpoint at the target's size.
	CheckpointBytes float64
}

// Measured are the slopes of the run named in docs/MEASUREMENTS.md.
func Measured() Slopes {
	return Slopes{IdleBytesPerLink: 260, IdleCPUPercent: 0.35, BaseMemoryMB: 22.6, MemberKB: 0.955, StateMB: 5.76,
		ApplyMs: 53.6, MemberMs: 27.9, CallMicros: 477, CheckpointBytes: 632_000}
}
