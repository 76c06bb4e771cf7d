package admitter

// floor keeps a share of the granted slots for waiters below the highest waiting priority, so that a flood of higher ones
// does not starve them. The zero value keeps none. What lower waiters don't use goes to the higher ones.
type floor struct {
	// share is below 1.
	share float64
	// due is how much of a grant the lower waiters are owed. It is below 1 after each grant.
	due float64
}

// takesLower reports whether the next grant goes to a waiter of lower priority, of which there must be one.
func (f *floor) takesLower() bool {
	f.due += f.share
	if f.due < 1 {
		return false
	}
	f.due--
	return true
}
