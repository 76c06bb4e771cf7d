package linter

import (
	"fmt"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

func customerFinding(s Severity, c *schema.Customer, key, format string, values ...any) Finding {
	return Finding{Severity: s, Object: Object{Kind: KindCustomer, Name: c.Name}, Key: key, Detail: fmt.Sprintf(format, values...)}
}

// findCustomersWithoutKeys finds customers that no caller can belong to.
func findCustomersWithoutKeys(s *reducer.State) []Finding {
	var found []Finding
	for _, name := range sortedNames(s.Customers) {
		if c := s.Customers[name]; len(c.KeyHashes) == 0 {
			found = append(found, customerFinding(SeverityError, c, "keys", "the customer has no key, so no call can be its own"))
		}
	}
	return found
}

// findRatesWithoutBurst finds customers whose quota never holds a whole call.
func findRatesWithoutBurst(s *reducer.State) []Finding {
	var found []Finding
	for _, name := range sortedNames(s.Customers) {
		if c := s.Customers[name]; c.RatePerSecond > 0 && c.Burst < 1 {
			found = append(found, customerFinding(SeverityError, c, "burst", "a burst of %v with a rate of %v per second allows no whole call",
				c.Burst, c.RatePerSecond))
		}
	}
	return found
}

// findBurstsWithoutRate finds customers whose burst has no effect, since their rate is not limited.
func findBurstsWithoutRate(s *reducer.State) []Finding {
	var found []Finding
	for _, name := range sortedNames(s.Customers) {
		if c := s.Customers[name]; c.RatePerSecond == 0 && c.Burst > 0 {
			found = append(found, customerFinding(SeverityWarning, c, "burst", "the burst of %v has no effect without a rate", c.Burst))
		}
	}
	return found
}

// longestTimeout returns the longest time for which a route lets a call wait.
func longestTimeout(s *reducer.State) time.Duration {
	var longest uint32
	for _, r := range s.Routes {
		longest = max(longest, r.TimeoutMs)
	}
	return time.Duration(longest) * time.Millisecond
}

// findRatesBelowOneCall finds rates at which a call that just missed its turn waits longer than any route allows.
func findRatesBelowOneCall(s *reducer.State) []Finding {
	longest := longestTimeout(s)
	if longest == 0 {
		return nil
	}
	tooLow := func(perSecond float64) bool { return perSecond > 0 && perSecond*longest.Seconds() < 1 }
	const detail = "at %v calls per second a call may wait longer than the longest timeout of %v"
	var found []Finding
	for _, name := range sortedNames(s.Customers) {
		if c := s.Customers[name]; tooLow(c.RatePerSecond) {
			found = append(found, customerFinding(SeverityWarning, c, "rate", detail, c.RatePerSecond, longest))
		}
	}
	for _, name := range sortedNames(s.Services) {
		if rate := s.Services[name].ColdCallsPerSecond; tooLow(rate) {
			found = append(found, Finding{Severity: SeverityWarning, Object: Object{Kind: KindService, Name: name}, Key: "cold-rate",
				Detail: fmt.Sprintf(detail, rate, longest)})
		}
	}
	return found
}

// findColdStartsWithoutCalls finds services that state a cold start, but no limit for it.
func findColdStartsWithoutCalls(s *reducer.State) []Finding {
	var found []Finding
	for _, name := range sortedNames(s.Services) {
		if service := s.Services[name]; service.ColdStartMs > 0 && service.ColdCallsPerSecond == 0 {
			found = append(found, Finding{Severity: SeverityError, Object: Object{Kind: KindService, Name: name}, Key: "cold-rate",
				Detail: fmt.Sprintf("a cold start of %d ms with a rate of 0 sets no limit", service.ColdStartMs)})
		}
	}
	return found
}

// findColdRatesWithoutEffect finds services with a limit for a cold start of no length. It applies only while an upstream
// announces that it is cold.
func findColdRatesWithoutEffect(s *reducer.State) []Finding {
	var found []Finding
	for _, name := range sortedNames(s.Services) {
		if service := s.Services[name]; service.ColdStartMs == 0 && service.ColdCallsPerSecond > 0 {
			found = append(found, Finding{Severity: SeverityWarning, Object: Object{Kind: KindService, Name: name}, Key: "cold-start",
				Detail: "a cold rate without a cold start applies only while an upstream announces that it is cold"})
		}
	}
	return found
}

// findHeaderTimeoutsBeyondIdle finds limits by which a connection is closed as idle while its request's header may still
// arrive.
func findHeaderTimeoutsBeyondIdle(s *reducer.State) []Finding {
	l := s.Limits
	if l.GetIdleTimeoutMs() == 0 || l.GetHeaderTimeoutMs() <= l.GetIdleTimeoutMs() {
		return nil
	}
	return []Finding{{Severity: SeverityWarning, Object: Object{Kind: KindLimits}, Key: "header-timeout",
		Detail: fmt.Sprintf("the header timeout of %d ms is longer than the idle timeout of %d ms", l.HeaderTimeoutMs, l.IdleTimeoutMs)}}
}
