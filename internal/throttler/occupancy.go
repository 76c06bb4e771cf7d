package throttler

import (
	"math"
	"time"
)

const (
	// occupancyTimeConstant is the time in which the weight of a report decays to 1/e.
	occupancyTimeConstant = 500 * time.Millisecond
	// minReports is the weight of reports below which nothing is concluded from them.
	minReports = 3
	// fullShare is the share of the reports without a free slot from which a service counts as full.
	fullShare = 0.75
)

// Occupancy concludes from the load reports of single upstreams whether their service as a whole has free slots. A node
// hears from each of many upstreams too rarely to know its load, but often enough from one or another.
type Occupancy struct {
	// reports and full count the recent reports, and those without a free slot, decayed until updatedAt.
	reports   float64
	full      float64
	updatedAt time.Time
}

// With returns the occupancy after a report of one upstream.
func (o Occupancy) With(load, slots int, now time.Time) Occupancy {
	next := o.at(now)
	next.reports++
	if load >= slots {
		next.full++
	}
	return next
}

func (o Occupancy) at(now time.Time) Occupancy {
	remaining := math.Exp(-float64(now.Sub(o.updatedAt)) / float64(occupancyTimeConstant))
	return Occupancy{reports: o.reports * remaining, full: o.full * remaining, updatedAt: now}
}

// Full reports whether hardly any upstream has a free slot, so that asking one upstream after the other for one is in vain.
func (o Occupancy) Full(now time.Time) bool {
	current := o.at(now)
	return current.reports >= minReports && current.full >= fullShare*current.reports
}
