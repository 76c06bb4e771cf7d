package linter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

// check finds one kind of fault in a configuration. Its findings have no place yet, and no name of the check.
type check func(*reducer.State) []Finding

// checks holds all checks by name.
var checks = map[string]check{
	"missing-service":            findMissingServices,
	"shadowed-route":             findShadowedRoutes,
	"service-without-versions":   findServicesWithoutVersions,
	"part-without-weight":        findPartsWithoutWeight,
	"unused-service":             findUnusedServices,
	"unknown-class":              findUnknownClasses,
	"customer-without-keys":      findCustomersWithoutKeys,
	"timeout-below-target":       findTimeoutsBelowTarget,
	"rate-without-burst":         findRatesWithoutBurst,
	"burst-without-rate":         findBurstsWithoutRate,
	"rate-below-one-call":        findRatesBelowOneCall,
	"cold-start-without-calls":   findColdStartsWithoutCalls,
	"cold-rate-without-effect":   findColdRatesWithoutEffect,
	"header-beyond-idle-timeout": findHeaderTimeoutsBeyondIdle,
}

// Lint returns what is wrong in a configuration, in the order of its lines.
func Lint(d *Document) []Finding {
	findings := slices.Clone(d.Errors)
	for _, name := range slices.Sorted(maps.Keys(checks)) {
		for _, f := range checks[name](d.State) {
			place := d.Places[f.Object]
			f.Check = name
			f.Key = d.keyName(f.Key)
			f.File, f.Line = place.File, place.lineOf(f.Key)
			findings = append(findings, f)
		}
	}
	for i := range findings {
		findings[i].File = cmp.Or(findings[i].File, d.File)
	}
	if err := reducer.Validate(d.State); err != nil && !HasErrors(findings) {
		findings = append(findings, Finding{Severity: SeverityError, Check: "invalid", File: d.File, Detail: err.Error()})
	}
	slices.SortStableFunc(findings, compareFindings)
	return findings
}
