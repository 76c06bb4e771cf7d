package forwarder

import (
	"math"
	"math/rand/v2"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Steps of the low-discrepancy sequences that split calls by weight or share, evenly even over few calls. They are far
// from any ratio of small integers, and from each other, so that the split over a route's parts and that over a
// rollout's versions are independent.
var (
	weightStep  = (math.Sqrt(5) - 1) / 2
	versionStep = math.Sqrt(2) - 1
)

// sampler is a low-discrepancy sequence of points in [0, 1): each is the last one plus step, modulo 1, from a random
// start.
type sampler struct {
	position float64
	step     float64
}

func newSampler(step float64, random *rand.Rand) *sampler {
	return &sampler{position: random.Float64(), step: step}
}

// next returns the next point, in [0, 1).
func (s *sampler) next() float64 {
	_, s.position = math.Modf(s.position + s.step)
	return s.position
}

// maxSamplers bounds the sequences that are kept, since routes and rollouts come and go.
const maxSamplers = 4096

// sampler returns the sequence for a key, and creates it if it does not exist.
func (f *Forwarder) sampler(key string, step float64) *sampler {
	s, ok := f.samplers[key]
	if !ok {
		if len(f.samplers) >= maxSamplers {
			clear(f.samplers)
		}
		s = newSampler(step, f.random)
		f.samplers[key] = s
	}
	return s
}

// chooseService returns the service for a call of the route, chosen by the weights of its parts.
func (f *Forwarder) chooseService(r *schema.Route) string {
	if len(r.Parts) == 0 {
		return r.Service
	}
	var total float64
	for _, p := range r.Parts {
		total += float64(p.Weight)
	}
	point := f.sampler("route/"+r.Name, weightStep).next() * total
	for _, p := range r.Parts {
		if point -= float64(p.Weight); point < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
