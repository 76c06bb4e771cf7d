package throttler

const (
	// frequentShare is the share of the calls from which a time limit counts as one that callers begin with.
	frequentShare = 0.08
	// minFrequent is how often a time limit must have been seen for that.
	minFrequent = 3
	// maxSamples is the number of samples at which all counts are halved, so that old habits are forgotten.
	maxSamples = 512
)

// Patience learns the time limits that a route's callers begin with. Callers that come back after a refusal state what is
// left of theirs; which of them have waited before is seen from this alone. A limit that many calls state is one that
// callers begin with, and a rare one is the rest of the next longer such limit.
type Patience struct {
	// counts holds how often each limit was stated, in milliseconds; samples is their sum.
	counts  map[int64]float64
	samples float64
}

// Record records the time limit that a call states.
func (p *Patience) Record(ms int64) {
	if p.counts == nil {
		p.counts = map[int64]float64{}
	}
	p.counts[ms]++
	p.samples++
	if p.samples >= maxSamples {
		p.halve()
	}
}

// halve halves all counts and forgets the limits that were seen once.
func (p *Patience) halve() {
	p.samples = 0
	for ms, n := range p.counts {
		if n <= 1 {
			delete(p.counts, ms)
			continue
		}
		p.counts[ms] = n / 2
		p.samples += n / 2
	}
}

// First returns the limit that a caller with a given limit has begun with, or false if that is not known.
func (p *Patience) First(ms int64) (first int64, known bool) {
	for limit, n := range p.counts {
		if limit >= ms && n >= max(minFrequent, frequentShare*p.samples) && (!known || limit < first) {
			first, known = limit, true
		}
	}
	return first, known
}
