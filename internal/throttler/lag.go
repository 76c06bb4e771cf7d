package throttler

import "time"

const (
	// lagWeight is the weight of a new measurement in the moving average.
	lagWeight = 0.4
	// minLagShare is the part of the time that a call may take from which the mean lag has calls refused, and maxLagShare that
	// from which maxLateRefusals of them are. A call and its response are handled by two nodes, four times in all.
	minLagShare = 1.0 / 8
	maxLagShare = 1.0 / 2
	// maxLateRefusals is below 1 so that some calls always show whether the node keeps up again.
	maxLateRefusals = 0.9
)

// Lag is how late a node handles what has arrived, because its processor time does not suffice. It answers more calls than
// the node can read, choose an upstream for and answer: those beyond are refused at the first glance, which costs a
// fraction, instead of all being late.
type Lag struct {
	// Mean is a moving average of the measurements.
	Mean time.Duration
}

// With returns the lag after a measurement.
func (l Lag) With(measured time.Duration) Lag {
	return Lag{Mean: l.Mean + time.Duration(lagWeight*float64(measured-l.Mean))}
}

// RefusalShare returns the share of the new calls that are to be refused, of those that may take the given time.
func (l Lag) RefusalShare(limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	lag := float64(l.Mean) / float64(limit)
	return min(max(maxLateRefusals*(lag-minLagShare)/(maxLagShare-minLagShare), 0), maxLateRefusals)
}
