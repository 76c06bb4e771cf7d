package forwarder

import (
	"math"
	"math/rand/v2"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Steps of the sequences that spread calls evenly over shares, also over few calls. They are far from any
// ratio of small numbers, and from each other, so that a route's parts and a rollout's versions stay independent.
var (
	weightStep  = (math.Sqrt(5) - 1) / 2
	versionStep = math.Sqrt(2) - 1
)

// sampler walks the interval from 0 to 1 evenly from a random start.
type sampler struct {
	position float64
	step     float64
}

func newSampler(step float64, random *rand.Rand) *sampler {
	return &sampler{position: random.Float64(), step: step}
}

// next returns the next point, from 0 up to 1.
func (s *sampler) next() float64 {
	_, s.position = math.Modf(s.position + s.step)
	return s.position
}

// maxSamplers bounds the remembered sequences; routes and rollouts come and go.
const maxSamplers = 4096

// sampler returns the sequence of a key.
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

// chooseService returns the service that takes a call of the route, by the weights of its parts.
func (f *Forwarder) chooseService(r *schema.Route) string {
	if len(r.Parts) == 0 {
		return r.Service
	}
	var total float64
	for _, p := range r.Parts {
		total += float64(p.Weight)
	}
	at := f.sampler("route/"+r.Name, weightStep).next() * total
	for _, p := range r.Parts {
		if at -= float64(p.Weight); at < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
