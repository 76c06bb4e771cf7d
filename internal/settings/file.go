package settings

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-yaml"
)

// Loader reads a settings file, whose keys in YAML are the names of the flags. It is a kong.ConfigurationLoader.
func Loader(r io.Reader) (kong.Resolver, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, &Error{Operation: "load", Kind: "file", Setting: "settings", Expected: "a readable file: " + err.Error()}
	}
	values := map[string]any{}
	if err := yaml.Unmarshal(data, &values); err != nil {
		return nil, &Error{Operation: "load", Kind: "file", Setting: "settings", Expected: "YAML: " + err.Error()}
	}
	return &fileResolver{values: values}, nil
}

// fileResolver provides the values of flags from a settings file. Values from the command line and from environment
// variables take precedence.
type fileResolver struct {
	values map[string]any
}

// Validate implements kong.Resolver. A key that does not name a flag is an error.
func (f *fileResolver) Validate(app *kong.Application) error {
	known := map[string]bool{}
	for _, node := range append([]*kong.Node{app.Node}, app.Children...) {
		for _, flag := range node.Flags {
			known[flag.Name] = true
		}
	}
	for key := range f.values {
		if !known[key] {
			return &Error{Operation: "load", Kind: "file", Setting: key, Value: fmt.Sprint(f.values[key]), Expected: "a known setting"}
		}
	}
	return nil
}

// Resolve implements kong.Resolver.
func (f *fileResolver) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	value, ok := f.values[flag.Name]
	if !ok || value == nil {
		return nil, nil
	}
	return fmt.Sprint(value), nil
}
