package controller

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// eraWatch follows the eras that responses of the log state, for log lines and metrics. Its methods are safe for
// concurrent use.
type eraWatch struct {
	logger hclog.Logger
	// newest is the newest era stated, or 0.
	newest atomic.Uint32
	// returns counts the changes to a newer era since the first one was stated.
	returns atomic.Uint64
	stated  atomic.Bool
}

// observe records the era of a response and logs a change.
func (w *eraWatch) observe(e LogEra) {
	if !e.Stated {
		return
	}
	first := !w.stated.Swap(true)
	before := w.newest.Load()
	for before < e.Number && !w.newest.CompareAndSwap(before, e.Number) {
		before = w.newest.Load()
	}
	switch {
	case first:
	case e.Number > before:
		w.returns.Add(1)
		w.logger.Warn("the log has returned from an older copy", "era", e.Number, "era-before", before)
	case e.Number < before:
		w.logger.Info("response of an earlier era of the log", "era", e.Number, "newest-era", before)
	}
}
