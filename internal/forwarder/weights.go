package forwarder

const (
	// newWeightShare is the weight of a new value in the exponential moving average.
	newWeightShare = 0.1
	// maxWeights bounds the number of routes whose weights are kept.
	maxWeights = 4096
)

// weights holds the mean of a ratio by route. The zero value is empty.
type weights map[string]float64

// weight returns the mean of a route, or 0 if it has none.
func (w weights) weight(route string) float64 { return w[route] }

// record adds a value. At the bound all routes are dropped and learned anew.
func (w *weights) record(route string, value float64) {
	if *w == nil || len(*w) >= maxWeights {
		*w = weights{}
	}
	old, known := (*w)[route]
	if !known {
		old = value
	}
	(*w)[route] = old + newWeightShare*(value-old)
}
