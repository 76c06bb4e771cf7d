package admitter

import "time"

const (
	// serviceWeight is the weight of a new service time in a moving average.
	serviceWeight = 0.1
	// maxKinds bounds the kinds whose service times are kept apart.
	maxKinds = 64
)

// average is a moving average of service times.
type average struct {
	mean time.Duration
	// count is the number of items in the mean.
	count int
}

func (a *average) note(d time.Duration) {
	a.count++
	// The first few count alike, so that a single odd one does not stand for long.
	weight := max(serviceWeight, 1/float64(a.count))
	a.mean += time.Duration(weight * float64(d-a.mean))
}

// serviceTimes tells for how long an item of a kind holds its slot.
type serviceTimes struct {
	all    average
	byKind map[string]*average
}

func (s *serviceTimes) note(kind string, d time.Duration) {
	s.all.note(d)
	k, known := s.byKind[kind]
	if !known {
		if s.byKind == nil || len(s.byKind) >= maxKinds {
			s.byKind = map[string]*average{}
		}
		k = &average{}
		s.byKind[kind] = k
	}
	k.note(d)
}

// of returns the mean of a kind, or that of all items for a kind that is not known.
func (s *serviceTimes) of(kind string) time.Duration {
	if k, known := s.byKind[kind]; known {
		return k.mean
	}
	return s.all.mean
}
