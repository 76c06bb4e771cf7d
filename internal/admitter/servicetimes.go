package admitter

import "time"

const (
	// serviceWeight is the weight of a new sample in the moving averages.
	serviceWeight = 0.1
	// maxKinds bounds the kinds with an average of their own. At the bound all are dropped and learned anew.
	maxKinds = 64
)

// average is a moving average of service times.
type average struct {
	mean time.Duration
	// count is the number of samples.
	count int
}

func (a *average) add(sample time.Duration) {
	a.count++
	// The first samples have equal weight, so that a first outlier does not dominate the mean.
	weight := max(serviceWeight, 1/float64(a.count))
	a.mean += time.Duration(weight * float64(sample-a.mean))
}

// serviceTimes holds the mean time for which items hold a slot, per kind and for all.
type serviceTimes struct {
	all    average
	byKind map[string]*average
}

func (s *serviceTimes) record(kind string, sample time.Duration) {
	s.all.add(sample)
	k, known := s.byKind[kind]
	if !known {
		if s.byKind == nil || len(s.byKind) >= maxKinds {
			s.byKind = map[string]*average{}
		}
		k = &average{}
		s.byKind[kind] = k
	}
	k.add(sample)
}

// mean returns the mean of a kind, or that of all items if the kind is unknown.
func (s *serviceTimes) mean(kind string) time.Duration {
	if k, known := s.byKind[kind]; known {
		return k.mean
	}
	return s.all.mean
}
