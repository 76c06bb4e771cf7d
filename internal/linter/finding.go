package linter

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says whether a configuration with a finding may be sent.
type Severity string

// Severities of findings.
const (
	// SeverityError means that the configuration would be refused, or that a part of it can never work.
	SeverityError Severity = "error"
	// SeverityWarning means that a part of the configuration has no effect, or probably not the intended one.
	SeverityWarning Severity = "warning"
)

// Finding is one thing that is wrong in a configuration. Fields that are not known are empty.
type Finding struct {
	Severity Severity `json:"severity"`
	// Check is the name of the check that found it.
	Check  string `json:"check"`
	Object Object `json:"object"`
	Key    string `json:"key,omitempty"`
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Detail string `json:"detail"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	text := fmt.Sprintf("%s: %s", place, f.Severity)
	if f.Object.Kind != "" {
		text += fmt.Sprintf(": %s %s", f.Object.Kind, f.Object.Name)
	}
	if f.Key != "" {
		text += fmt.Sprintf(": key %s", f.Key)
	}
	return fmt.Sprintf("%s: %s (%s)", text, f.Detail, f.Check)
}

// HasErrors reports whether any finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == SeverityError })
}

// compareFindings orders findings by their place.
func compareFindings(a, b Finding) int {
	return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Object.Kind, b.Object.Kind),
		cmp.Compare(a.Object.Name, b.Object.Name), cmp.Compare(a.Check, b.Check))
}
