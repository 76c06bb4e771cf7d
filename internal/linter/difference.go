package linter

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

// Change says how an object differs from one configuration to another.
type Change string

// Changes of objects.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an object that differs between two configurations.
type Difference struct {
	Change Change `json:"change"`
	Object Object `json:"object"`
	// Keys holds what differs in an object that has changed.
	Keys []KeyDifference `json:"keys,omitempty"`
}

// KeyDifference is a key whose value differs. Hashes of API keys are not shown.
type KeyDifference struct {
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the difference as one line of text.
func (d Difference) String() string {
	var keys []string
	for _, k := range d.Keys {
		keys = append(keys, fmt.Sprintf("%s=%s->%s", k.Key, k.Before, k.After))
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %s %s", d.Change, d.Object.Kind, d.Object.Name, strings.Join(keys, " ")))
}

// Compare lists what differs in a later configuration from an earlier one, by kind and name.
func Compare(before, after *reducer.State) []Difference {
	all := slices.Concat(
		compareObjects(KindCustomer, before.Customers, after.Customers),
		compareObjects(KindPreset, before.Presets, after.Presets),
		compareObjects(KindRollout, before.Rollouts, after.Rollouts),
		compareObjects(KindRoute, before.Routes, after.Routes),
		compareObjects(KindService, before.Services, after.Services))
	if keys := compareKeys(before.Limits, after.Limits); len(keys) > 0 {
		all = append(all, Difference{Change: Changed, Object: Object{Kind: KindLimits}, Keys: keys})
	}
	if before.ActivePreset != after.ActivePreset {
		all = append(all, Difference{Change: Changed, Object: Object{Kind: "active-preset"},
			Keys: []KeyDifference{{Key: "name", Before: before.ActivePreset, After: after.ActivePreset}}})
	}
	return all
}

func compareObjects[V proto.Message](kind string, before, after map[string]V) []Difference {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var all []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d := Difference{Object: Object{Kind: kind, Name: name}}
		old, had := before[name]
		current, has := after[name]
		switch {
		case !had:
			d.Change = Added
		case !has:
			d.Change = Removed
		case proto.Equal(old, current):
			continue
		default:
			d.Change, d.Keys = Changed, compareKeys(old, current)
		}
		all = append(all, d)
	}
	return all
}

// compareKeys returns the fields in which two messages of a type differ.
func compareKeys(before, after proto.Message) []KeyDifference {
	old, current := before.ProtoReflect(), after.ProtoReflect()
	var keys []KeyDifference
	fields := old.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if old.Get(f).Equal(current.Get(f)) {
			continue
		}
		keys = append(keys, KeyDifference{Key: strings.ReplaceAll(string(f.Name()), "_", "-"),
			Before: describe(f, old.Get(f)), After: describe(f, current.Get(f))})
	}
	return keys
}

// describe returns a field's value as text without spaces.
func describe(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	switch {
	case f.Kind() == protoreflect.BytesKind && f.IsList():
		return fmt.Sprintf("%d-hashes", v.List().Len())
	case f.IsList():
		items := make([]string, v.List().Len())
		for i := range items {
			items[i] = describeItem(v.List().Get(i))
		}
		return "[" + strings.Join(items, ",") + "]"
	}
	return describeItem(v)
}

func describeItem(v protoreflect.Value) string {
	if m, ok := v.Interface().(protoreflect.Message); ok {
		var parts []string
		m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
			parts = append(parts, fmt.Sprintf("%s:%s", f.Name(), describe(f, v)))
			return true
		})
		slices.Sort(parts)
		return "{" + strings.Join(parts, ",") + "}"
	}
	return fmt.Sprint(v.Interface())
}
