package admitter

import (
	"math"
	"time"
)

const (
	// shareTimeConstant is the time in which the weight of held slots decays to 1/e.
	shareTimeConstant = 2 * time.Second
	// maxOverShare is the multiple of its weight's share of the held slots from which a customer is over its share.
	maxOverShare = 2
	// minOverShare is the share of the held slots below which no customer is over its share, since that may be chance.
	minOverShare = 0.1
	// minActiveShare is the share of the held slots below which a customer is forgotten, so that those who make calls now are
	// compared with each other.
	minActiveShare = 0.001
	// maxShareCustomers bounds the customers that are remembered. At the bound all are dropped.
	maxShareCustomers = 4096
)

// decayingTime is a sum of times that decays until updatedAt.
type decayingTime struct {
	sum       float64
	updatedAt time.Time
}

func (d decayingTime) at(now time.Time) float64 {
	return d.sum * math.Exp(-float64(now.Sub(d.updatedAt))/float64(shareTimeConstant))
}

func (d decayingTime) with(t time.Duration, now time.Time) decayingTime {
	return decayingTime{sum: d.at(now) + float64(t), updatedAt: now}
}

// customerShare is for how long one customer's items have lately held slots, and its weight.
type customerShare struct {
	held   decayingTime
	weight float64
}

// shares compares for how long the items of customers hold slots. It answers the flood of one customer, whose items would
// take the queue, and so the slots, in proportion to their number.
type shares struct {
	byCustomer map[string]customerShare
	// held is the sum for all customers, weights that of their weights, and weighted the number of those with a weight.
	held     decayingTime
	weights  float64
	weighted int
	// sweptAt is when customers were last forgotten.
	sweptAt time.Time
}

// record adds the expected service time of an item that was taken. A weight of 0 stands for the mean of the others.
func (s *shares) record(customer string, weight float64, service time.Duration, now time.Time) {
	if customer == "" {
		return
	}
	c, known := s.byCustomer[customer]
	if !known && (s.byCustomer == nil || len(s.byCustomer) >= maxShareCustomers) {
		*s = shares{byCustomer: map[string]customerShare{}}
	}
	s.addWeight(c.weight, -1)
	s.addWeight(weight, 1)
	s.byCustomer[customer] = customerShare{held: c.held.with(service, now), weight: weight}
	s.held = s.held.with(service, now)
	s.sweep(now)
}

// sweep forgets the customers that have lately held hardly any slot, once per shareTimeConstant.
func (s *shares) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < shareTimeConstant {
		return
	}
	s.sweptAt = now
	for name, c := range s.byCustomer {
		if c.held.at(now) < minActiveShare*s.held.at(now) {
			s.addWeight(c.weight, -1)
			delete(s.byCustomer, name)
		}
	}
}

// addWeight adds a customer's weight to the sums, or removes it.
func (s *shares) addWeight(weight float64, sign int) {
	if weight > 0 {
		s.weights += float64(sign) * weight
		s.weighted += sign
	}
}

// over reports whether a customer's items have held slots for much longer than its weight among the active customers allows.
func (s *shares) over(customer string, now time.Time) bool {
	c, known := s.byCustomer[customer]
	if !known || len(s.byCustomer) < 2 {
		return false
	}
	mean := 1.0
	if s.weighted > 0 {
		mean = s.weights / float64(s.weighted)
	}
	weight := c.weight
	if weight == 0 {
		weight = mean
	}
	allowed := maxOverShare * weight / (mean * float64(len(s.byCustomer)))
	return c.held.at(now) > max(allowed, minOverShare)*s.held.at(now)
}
