package forwarder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSendMeterCountsItsWindow(t *testing.T) {
	var s sendMeter
	start := processStart.Add(time.Hour)
	for i := range 100 {
		s.record(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	end := start.Add(9900 * time.Millisecond)
	total := s.total(end)
	qt.Assert(t, total >= 38 && total <= 40, qt.IsTrue, qt.Commentf("%d of 10 events per second in %v", total, meterWindow))
	qt.Assert(t, s.total(end.Add(meterWindow)), qt.Equals, 0)
	s.record(end.Add(time.Hour))
	qt.Assert(t, s.total(end.Add(time.Hour)), qt.Equals, 1)
}
