package decoder

import (
	"regexp"
	"slices"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// Bounds and defaults of declared values.
const (
	minTimeout      = time.Millisecond
	maxTimeout      = 10 * time.Minute
	defaultTimeout  = 10 * time.Second
	maxStepInterval = 24 * time.Hour
	maxQueueLength  = 10_000
	// Rollback thresholds are log-likelihood ratios.
	defaultRollbackThreshold = 7.0
	minRollbackThreshold     = 3.0
	maxRollbackThreshold     = 50.0
	maxRetryBudget           = 1.0
	maxColdStart             = time.Hour
	maxColdRate              = 1e6
	maxWithin                = 30 * 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// buildFunc converts the body of a document of one kind to a declaration.
type buildFunc func(ast.Node) (*schema.Declaration, error)

// builders returns the build function for each kind of document.
func (d Decoder) builders() map[string]buildFunc {
	return map[string]buildFunc{
		"service":       buildService,
		"version":       buildVersion,
		"route":         buildRoute,
		"rollout":       d.buildRollout,
		"customer":      buildCustomer,
		"preset":        buildPreset,
		"active-preset": buildActivePreset,
		"removal":       buildRemoval,
	}
}

func valueError(key, expected string) error {
	return &Error{Operation: "decode", Kind: KindValue, Key: key, Expected: expected}
}

func checkName(key, name string) error {
	if !namePattern.MatchString(name) {
		return valueError(key, "a name of 1 to 63 lower-case letters, digits, dots and dashes")
	}
	return nil
}

// checkNames checks alternating keys and names.
func checkNames(pairs ...string) error {
	for i := 0; i < len(pairs); i += 2 {
		if err := checkName(pairs[i], pairs[i+1]); err != nil {
			return err
		}
	}
	return nil
}

// parseDuration parses the duration of a key, which must lie within bounds. An empty text stands for the fallback.
func parseDuration(key, text string, fallback, low, high time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		return 0, valueError(key, "a duration from "+low.String()+" to "+high.String()+", such as 500ms or 2m")
	}
	return value, nil
}

func buildService(body ast.Node) (*schema.Declaration, error) {
	doc, err := decodeStrict[serviceDocument](body)
	if err != nil {
		return nil, err
	}
	if err := checkNames("name", doc.Name, "initial-version", doc.InitialVersion); err != nil {
		return nil, err
	}
	coldStart, err := parseDuration("cold-start", doc.ColdStart, 0, 0, maxColdStart)
	if err != nil {
		return nil, err
	}
	if !(doc.ColdRate >= 0 && doc.ColdRate <= maxColdRate) {
		return nil, valueError("cold-rate", "calls per second from 0, which sets no limit, to 1000000")
	}
	item := &schema.Service{Name: doc.Name, StableVersion: doc.InitialVersion,
		ColdStartMs: uint32(coldStart.Milliseconds()), ColdCallsPerSecond: doc.ColdRate}
	return &schema.Declaration{Item: &schema.Declaration_Service{Service: item}}, nil
}

func buildVersion(body ast.Node) (*schema.Declaration, error) {
	doc, err := decodeStrict[versionDocument](body)
	if err != nil {
		return nil, err
	}
	if err := checkNames("service", doc.Service, "name", doc.Name); err != nil {
		return nil, err
	}
	item := &schema.Version{Service: doc.Service, Name: doc.Name}
	return &schema.Declaration{Item: &schema.Declaration_Version{Version: item}}, nil
}

func buildRoute(body ast.Node) (*schema.Declaration, error) {
	doc, err := decodeStrict[routeDocument](body)
	if err != nil {
		return nil, err
	}
	if err := checkNames("name", doc.Name, "service", doc.Service, "class", doc.Class); err != nil {
		return nil, err
	}
	if doc.PathPrefix == "" || doc.PathPrefix[0] != '/' {
		return nil, valueError("path-prefix", "a path that starts with /")
	}
	known := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	for _, m := range doc.Methods {
		if !slices.Contains(known, m) {
			return nil, valueError("methods", "a list of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS")
		}
	}
	if len(doc.Methods) == 0 {
		return nil, valueError("methods", "at least one method")
	}
	timeout, err := parseDuration("timeout", doc.Timeout, defaultTimeout, minTimeout, maxTimeout)
	if err != nil {
		return nil, err
	}
	slices.Sort(doc.Methods)
	item := &schema.Route{Name: doc.Name, Service: doc.Service, PathPrefix: doc.PathPrefix, Methods: doc.Methods,
		Idempotent: doc.Idempotent, Class: doc.Class, TimeoutMs: uint32(timeout.Milliseconds()), AuthExempt: doc.AuthExempt}
	return &schema.Declaration{Item: &schema.Declaration_Route{Route: item}}, nil
}

func (d Decoder) buildRollout(body ast.Node) (*schema.Declaration, error) {
	doc, err := decodeStrict[rolloutDocument](body)
	if err != nil {
		return nil, err
	}
	if err := checkNames("name", doc.Name, "service", doc.Service, "from", doc.From, "to", doc.To); err != nil {
		return nil, err
	}
	if doc.From == doc.To {
		return nil, valueError("to", "a version other than from")
	}
	deadline, err := d.deadline(doc)
	if err != nil {
		return nil, err
	}
	item := &schema.Rollout{Name: doc.Name, Service: doc.Service, From: doc.From, To: doc.To, DeadlineUnixMs: deadline.UnixMilli()}
	return &schema.Declaration{Item: &schema.Declaration_Rollout{Rollout: item}}, nil
}

// deadline returns the rollout's deadline, given either as a time or relative to d.Now.
func (d Decoder) deadline(doc rolloutDocument) (time.Time, error) {
	if doc.Within != "" && !doc.Deadline.IsZero() {
		return time.Time{}, valueError("within", "either deadline or within, not both")
	}
	if doc.Within != "" {
		within, err := parseDuration("within", doc.Within, 0, time.Second, maxWithin)
		return d.Now.Add(within), err
	}
	if doc.Deadline.IsZero() {
		return time.Time{}, valueError("deadline", "an RFC 3339 time, or a duration under the key within")
	}
	return doc.Deadline, nil
}

func buildPreset(body ast.Node) (*schema.Declaration, error) {
	doc, err := decodeStrict[presetDocument](body)
	if err != nil {
		return nil, err
	}
	if err := checkName("name", doc.Name); err != nil {
		return nil, err
	}
	if len(doc.Classes) == 0 {
		return nil, valueError("classes", "a list of priority classes, highest first")
	}
	for _, c := range doc.Classes {
		if err := checkName("classes", c); err != nil {
			return nil, err
		}
	}
	step, err := parseDuration("step-interval", doc.StepInterval, 10*time.Second, 100*time.Millisecond, maxStepInterval)
	if err != nil {
		return nil, err
	}
	watch, err := parseDuration("watch", doc.Watch, 30*time.Second, 0, maxStepInterval)
	if err != nil {
		return nil, err
	}
	if err := checkPresetNumbers(doc); err != nil {
		return nil, err
	}
	if doc.RollbackThreshold == 0 {
		doc.RollbackThreshold = defaultRollbackThreshold
	}
	item := &schema.Preset{Name: doc.Name, Classes: doc.Classes, StepIntervalMs: uint32(step.Milliseconds()),
		WatchMs: uint32(watch.Milliseconds()), MinCalls: doc.MinCalls, FirstShare: doc.FirstShare,
		RetryBudget: doc.RetryBudget, QueueLength: doc.QueueLength, RollbackThreshold: doc.RollbackThreshold}
	return &schema.Declaration{Item: &schema.Declaration_Preset{Preset: item}}, nil
}

// checkPresetNumbers checks the ranges of a preset's numbers. Conditions are negated so that NaN fails them.
func checkPresetNumbers(doc presetDocument) error {
	switch {
	case !(doc.FirstShare > 0 && doc.FirstShare <= 1):
		return valueError("first-share", "a share above 0 and at most 1")
	case !(doc.RetryBudget >= 0 && doc.RetryBudget <= maxRetryBudget):
		return valueError("retry-budget", "a share from 0 to 1")
	case doc.QueueLength > maxQueueLength:
		return valueError("queue-length", "a length from 0 to 10000")
	case doc.RollbackThreshold != 0 &&
		!(doc.RollbackThreshold >= minRollbackThreshold && doc.RollbackThreshold <= maxRollbackThreshold):
		return valueError("rollback-threshold", "a log-likelihood ratio from 3 to 50")
	}
	return nil
}

func buildActivePreset(body ast.Node) (*schema.Declaration, error) {
	doc, err := decodeStrict[activePresetDocument](body)
	if err != nil {
		return nil, err
	}
	if err := checkName("name", doc.Name); err != nil {
		return nil, err
	}
	return &schema.Declaration{Item: &schema.Declaration_ActivePreset{ActivePreset: doc.Name}}, nil
}

func buildRemoval(body ast.Node) (*schema.Declaration, error) {
	doc, err := decodeStrict[removalDocument](body)
	if err != nil {
		return nil, err
	}
	if !slices.Contains([]string{"service", "version", "route", "preset", "rollout", "customer"}, doc.Of) {
		return nil, valueError("of", "one of service, version, route, preset, rollout, customer")
	}
	if err := checkName("name", doc.Name); err != nil {
		return nil, err
	}
	if (doc.Of == "version") != (doc.Service != "") {
		return nil, valueError("service", "the service of the version to remove; not allowed for other kinds")
	}
	item := &schema.Removal{Kind: doc.Of, Name: doc.Name, Service: doc.Service}
	return &schema.Declaration{Item: &schema.Declaration_Removal{Removal: item}}, nil
}
