package decoder

import "time"

// header holds the key that every document has.
type header struct {
	Kind string `yaml:"kind"`
}

type serviceDocument struct {
	Kind           string `yaml:"kind"`
	Name           string `yaml:"name"`
	InitialVersion string `yaml:"initial-version"`
	// ColdStart is how long an upstream is cold, and ColdRate how many calls per second it may get meanwhile.
	ColdStart string  `yaml:"cold-start"`
	ColdRate  float64 `yaml:"cold-rate"`
}

type versionDocument struct {
	Kind    string `yaml:"kind"`
	Service string `yaml:"service"`
	Name    string `yaml:"name"`
}

type routeDocument struct {
	Kind       string   `yaml:"kind"`
	Name       string   `yaml:"name"`
	Service    string   `yaml:"service"`
	PathPrefix string   `yaml:"path-prefix"`
	Methods    []string `yaml:"methods"`
	Idempotent bool     `yaml:"idempotent"`
	Class      string   `yaml:"class"`
	Timeout    string   `yaml:"timeout"`
	AuthExempt bool     `yaml:"auth-exempt"`
}

type customerDocument struct {
	Kind string `yaml:"kind"`
	Name string `yaml:"name"`
	// KeyHashes are SHA-256 hashes in hexadecimal form, so that files under version control hold no key.
	KeyHashes     []string `yaml:"key-hashes"`
	RatePerSecond float64  `yaml:"rate-per-second"`
	Burst         float64  `yaml:"burst"`
	Priority      uint32   `yaml:"priority"`
}

type rolloutDocument struct {
	Kind     string    `yaml:"kind"`
	Name     string    `yaml:"name"`
	Service  string    `yaml:"service"`
	From     string    `yaml:"from"`
	To       string    `yaml:"to"`
	Deadline time.Time `yaml:"deadline"`
	Within   string    `yaml:"within"`
}

type presetDocument struct {
	Kind              string   `yaml:"kind"`
	Name              string   `yaml:"name"`
	Classes           []string `yaml:"classes"`
	StepInterval      string   `yaml:"step-interval"`
	Watch             string   `yaml:"watch"`
	MinCalls          uint32   `yaml:"min-calls"`
	FirstShare        float64  `yaml:"first-share"`
	RetryBudget       float64  `yaml:"retry-budget"`
	QueueLength       uint32   `yaml:"queue-length"`
	RollbackThreshold float64  `yaml:"rollback-threshold"`
}

type activePresetDocument struct {
	Kind string `yaml:"kind"`
	Name string `yaml:"name"`
}

type removalDocument struct {
	Kind    string `yaml:"kind"`
	Of      string `yaml:"of"`
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
}
