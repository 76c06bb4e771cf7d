package forwarder

import (
	"fmt"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// loadReport is what a node reports with each response to another node about the upstream beside it.
type loadReport struct {
	// load is the number of calls that run or wait there.
	load int
	// service is the mean service time of all calls, and kindService that of calls of the response's route; 0 if unknown.
	service     time.Duration
	kindService time.Duration
	// window is the number of calls that may run at once.
	window int
}

// loadReport returns the report for a response to a call of the route, which is nil if the call had none.
func (f *Forwarder) loadReport(route *schema.Route) loadReport {
	r := loadReport{window: f.local.pacer.Window()}
	r.load, r.service = f.localLoad()
	if route != nil {
		r.kindService = f.admitter.ServiceTimeOf(route.Name)
	}
	return r
}

// String returns the report as a header value, with times in milliseconds.
func (r loadReport) String() string {
	return fmt.Sprintf("%d %.1f %d %.1f", r.load, milliseconds(r.service), r.window, milliseconds(r.kindService))
}

// parseLoadReport parses a header value. The last two numbers are missing in that of a node of an earlier release.
func parseLoadReport(value string) (loadReport, bool) {
	var r loadReport
	var service, kindService float64
	n, _ := fmt.Sscanf(value, "%d %f %d %f", &r.load, &service, &r.window, &kindService)
	if n < 2 || r.load < 0 || !(service >= 0) || r.window < 0 || !(kindService >= 0) {
		return loadReport{}, false
	}
	r.service = time.Duration(service * float64(time.Millisecond))
	r.kindService = time.Duration(kindService * float64(time.Millisecond))
	return r, true
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
