// Package linter finds what is wrong in a configuration before it is sent: errors, entries that can never match or be
// served, and limits that contradict each other. It also lists what differs from another configuration.
//
// Its checks are pure functions of a configuration. What a format needs, such as lines of a file, comes from the package
// that decodes that format.
package linter

import (
	"fmt"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

// Object identifies what is declared, such as the route x.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Kinds of objects.
const (
	KindService  = "service"
	KindRoute    = "route"
	KindRollout  = "rollout"
	KindPreset   = "preset"
	KindCustomer = "customer"
	KindLimits   = "limits"
)

// Place is where an object is declared. Its zero value means that this is not known.
type Place struct {
	File string
	Line int
	// KeyLines holds the lines of the object's keys, by the key as it is written in the file.
	KeyLines map[string]int
}

// lineOf returns the line of a key, or that of the object if the key is not given there.
func (p Place) lineOf(key string) int {
	if line, ok := p.KeyLines[key]; ok {
		return line
	}
	return p.Line
}

// Document is a configuration as it was read.
type Document struct {
	// State is the configuration, as far as it could be read. It need not be valid.
	State *reducer.State
	// File names the configuration in findings that have no place.
	File string
	// Places holds where the objects are declared.
	Places map[Object]Place
	// KeyNames holds the names of keys as they are written in the file, by the names in this package. Names that are
	// missing are the same.
	KeyNames map[string]string
	// Errors are what could not be read.
	Errors []Finding
}

// keyName returns a key as it is written in the file.
func (d *Document) keyName(key string) string {
	if name, ok := d.KeyNames[key]; ok {
		return name
	}
	return key
}

// String returns the place as FILE:LINE.
func (p Place) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }
