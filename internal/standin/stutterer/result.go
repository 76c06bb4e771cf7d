package stutterer

// Result is what a soak has found.
type Result struct {
	// Violations are the numbers of violations by rule. Rules that were kept are left out.
	Violations map[Rule]int
	// Counts are the numbers of what the soak has done and seen.
	Counts map[string]int
}
